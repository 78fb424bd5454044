package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
)

// removeEntry removes an upstream's entry from the table.
func (s *fakeStore) removeEntry(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(testTables().Upstreams, feed.Row{Key: id, Deleted: true})
}

// newTableGateway returns a gateway that follows the upstreams' table with the product's options.
func newTableGateway(t *testing.T, store *fakeStore, drain time.Duration, relays bool) *Gateway {
	t.Helper()
	s := Settings{
		Host: "h1", Zone: "z1", ReadyPath: "/ready", TableSource: store, StatusTable: statusTable{store}, Tables: testTables(), Codec: testCodec(),
		Headers: testHeaders(), DrainTime: drain,
	}
	g := New(s, zerolog.Nop())
	options := feed.Options{ApplyTime: g.tableApplyTime()}
	if relays {
		options.Relays = func() bool { return true }
	}
	g.followUpstreams(options)
	return g
}

// follow runs the gateway's watcher of the upstreams' table.
func (g *Gateway) follow(ctx context.Context) { go g.upstreamWatcher.Run(ctx) }

// relay passes the table on from one gateway to another, which doesn't read the store then.
func relay(ctx context.Context, from, to *Gateway) {
	const interval = 250 * time.Millisecond
	go func() {
		for ctx.Err() == nil {
			requestedAt := time.Now()
			if update, ok := from.upstreamWatcher.UpdateSince(to.upstreamWatcher.Revision(), false, 1<<20); ok {
				time.Sleep(20 * time.Millisecond) // the reply's way
				to.upstreamWatcher.Offer(update, requestedAt)
			}
			time.Sleep(interval)
		}
	}()
}

// lastUse returns how long after the removal of its entry the gateway last chooses the upstream, which is the only one
// of its service by then.
func lastUse(g *Gateway, removedAt time.Time, id string, until time.Duration) time.Duration {
	last := time.Duration(-1)
	for time.Since(removedAt) < until {
		c, ok := g.fleet.choose(criteria{service: "svc", zone: "z1", admitsVersion: func(string) bool { return true }})
		if ok {
			if c.upstream.ID == id && g.fleet.maySend(&c) {
				last = time.Since(removedAt)
			}
			g.fleet.release(c, attemptResult{outcome: outcomeDone})
		}
		time.Sleep(10 * time.Millisecond)
	}
	return last
}

// A request must not be sent to an upstream later than its drain time after the removal of its entry, although hosts
// receive the removal late: they read several changes at a time, and receive them through other hosts.
func TestRemovedUpstreamIsUsedAfterItsDrainTime(t *testing.T) {
	for _, drain := range []time.Duration{2 * time.Second, 5 * time.Second, 30 * time.Second} {
		for _, source := range []string{"store", "hub"} {
			t.Run(fmt.Sprint(drain, " ", source), func(t *testing.T) {
				for step := range 12 {
					// The last upstream is removed at this time after the first one.
					gap := drain * time.Duration(step) / 20
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						store := newFakeStore()
						for _, id := range []string{"first", "last"} {
							store.put(testTables().Upstreams, id, Upstream{Service: "svc", Address: id + ":9", Zone: "z1", Version: "v1", Slots: 8})
						}
						g := newTableGateway(t, store, drain, false)
						if source == "hub" {
							hub := newTableGateway(t, store, drain, true)
							hub.follow(ctx)
							relay(ctx, hub, g)
						}
						g.follow(ctx)
						time.Sleep(3*drain + time.Second)
						store.removeEntry("first")
						time.Sleep(gap)
						removedAt := time.Now()
						store.removeEntry("last")
						last := lastUse(g, removedAt, "last", 2*drain)
						is.True(last <= drain-200*time.Millisecond) // and the request still has to arrive
						is.True(last >= 0)                          // the upstream was in use before this host received the removal
						cancel()
						time.Sleep(time.Second) // until the goroutines have ended
					})
				}
			})
		}
	}
}

// While an upstream still serves after the removal of its entry, it is used if no other is left.
func TestLastUpstreamIsUsedWhileItServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newFakeStore()
		store.put(testTables().Upstreams, "last", Upstream{Service: "svc", Address: "last:9", Zone: "z1", Version: "v1", Slots: 8})
		g := newTableGateway(t, store, 2*time.Second, false)
		g.follow(ctx)
		time.Sleep(10 * time.Second)
		removedAt := time.Now()
		store.removeEntry("last")
		is.True(lastUse(g, removedAt, "last", 4*time.Second) >= time.Second)
		cancel()
		time.Sleep(time.Second) // until the goroutines have ended
	})
}

// A request that waited for a connection to a removed upstream must not be written after the upstream's drain time.
func TestRequestThatWaitsIsWrittenAfterTheDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := NewFleet(time.Second, zerolog.Nop())
		f.ApplyEntry(Upstream{ID: "u", Service: "svc", Address: "u:9", Zone: "z1", Version: "v1", Slots: 8}, 1)
		c, ok := f.choose(criteria{service: "svc", zone: "z1", admitsVersion: func(string) bool { return true }})
		is.True(ok)
		f.RemoveEntry("u", 2, false)
		time.Sleep(900 * time.Millisecond)
		is.True(f.maySend(&c))
		time.Sleep(200 * time.Millisecond)
		is.True(!f.maySend(&c))
	})
}
