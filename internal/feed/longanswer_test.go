package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against hosts that rely on a hub that reads a large answer over a slow link: they must apply
// what it sends, but call the store themselves.
func TestHostsCallTheStoreWhileTheirHubReadsALongAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hubSource := &lostHistorySource{}
		hub := NewWatcher("t", hubSource, &recorder{}, Options{Relays: func() bool { return true }}, zerolog.Nop())
		w, source, seen, _ := relayedWatcher(t, Options{})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { hub.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		offer := func() {
			update, ok := hub.UpdateSince(5, true, 1<<20)
			is.True(ok)
			w.Offer(update, time.Now())
			synctest.Wait()
		}
		for range 100 { // until the call of its start has failed
			time.Sleep(100 * time.Millisecond)
			offer()
		}
		is.True(w.relying)
		calls := source.changesCalls
		hubSource.lost.Store(true)
		time.Sleep(testRelayHold)
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			if offer(); source.changesCalls > calls {
				break
			}
		}
		is.True(source.changesCalls > calls)
		age, _ := hub.Age()
		is.True(age < testMaxRelayedAge) // at this age it wouldn't rely on the hub anyway
		w.Offer(Update{Since: 5, Revision: 6, Complete: true, Rows: rows(6), Outdated: true}, time.Now())
		synctest.Wait()
		is.Equal(seen.changes, rows(6))
		is.True(!w.HasFreshUpdate())
	})
}
