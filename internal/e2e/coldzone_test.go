package e2e

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

const (
	// coldRate is what a cold upstream of the pool tolerates a second, coldPermitted
	// what may reach it in any second by the hosts' settings.
	coldRate      = 10
	coldPermitted = coldRate*1.5 + 5
	coldStart     = 3 * time.Second
	// evacuateWithin is the time in which all hosts have to heed an evacuation.
	evacuateWithin = 5 * time.Second
)

// declareCold has the document say what cold upstreams of the pool tolerate.
func (s *fleetSystem) declareCold() {
	s.document["services"] = []any{map[string]any{"name": "app"}, map[string]any{
		"name": "pool", "cold_start_s": coldStart.Seconds(), "cold_per_s": coldRate,
	}}
	s.publish(2)
}

// callers send streams to all hosts until they are stopped.
func (s *fleetSystem) callers(number int) (stop func() []fleetAnswer) {
	end := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []fleetAnswer
	for i := range number {
		h := s.gateways[i%len(s.gateways)]
		group.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				a := s.send(h, "stream", "key-a")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	return func() []fleetAnswer {
		close(end)
		group.Wait()
		return answers
	}
}

// most is the greatest number of runs that began within a second.
func most(runs []platformtest.Run) int {
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	greatest, from := 0, 0
	for i := range runs {
		for runs[i].At.Sub(runs[from].At) >= time.Second {
			from++
		}
		greatest = max(greatest, i-from+1)
	}
	return greatest
}

func served(answers []fleetAnswer) int {
	n := 0
	for i := range answers {
		if answers[i].err == nil && answers[i].status == http.StatusOK {
			n++
		}
	}
	return n
}

// An upstream that just started is idle, so every host would send it the next request. It
// gets no more than it tolerates, and its share once it is warm.
func TestColdUpstreamGetsWhatItTolerates(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 9, 1)
	s.declareCold()
	time.Sleep(coldStart) // hubs answer, and what they granted before is known
	stop := s.callers(27)
	time.Sleep(time.Second)
	cold := s.addColdUpstream("pool", "v1", zone(0), coldStart)
	began := time.Now()
	time.Sleep(coldStart)
	whileCold := slices.DeleteFunc(cold.StartedRuns(), func(r platformtest.Run) bool { return r.At.Sub(began) >= coldStart })
	warm := time.Now()
	cold.ColdFor, cold.Sequence = 0, 2
	s.store.Put("servers", cold.ID, cold.Entry("available"))
	time.Sleep(3 * time.Second)
	answers := stop()
	later := slices.DeleteFunc(cold.StartedRuns(), func(r platformtest.Run) bool { return r.At.Before(warm.Add(time.Second)) })
	t.Logf("%d runs while cold, %d in a second at most; %d in two seconds when warm; %d of %d requests served",
		len(whileCold), most(whileCold), len(later), served(answers), len(answers))
	is.True(most(whileCold) <= coldPermitted)
	is.True(len(later) > 2*coldPermitted) // a warm one isn't held back
	is.Equal(served(answers), len(answers))
	is.Equal(s.problems(), nil)
}

// Nothing more reaches a zone that operators empty, until they take that back; what runs
// there ends well.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 3, 3)
	s.declareCold()
	inZone := func(after time.Time) int {
		n := 0
		for _, u := range s.upstreams {
			for _, r := range u.StartedRuns() {
				if u.Zone == zone(1) && r.At.After(after) {
					n++
				}
			}
		}
		return n
	}
	stop := s.callers(9)
	time.Sleep(time.Second)
	is.True(inZone(time.Time{}) > 0)
	s.store.Put("op", "evacuate/"+zone(1), []byte(`{}`))
	acknowledged := time.Now()
	time.Sleep(evacuateWithin + time.Second)
	late := inZone(acknowledged.Add(evacuateWithin))
	s.store.Remove("op", "evacuate/"+zone(1))
	back := time.Now()
	eventually(t, "the zone gets requests again", func() bool { return inZone(back) > 0 })
	answers := stop()
	t.Logf("%d requests after the evacuation was due; %d of %d served", late, served(answers), len(answers))
	is.Equal(late, 0)
	is.Equal(served(answers), len(answers))
	is.Equal(s.problems(), nil)
}

// The store goes away and comes back as it was some seconds before, and gives its revisions
// out again. Hosts take up what is written from then on, and go back to nothing older.
func TestStoreThatComesBackFromACopy(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 9, 1)
	copied := s.store.Backup()
	// Written after the copy: a withdrawn key, an upstream, and more revisions than are
	// given out again at first.
	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-a"}}}
	s.publish(5)
	for range 20 {
		s.store.Put("servers", s.upstreams[0].ID, s.upstreams[0].Entry("available"))
	}
	for _, h := range s.gateways {
		eventually(t, h.name+" refuses the key", func() bool { return s.send(h, "once", "key-b").status == http.StatusUnauthorized })
	}
	s.store.SetFault(platformtest.Busy)
	time.Sleep(time.Second)
	s.store.Restore(copied)
	s.store.SetFault(platformtest.Healthy)
	time.Sleep(3 * time.Second)
	for _, h := range s.gateways {
		s.mustServe(h)
		is.Equal(s.send(h, "once", "key-b").status, http.StatusUnauthorized) // the older document isn't taken
	}
	// What is written in the new era is heard, though its revisions were known before.
	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-a", "key-c"}}}
	s.publish(6)
	leaving := s.upstreams[1]
	leaving.Sequence = 2
	s.store.Put("servers", leaving.ID, leaving.Entry("draining"))
	heard := time.Now()
	for _, h := range s.gateways {
		eventually(t, h.name+" knows the new key", func() bool { return s.send(h, "once", "key-c").status == http.StatusOK })
	}
	t.Logf("the first document of the new era was in force everywhere after %v", time.Since(heard))
	is.True(time.Since(heard) < gatewayDrain)
	time.Sleep(gatewayDrain)
	before := len(leaving.StartedRuns())
	for _, h := range s.gateways {
		s.mustServe(h)
	}
	is.Equal(len(leaving.StartedRuns()), before)
	// A roll-out that was completed after the second copy stays so, though its order comes
	// again under a revision of its own.
	again := s.store.Backup()
	s.rollOut(t)
	s.store.Restore(again)
	time.Sleep(time.Second)
	s.store.Put("op", "rollout/pool", []byte(`{"service":"pool","to":"v2","duration_s":4}`))
	eventually(t, "the completion is written again", func() bool {
		return strings.Contains(string(s.store.Get("status", "rollout/pool")), `"completed"`)
	})
	is.Equal(s.problems(), nil)
}
