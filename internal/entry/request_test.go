package entry

import (
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

func TestRunStateOfAnOpenKey(t *testing.T) {
	is := is.New(t)
	r := &Request{keyOpen: true}
	is.Equal(r.RunState(), runstate.MayHaveRun) // an earlier request can have run
	r.keyOpen = false
	is.Equal(r.RunState(), runstate.NotRun)
	r.state.Raise(runstate.Ran)
	r.keyOpen = true
	is.Equal(r.RunState(), runstate.Ran)
}

func TestDeparturesDontCountForTheMajority(t *testing.T) {
	is := is.New(t)
	var d departures
	members := []membership.Member{
		{ID: "a", State: membership.Up},
		{ID: "b", State: membership.Down}, // failed: counts
		{ID: "c", State: membership.Down}, // left as planned
	}
	d.add("c")
	is.Equal(d.remaining(members), 2)
	members[2].State = membership.Up // back under the same id
	is.Equal(d.remaining(members), 3)
	members[2].State = membership.Down // and failed this time
	is.Equal(d.remaining(members), 3)
}

func TestHoldersInOtherZonesFirst(t *testing.T) {
	is := is.New(t)
	list := []membership.Member{{ID: "a"}, {ID: "c"}, {ID: "d"}}
	is.Equal(rotate(list, "b")[0].ID, "c")
	is.Equal(rotate(list, "z")[0].ID, "a")
	is.Equal(len(rotate(list, "b")), 3)
}
