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
	// coldRate is the number of requests a second that a cold upstream of the pool
	// tolerates. maxColdRuns is the number of requests that may reach it in any second
	// according to the hosts' settings cold_overrun and cold_headroom.
	coldRate    = 10
	maxColdRuns = coldRate*1.5 + 5
	coldStart   = 3 * time.Second
	// evacuationBound is the time within which all hosts must have applied an
	// evacuation.
	evacuationBound = 5 * time.Second
)

// declareCold publishes a document with the rate that cold upstreams of the pool
// tolerate.
func (s *gatewaySystem) declareCold() {
	s.document["services"] = []any{map[string]any{"name": "app"}, map[string]any{
		"name": "pool", "cold_start_s": coldStart.Seconds(), "cold_per_s": coldRate,
	}}
	s.publish(2)
}

// startCallers starts callers that send streams to all hosts. The returned
// function stops them and returns their answers.
func (s *gatewaySystem) startCallers(number int) (stop func() []gatewayAnswer) {
	end := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []gatewayAnswer
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
	return func() []gatewayAnswer {
		close(end)
		group.Wait()
		return answers
	}
}

// maxRunsPerSecond returns the greatest number of runs that began within any
// second.
func maxRunsPerSecond(runs []platformtest.Run) int {
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

func countServed(answers []gatewayAnswer) int {
	n := 0
	for i := range answers {
		if answers[i].err == nil && answers[i].status == http.StatusOK {
			n++
		}
	}
	return n
}

// An upstream that just started has no load, so without a limit every host would send it
// the next request. It must get no more than it tolerates while it is cold, and its share
// once it is warm.
func TestColdUpstreamGetsWhatItTolerates(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 9, 1)
	s.declareCold()
	time.Sleep(coldStart) // until hubs answer and earlier grants are known
	stop := s.startCallers(27)
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
		len(whileCold), maxRunsPerSecond(whileCold), len(later), countServed(answers), len(answers))
	is.True(maxRunsPerSecond(whileCold) <= maxColdRuns)
	is.True(len(later) > 2*maxColdRuns) // a warm upstream isn't limited
	is.Equal(countServed(answers), len(answers))
	is.Equal(s.problems(), nil)
}

// No new request reaches an evacuated zone until operators end the evacuation, and requests
// that run there are completed.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 3, 3)
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
	stop := s.startCallers(9)
	time.Sleep(time.Second)
	is.True(inZone(time.Time{}) > 0)
	s.store.Put("op", "evacuate/"+zone(1), []byte(`{}`))
	acknowledged := time.Now()
	time.Sleep(evacuationBound + time.Second)
	late := inZone(acknowledged.Add(evacuationBound))
	s.store.Remove("op", "evacuate/"+zone(1))
	lifted := time.Now()
	eventually(t, "the zone gets requests again", func() bool { return inZone(lifted) > 0 })
	answers := stop()
	t.Logf("%d requests after the evacuation was due; %d of %d served", late, countServed(answers), len(answers))
	is.Equal(late, 0)
	is.Equal(countServed(answers), len(answers))
	is.Equal(s.problems(), nil)
}

// After an outage the store is restored from a backup some seconds old, and assigns the
// revisions since then a second time. Hosts must apply what is written after that, and
// must not return to older rows.
func TestStoreRestoredFromBackup(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 9, 1)
	backup := s.store.Backup()
	// After the backup a key is removed and the row of an upstream is written repeatedly,
	// which takes more revisions than the restored store assigns again at first.
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
	s.store.Restore(backup)
	s.store.SetFault(platformtest.Healthy)
	time.Sleep(3 * time.Second)
	for _, h := range s.gateways {
		s.requireServed(h)
		is.Equal(s.send(h, "once", "key-b").status, http.StatusUnauthorized) // the older document isn't applied
	}
	// Rows written in the new era are applied although their revisions were used before.
	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-a", "key-c"}}}
	s.publish(6)
	leaving := s.upstreams[1]
	leaving.Sequence = 2
	s.store.Put("servers", leaving.ID, leaving.Entry("draining"))
	written := time.Now()
	for _, h := range s.gateways {
		eventually(t, h.name+" accepts the new key", func() bool { return s.send(h, "once", "key-c").status == http.StatusOK })
	}
	t.Logf("the first document of the new era was in force everywhere after %v", time.Since(written))
	is.True(time.Since(written) < gatewayDrain)
	time.Sleep(gatewayDrain)
	before := len(leaving.StartedRuns())
	for _, h := range s.gateways {
		s.requireServed(h)
	}
	is.Equal(len(leaving.StartedRuns()), before)
	// A roll-out that was completed after the second backup stays completed although its
	// order is written again with another revision.
	secondBackup := s.store.Backup()
	s.rollOut(t)
	s.store.Restore(secondBackup)
	time.Sleep(time.Second)
	s.store.Put("op", "rollout/pool", []byte(`{"service":"pool","to":"v2","duration_s":4}`))
	eventually(t, "the completion is written again", func() bool {
		return strings.Contains(string(s.store.Get("status", "rollout/pool")), `"completed"`)
	})
	is.Equal(s.problems(), nil)
}
