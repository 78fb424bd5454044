package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

func ids(list []*Upstream) []string {
	out := []string{}
	for _, u := range list {
		out = append(out, u.ID)
	}
	return out
}

func changed(u *Upstream, change func(u *Upstream)) *Upstream {
	change(u)
	return u
}

func TestFilters(t *testing.T) {
	ejectedFor := func(id string, d time.Duration) *Upstream {
		return changed(engine(id, 0), func(u *Upstream) { u.EjectedUntil = start.Add(d) })
	}
	service := &Upstream{ID: "s", Kind: storage.KindService, Name: "desk"}
	unreported := changed(engine("a", 0), func(u *Upstream) { u.Versions = nil })
	leaving := changed(engine("a", 0), func(u *Upstream) { u.Leaving = true })
	tests := []struct {
		desc   string
		filter Filter
		req    Request
		list   []*Upstream
		want   []string
	}{
		{"leaving is dropped", LeavingFilter{}, *modelRequest, []*Upstream{leaving, engine("b", 0)}, []string{"b"}},
		{"the loaded version stays", VersionFilter{}, *modelRequest, []*Upstream{engine("a", 0), service}, []string{"a"}},
		{"another version drops all", VersionFilter{}, Request{Model: "m", Version: "2"}, []*Upstream{engine("a", 0)}, []string{}},
		{"an unreported engine is dropped", VersionFilter{}, *modelRequest, []*Upstream{unreported}, []string{}},
		{"a service's hosts stay", VersionFilter{}, Request{Service: "desk"}, []*Upstream{engine("a", 0), service}, []string{"s"}},
		{"excluded is dropped", ExcludedFilter{}, Request{Exclude: []string{"a"}}, []*Upstream{engine("a", 0), engine("b", 0)}, []string{"b"}},
		{"ejected is dropped", EjectedFilter{}, *modelRequest, []*Upstream{ejectedFor("a", time.Second), engine("b", 0)}, []string{"b"}},
		{"an ejection ends", EjectedFilter{}, *modelRequest, []*Upstream{ejectedFor("a", 0), engine("b", 0)}, []string{"a", "b"}},
		{"the only candidate isn't ejected", EjectedFilter{}, *modelRequest, []*Upstream{ejectedFor("a", time.Second)}, []string{"a"}},
		{
			"at most a share is ejected", EjectedFilter{MaxShare: 0.5}, *modelRequest,
			[]*Upstream{ejectedFor("a", time.Second), ejectedFor("b", 3*time.Second), ejectedFor("c", 2*time.Second), engine("d", 0)},
			[]string{"a", "d"},
		},
		{"a long queue is dropped", CapacityFilter{}, *modelRequest, []*Upstream{engine("a", 20), engine("b", 19)}, []string{"b"}},
		{"all queues long drops none", CapacityFilter{}, *modelRequest, []*Upstream{engine("a", 20), engine("b", 30)}, []string{"a", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is.New(t).Equal(ids(tt.filter.Filter(&tt.req, tt.list, start)), tt.want)
		})
	}
}

func TestSelectorReportsDrops(t *testing.T) {
	is := is.New(t)
	leaving := changed(engine("a", 0), func(u *Upstream) { u.Leaving = true })
	list := []*Upstream{leaving, engine("b", 9), engine("c", 1)}
	choice, ok := NewSelector(NewPrefixIndex(0, time.Now)).Select(modelRequest, list, start, seeded())
	is.True(ok)
	is.Equal(choice.Upstream.ID, "c")
	is.Equal(choice.Among, 2)
	is.Equal(choice.Dropped, []DropCount{{Filter: "leaving", N: 1}})
	is.Equal(ids(list), []string{"a", "b", "c"}) // the caller's list is unchanged
	_, ok = NewSelector(NewPrefixIndex(0, time.Now)).Select(modelRequest, list[:1], start, seeded())
	is.True(!ok)
}

func TestSessionsStayTogetherWithinTheBound(t *testing.T) {
	is := is.New(t)
	selector := NewSelector(NewPrefixIndex(0, time.Now))
	list := []*Upstream{engine("a", 2), engine("b", 2), engine("c", 2)}
	req := &Request{Model: "m", Version: "1", SessionID: "s1"}
	first, _ := selector.Select(req, list, start, seeded())
	rnd := seeded()
	for range 50 {
		again, _ := selector.Select(req, list, start, rnd)
		is.Equal(again.Upstream.ID, first.Upstream.ID)
	}
	for i, u := range list {
		if u.ID == first.Upstream.ID {
			list[i] = engine(u.ID, 19)
		}
	}
	moved, _ := selector.Select(req, list, start, rnd)
	is.True(moved.Upstream.ID != first.Upstream.ID) // over the bound
}

func TestPrefixAttracts(t *testing.T) {
	is := is.New(t)
	index := NewPrefixIndex(0, func() time.Time { return start })
	req := &Request{Model: "m", Version: "1", PrefixHashes: []uint64{1, 2, 3, 4}}
	index.Sent("b", []uint64{1, 2, 3})
	list := []*Upstream{engine("a", 1), engine("b", 1), engine("c", 1)}
	rnd := seeded()
	for range 50 {
		choice, _ := NewSelector(index).Select(req, list, start, rnd)
		is.Equal(choice.Upstream.ID, "b")
	}
}
