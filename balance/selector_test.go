package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

func upstreamIDs(list []*Upstream) []string {
	ids := []string{}
	for _, u := range list {
		ids = append(ids, u.ID)
	}
	return ids
}

func modify(u *Upstream, change func(u *Upstream)) *Upstream {
	change(u)
	return u
}

func TestFilters(t *testing.T) {
	ejectedFor := func(id string, d time.Duration) *Upstream {
		return modify(newEngine(id, 0), func(u *Upstream) { u.EjectedUntil = start.Add(d) })
	}
	service := &Upstream{ID: "s", Kind: storage.KindService, Name: "desk"}
	unreported := modify(newEngine("a", 0), func(u *Upstream) { u.Versions = nil })
	leaving := modify(newEngine("a", 0), func(u *Upstream) { u.Leaving = true })
	backingOff := modify(newEngine("a", 0), func(u *Upstream) { u.Backoff.Extend(time.Second, start) })
	tests := []struct {
		desc   string
		filter Filter
		req    Request
		list   []*Upstream
		want   []string
	}{
		{"a leaving upstream is dropped", LeavingFilter{}, *modelRequest, []*Upstream{leaving, newEngine("b", 0)}, []string{"b"}},
		{"an upstream that backs off is dropped", BackoffFilter{}, *modelRequest, []*Upstream{backingOff, newEngine("b", 0)}, []string{"b"}},
		{"the only upstream that backs off is dropped, too", BackoffFilter{}, *modelRequest, []*Upstream{backingOff}, []string{}},
		{"an engine with the version is kept", VersionFilter{}, *modelRequest, []*Upstream{newEngine("a", 0), service}, []string{"a"}},
		{"engines without the version are dropped", VersionFilter{}, Request{Model: "m", Version: "2"}, []*Upstream{newEngine("a", 0)}, []string{}},
		{"an engine without a report is dropped", VersionFilter{}, *modelRequest, []*Upstream{unreported}, []string{}},
		{"upstreams of the service are kept", VersionFilter{}, Request{Service: "desk"}, []*Upstream{newEngine("a", 0), service}, []string{"s"}},
		{"an excluded upstream is dropped", ExcludedFilter{}, Request{Exclude: []string{"a"}}, []*Upstream{newEngine("a", 0), newEngine("b", 0)}, []string{"b"}},
		{"an ejected upstream is dropped", EjectedFilter{}, *modelRequest, []*Upstream{ejectedFor("a", time.Second), newEngine("b", 0)}, []string{"b"}},
		{"an upstream is kept after its ejection", EjectedFilter{}, *modelRequest, []*Upstream{ejectedFor("a", 0), newEngine("b", 0)}, []string{"a", "b"}},
		{"the only candidate isn't dropped", EjectedFilter{}, *modelRequest, []*Upstream{ejectedFor("a", time.Second)}, []string{"a"}},
		{
			"at most a share is dropped", EjectedFilter{MaxShare: 0.5}, *modelRequest,
			[]*Upstream{ejectedFor("a", time.Second), ejectedFor("b", 3*time.Second), ejectedFor("c", 2*time.Second), newEngine("d", 0)},
			[]string{"a", "d"},
		},
		{"an upstream with a long queue is dropped", CapacityFilter{}, *modelRequest, []*Upstream{newEngine("a", 20), newEngine("b", 19)}, []string{"b"}},
		{"none is dropped if all queues are long", CapacityFilter{}, *modelRequest, []*Upstream{newEngine("a", 20), newEngine("b", 30)}, []string{"a", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is.New(t).Equal(upstreamIDs(tt.filter.Filter(&tt.req, tt.list, start)), tt.want)
		})
	}
}

func TestSelectorReportsDrops(t *testing.T) {
	is := is.New(t)
	leaving := modify(newEngine("a", 0), func(u *Upstream) { u.Leaving = true })
	list := []*Upstream{leaving, newEngine("b", 9), newEngine("c", 1)}
	choice, ok := NewSelector(NewPrefixIndex(0, time.Now)).Select(modelRequest, list, start, newSeededRand())
	is.True(ok)
	is.Equal(choice.Upstream.ID, "c")
	is.Equal(choice.Eligible, 2)
	is.Equal(choice.Dropped, []DropCount{{Filter: "leaving", Count: 1}})
	is.Equal(upstreamIDs(list), []string{"a", "b", "c"}) // the caller's list is unchanged
	_, ok = NewSelector(NewPrefixIndex(0, time.Now)).Select(modelRequest, list[:1], start, newSeededRand())
	is.True(!ok)
}

func TestSessionsStayTogetherWithinTheBound(t *testing.T) {
	is := is.New(t)
	selector := NewSelector(NewPrefixIndex(0, time.Now))
	list := []*Upstream{newEngine("a", 2), newEngine("b", 2), newEngine("c", 2)}
	req := &Request{Model: "m", Version: "1", SessionID: "s1"}
	first, _ := selector.Select(req, list, start, newSeededRand())
	rnd := newSeededRand()
	for range 50 {
		again, _ := selector.Select(req, list, start, rnd)
		is.Equal(again.Upstream.ID, first.Upstream.ID)
	}
	for i, u := range list {
		if u.ID == first.Upstream.ID {
			list[i] = newEngine(u.ID, 19)
		}
	}
	moved, _ := selector.Select(req, list, start, rnd)
	is.True(moved.Upstream.ID != first.Upstream.ID) // the load of the first choice exceeds AffinityBound
}

func TestPrefixAffinity(t *testing.T) {
	is := is.New(t)
	index := NewPrefixIndex(0, func() time.Time { return start })
	req := &Request{Model: "m", Version: "1", PrefixHashes: []uint64{1, 2, 3, 4}}
	index.RecordSent("b", []uint64{1, 2, 3})
	list := []*Upstream{newEngine("a", 1), newEngine("b", 1), newEngine("c", 1)}
	rnd := newSeededRand()
	for range 50 {
		choice, _ := NewSelector(index).Select(req, list, start, rnd)
		is.Equal(choice.Upstream.ID, "b")
	}
}
