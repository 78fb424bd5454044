package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// relayedWithin is the time within which a watcher must apply a complete update from another
// host, whatever it waits for.
const relayedWithin = 100 * time.Millisecond

// Guards against a watcher that has an update from another host and doesn't apply it before a
// wait for the store has ended.
func TestRelayedUpdateEndsAWaitForTheStore(t *testing.T) {
	unavailable := errors.New("status 503")
	tests := []struct {
		desc    string
		changes func(ctx context.Context, call int) (Page, error)
		// otherFails makes another watcher's calls on the same link fail from the start.
		otherFails bool
		// wait is the time until the other host sends the update.
		wait time.Duration
	}{
		{"the pause after failed calls", func(context.Context, int) (Page, error) { return Page{}, unavailable }, false, 9 * time.Second},
		{"a call on a connection that went silent", func(ctx context.Context, _ int) (Page, error) { return hang(ctx) }, false, time.Second},
		{"an answer that takes long to arrive", func(ctx context.Context, _ int) (Page, error) { return hang(ctx) }, false, time.Second},
		{"another watcher's calls during an outage", func(ctx context.Context, _ int) (Page, error) { return hang(ctx) }, true, 9 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				link := NewLink()
				source := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 5}, nil }}
				source.changes = func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
					if test.desc == "an answer that takes long to arrive" {
						return Page{}, receiveParts(ctx, source.received, 10*time.Second)
					}
					return test.changes(ctx, call)
				}
				seen := &recorder{}
				w := NewWatcher("t", source, seen, Options{Link: link, Hold: 6 * time.Second}, zerolog.Nop())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{}, 2)
				go func() { w.Run(ctx); done <- struct{}{} }()
				time.Sleep(time.Millisecond) // the watcher reads its table
				synctest.Wait()
				if test.otherFails {
					failing := &scriptedSource{
						list:    func(int) (Page, error) { return Page{Revision: 5}, nil },
						changes: func(context.Context, int, storage.Revision) (Page, error) { return Page{}, unavailable },
					}
					other := NewWatcher("other", failing, &recorder{}, Options{Link: link}, zerolog.Nop())
					go func() { other.Run(ctx); done <- struct{}{} }()
				} else {
					done <- struct{}{}
				}
				time.Sleep(test.wait)
				synctest.Wait()
				w.Offer(Update{Since: 5, Revision: 6, Complete: true, Rows: rows(6)}, time.Now())
				time.Sleep(relayedWithin)
				synctest.Wait()
				applied := len(seen.changes)
				cancel()
				<-done
				<-done
				is.Equal(applied, 1) // the update is applied at once
			})
		})
	}
}

// Guards against an update that arrives after the watcher has looked for one and before its call is in
// flight, and that is applied only when the store's hold of the call ends.
func TestUpdateJustBeforeACallEndsTheCall(t *testing.T) {
	for _, offer := range []struct {
		desc string
		to   func(w *Watcher, update Update)
	}{
		{"an update to rely on", func(w *Watcher, update Update) { w.Offer(update, time.Now()) }},
		{"rows alone", func(w *Watcher, update Update) { w.OfferRows(update) }},
	} {
		t.Run(offer.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source := &scriptedSource{
					list:    func(int) (Page, error) { return Page{Revision: 5}, nil },
					changes: func(ctx context.Context, _ int, _ storage.Revision) (Page, error) { return hang(ctx) },
				}
				var w *Watcher
				offered := false
				// It is called between these two steps.
				holdsBriefly := func() bool {
					if !offered {
						offered = true
						offer.to(w, Update{Since: 5, Revision: 6, Complete: true, Rows: rows(6)})
					}
					return false
				}
				seen := &recorder{}
				w = NewWatcher("t", source, seen, Options{HoldsBriefly: holdsBriefly}, zerolog.Nop())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { w.Run(ctx); close(done) }()
				time.Sleep(relayedWithin)
				synctest.Wait()
				cancel()
				<-done
				is.True(offered)
				is.Equal(seen.changes, rows(6))
			})
		})
	}
}

// Guards against a host that runs out of memory when a large row changes many times: it must
// not keep each version of the row.
func TestVersionsOfALargeRowAreNotKept(t *testing.T) {
	is := is.New(t)
	const size, changes = 1 << 20, 200
	var recent recentChanges
	recent.reset(nil, 1, nil, false)
	for i := range changes {
		revision := storage.Revision(i + 2)
		recent.add(changeSet{rows: []Row{{Key: "document", Revision: revision, Data: make([]byte, size)}}}, revision, true)
	}
	kept := 0
	for _, batch := range recent.batches {
		for _, row := range batch.rows {
			kept += len(row.Data)
		}
	}
	is.True(kept <= 4*size)
}

