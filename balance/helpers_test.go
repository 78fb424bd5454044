package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fakeClock is a clock that tests advance explicitly.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time          { return c.now }
func (c *fakeClock) Advance(d time.Duration) { c.now = c.now.Add(d) }

func newEngine(id string, running int) *Upstream {
	return &Upstream{
		ID:       id,
		Kind:     storage.KindEngine,
		Versions: []string{"m@1"},
		Reported: upstream.Load{Running: running, Capacity: 10},
	}
}

func newHost(id string) storage.Host {
	return storage.Host{
		ID:      id,
		Kind:    storage.KindEngine,
		Name:    "m",
		Zone:    "a",
		Address: "127.0.0.1:1",
		State:   storage.HostLive,
	}
}

func newLoad(running int) upstream.Load {
	return upstream.Load{Running: running, Capacity: 10, Versions: []string{"m@1"}}
}

// newTestPool returns a pool of engines that have reported an idle state.
func newTestPool(t *testing.T, ids ...string) (*Pool, *fakeClock, []storage.Host) {
	t.Helper()
	clock := &fakeClock{now: start}
	pool := NewPool(Options{Host: "entry-1", Zone: "a", Clock: clock.Now, Seed: 1})
	var list []storage.Host
	for _, id := range ids {
		list = append(list, newHost(id))
	}
	pool.Update(list)
	for _, id := range ids {
		pool.Report(id, newLoad(0), clock.Now())
	}
	return pool, clock, list
}

func findUpstream(pool *Pool, id string) *Upstream {
	for _, u := range pool.View() {
		if u.ID == id {
			return u
		}
	}
	return nil
}

func newSeededRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

var modelRequest = &Request{Model: "m", Version: "1", Zone: "a"}
