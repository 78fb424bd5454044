package entry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/membership"
	"github.com/quetzalweir/quetzalweir/runstate"
)

func TestBillID(t *testing.T) {
	request := func(key, body string, claimed bool) *Request {
		r := &Request{ID: "id-" + body, RequestKey: key, Body: []byte(body), Account: &manifest.Account{Name: "a"}}
		if claimed {
			r.Claim = &claim.Claim{}
		}
		return r
	}
	tests := []struct {
		desc string
		a, b *Request
		same bool
	}{
		{"retries under a key", request("k", "x", false), request("k", "x", false), true},
		{"other requests under a key without a claim", request("k", "x", false), request("k", "y", false), false},
		{"a claimed key", request("k", "x", true), request("k", "x", true), true},
		{"no key", request("", "x", false), request("", "y", false), false},
		{"other keys", request("k", "x", false), request("l", "x", false), false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.a.BillID() == tt.b.BillID(), tt.same)
		})
	}
}

func TestRunStateOfUnresolvedKey(t *testing.T) {
	is := is.New(t)
	r := &Request{keyUnresolved: true}
	is.Equal(r.RunState(), runstate.MayHaveRun) // an earlier request with the key may have run
	r.keyUnresolved = false
	is.Equal(r.RunState(), runstate.NotRun)
	r.state.Raise(runstate.Ran)
	r.keyUnresolved = true
	is.Equal(r.RunState(), runstate.Ran)
}

func TestDeparturesDontCountForTheMajority(t *testing.T) {
	is := is.New(t)
	var d departures
	members := []membership.Member{
		{ID: "a", State: membership.Up},
		{ID: "b", State: membership.Down}, // failed, so it is counted
		{ID: "c", State: membership.Down}, // left by a planned stop
	}
	d.add("c")
	is.Equal(d.pruneAndCount(members), 2)
	members[2].State = membership.Up // c returned with the same ID
	is.Equal(d.pruneAndCount(members), 3)
	members[2].State = membership.Down // c failed, without a planned stop
	is.Equal(d.pruneAndCount(members), 3)
}

func TestHostsSpreadOverHolders(t *testing.T) {
	is := is.New(t)
	var hosts []membership.Member
	for i := range 64 {
		hosts = append(hosts, membership.Member{ID: fmt.Sprintf("zone-%02d-host", i)})
	}
	first := map[string]int{}
	for _, h := range hosts {
		others := slices.DeleteFunc(slices.Clone(hosts), func(m membership.Member) bool { return m.ID == h.ID })
		ranked := sortByRendezvous(others, h.ID)
		is.Equal(len(ranked), len(others))
		first[ranked[0].ID]++
		is.Equal(sortByRendezvous(others[1:], h.ID)[0].ID == ranked[0].ID, others[0].ID != ranked[0].ID) // the first holder changes only if that host is removed
	}
	most := 0
	for _, n := range first {
		most = max(most, n)
	}
	is.True(most <= 6) // if the order were by ID, one host would hold the bills of all hosts before it
}