// Guards against a host that gives up an answer of the store for another host's update that holds
// no changes: the answer may hold the change that the other host doesn't have.
func TestEmptyUpdateDoesNotEndAnArrivingAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, seen, _ := relayedWatcherOf(t, Options{}, func(ctx context.Context, since storage.Revision, received OnReceived) (Page, error) {
			if since >= 9 {
				return hang(ctx)
			}
			if err := receiveParts(ctx, received, 2*time.Second); err != nil {
				return Page{}, err
			}
			return Page{Rows: rows(9), Revision: 9}, nil
		})
		time.Sleep(500 * time.Millisecond) // the answer has begun to arrive
		synctest.Wait()
		offerRepeatedly(w, Update{Since: 5, Revision: 7, Complete: true}, 2*time.Second)
		is.Equal(seen.changes, rows(9))
	})
}

// Guards against a host that waits until the last update of a hub that doesn't answer any more is
// too old, before it asks the store.
func TestStoreIsCalledWhenTheHubIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, _, _ := relayedWatcher(t, Options{FirstUpdateWait: time.Second})
		w.Offer(Update{Since: 5, Revision: 5, Complete: true}, time.Now())
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		calls := source.changesCalls
		w.HubLost()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		is.Equal(source.changesCalls, calls+1)
		w.Offer(Update{Since: 5, Revision: 6, Complete: true, Rows: rows(6)}, time.Now())
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		is.Equal(w.Revision(), storage.Revision(6)) // the next hub's update replaces the call
	})
}

// A host states for how long another host is known to have changes that it lacks, also while these
// arrive in parts.
func TestLagWhileChangesArriveInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, _, _ := relayedWatcher(t, Options{})
		time.Sleep(time.Millisecond)
		synctest.Wait()
		w.Offer(Update{Since: 5, Revision: 5, Complete: true}, time.Now())
		is.Equal(w.Lag(), time.Duration(0))
		w.Offer(Update{Since: 5, Revision: 6, Remaining: 400 * time.Millisecond}, time.Now())
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		is.Equal(w.Lag(), 400*time.Millisecond)
		w.Offer(Update{Since: 5, Revision: 6, Complete: true, Rows: rows(6)}, time.Now())
		time.Sleep(time.Millisecond)
		synctest.Wait()
		is.Equal(w.Lag(), time.Duration(0))
	})
}

// A host applies newer rows of a host that doesn't relay the table, and goes on calling the store,
// since no further updates need follow.
func TestRowsOfAHostThatDoesNotRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, seen, _ := relayedWatcher(t, Options{})
		time.Sleep(time.Millisecond)
		synctest.Wait()
		age, _ := w.Age()
		w.OfferRows(Update{Since: 5, Revision: 6, Complete: true, Rows: rows(6)})
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(seen.changes, rows(6))
		is.Equal(w.HasFreshUpdate(), false)
		is.Equal(source.changesCalls, 2) // the canceled call, and the next one
		later, _ := w.Age()
		is.Equal(later, age+100*time.Millisecond) // rows are no evidence that there are no newer ones
		w.OfferRows(Update{Since: 5, Revision: 7, Complete: true})
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(source.changesCalls, 2) // an update without rows ends no call
	})
}

// Guards against a host whose history was lost and that applies the same old snapshot of another
// host without end.
func TestOldSnapshotAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var fails atomic.Bool
		var calls atomic.Int64
		source := &scriptedSource{
			list: func(int) (Page, error) {
				calls.Add(1)
				if fails.Load() {
					return Page{}, errors.New("status 503")
				}
				return Page{Revision: 5}, nil
			},
			changes: func(ctx context.Context, _ int, _ storage.Revision) (Page, error) {
				calls.Add(1)
				if fails.Load() {
					return Page{}, ErrHistoryLost
				}
				return hang(ctx)
			},
		}
		w := NewWatcher("t", source, &recorder{}, Options{}, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { w.Run(ctx); close(done) }()
		time.Sleep(time.Millisecond)
		w.Offer(Update{Revision: 5, IsSnapshot: true, Packed: pack(rows(5))}, time.Now())
		time.Sleep(testMaxRelayedAge)
		fails.Store(true)
		time.Sleep(DefaultHold + 2*answerTimeout) // until the call in flight has failed
		before := calls.Load()
		time.Sleep(10 * maxBackoff)
		after := calls.Load()
		cancel()
		<-done
		is.True(after-before <= 21) // each pause is half of maxBackoff or more
	})
}

// Guards against whole rows that are left because deltas of the same revision couldn't be applied.
func TestWholeRowsAfterUnusableDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, seen, _ := relayedWatcher(t, Options{})
		time.Sleep(time.Millisecond)
		synctest.Wait()
		delta := RowDelta{Key: "k", Base: 4, Revision: 6, Delta: compress([]byte("unusable"))}
		w.OfferRows(Update{Since: 5, Revision: 6, Complete: true, Deltas: []RowDelta{delta}})
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		is.Equal(w.AcceptsDeltas(), false)
		is.Equal(len(seen.changes), 0)
		w.OfferRows(Update{Since: 5, Revision: 6, Complete: true, Rows: rows(6)})
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		is.Equal(seen.changes, rows(6))
		is.True(w.AcceptsDeltas())
	})
}
