package feed

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// These are the limits of a watcher with the default ApplyTime, computed in floating point as
// the watcher computes them.
const (
	testMaxRelayedAge = time.Duration(followerMaxAgeFraction * float64(defaultApplyTime))
	testRelayHold     = time.Duration(relayHoldFraction * float64(defaultApplyTime))
)

// storeAnswers is the function that answers calls for changes. The test replaces it while a
// watcher runs.
type storeAnswers struct {
	atomic.Pointer[changesAnswer]
}

// changesAnswer answers a call for the changes since a revision.
type changesAnswer func(ctx context.Context, since storage.Revision, received OnReceived) (Page, error)

func (a *storeAnswers) set(f changesAnswer) { a.Store(&f) }

// relayedWatcher runs a watcher that reads its table from the store. The store holds every call
// for changes until the test sets other answers. The test offers updates to the watcher.
func relayedWatcher(t *testing.T, options Options) (*Watcher, *scriptedSource, *recorder, *storeAnswers) {
	t.Helper()
	return relayedWatcherOf(t, options, func(ctx context.Context, _ storage.Revision, _ OnReceived) (Page, error) { return hang(ctx) })
}

// relayedWatcherOf is relayedWatcher with the store's answers to calls for changes.
func relayedWatcherOf(t *testing.T, options Options, changes changesAnswer) (*Watcher, *scriptedSource, *recorder, *storeAnswers) {
	t.Helper()
	var a storeAnswers
	a.set(changes)
	source := &scriptedSource{
		list: func(int) (Page, error) { return Page{Revision: 5}, nil },
	}
	source.changes = func(ctx context.Context, _ int, since storage.Revision) (Page, error) {
		return (*a.Load())(ctx, since, source.received)
	}
	seen := &recorder{}
	w := NewWatcher("t", source, seen, options, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w, source, seen, &a
}

// offerRepeatedly offers the watcher the update every 250 ms for the span.
func offerRepeatedly(w *Watcher, update Update, span time.Duration) {
	const interval = 250 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
		w.Offer(update, time.Now())
	}
	synctest.Wait()
}

func TestRelayedUpdatesReplaceCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, seen, answers := relayedWatcher(t, Options{})
		offerRepeatedly(w, Update{Since: 5, Revision: 5, Complete: true}, 10*time.Second)
		callsSoFar := source.changesCalls // a call may have begun before the first update
		is.True(callsSoFar <= 2)
		offerRepeatedly(w, Update{Since: 5, Revision: 8, Complete: true, Rows: rows(7, 8)}, 10*time.Second)
		is.Equal(source.changesCalls, callsSoFar)
		is.Equal(seen.changes, rows(7, 8)) // each change once, although the update was sent repeatedly
		is.True(!w.Unreachable())
		age, ok := w.Age()
		is.True(ok && age < time.Second)

		// The store is called soon after the last update. It holds the calls briefly at first, and
		// then for as long as those of a host without a hub.
		var calls, hold atomic.Int64
		answers.set(func(ctx context.Context, _ storage.Revision, _ OnReceived) (Page, error) {
			calls.Add(1)
			hold.Store(int64(source.hold))
			time.Sleep(source.hold)
			return Page{Revision: 8}, nil
		})
		time.Sleep(testMaxRelayedAge + 10*time.Millisecond)
		synctest.Wait()
		is.Equal(calls.Load(), int64(1))
		is.Equal(time.Duration(hold.Load()), testRelayHold)
		time.Sleep(standInTime + testRelayHold)
		synctest.Wait()
		is.Equal(time.Duration(hold.Load()), DefaultHold)
	})
}

// A host that begins to follow a table waits for another host's update before it calls the
// store for changes.
func TestFirstUpdateReplacesTheFirstCall(t *testing.T) {
	const firstUpdateWait = time.Second
	tests := []struct {
		desc         string
		updateAt     time.Duration
		relays       bool
		changesCalls int // shortly after firstUpdateWait
	}{
		{"the update comes in time", firstUpdateWait / 2, false, 0},
		{"no update", time.Hour, false, 1},
		{"others rely on this host", time.Hour, true, 2}, // each held for a short time
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, source, _, store := relayedWatcher(t, Options{FirstUpdateWait: firstUpdateWait, Relays: func() bool { return test.relays }})
				store.set(func(ctx context.Context, _ storage.Revision, _ OnReceived) (Page, error) {
					select {
					case <-ctx.Done():
						return Page{}, ctx.Err()
					case <-time.After(testRelayHold):
						return Page{Revision: 5}, nil
					}
				})
				time.AfterFunc(test.updateAt, func() { w.Offer(Update{Since: 5, Revision: 5, Complete: true}, time.Now()) })
				time.Sleep(firstUpdateWait + 10*time.Millisecond)
				synctest.Wait()
				is.Equal(source.changesCalls, test.changesCalls)
			})
		})
	}
}

// A host whose updates grow old because it is disconnected from the store must not keep others
// from calling the store.
func TestStaleUpdateIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, _, _ := relayedWatcher(t, Options{})
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			w.Offer(Update{Since: 5, Revision: 5, Complete: true, Age: time.Since(began)}, time.Now())
			time.Sleep(250 * time.Millisecond)
		}
		synctest.Wait()
		is.True(source.changesCalls >= 3)
	})
}

func TestIncompleteUpdateIsCompletedFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, seen, store := relayedWatcher(t, Options{})
		offerRepeatedly(w, Update{Since: 5, Revision: 5, Complete: true}, 8*time.Second)
		polls := source.changesCalls
		store.set(func(_ context.Context, since storage.Revision, _ OnReceived) (Page, error) {
			is.Equal(since, storage.Revision(5))
			return Page{Rows: rows(9), Revision: 9}, nil
		})
		offerRepeatedly(w, Update{Since: 5, Revision: 9}, 2*time.Second)
		is.Equal(source.changesCalls, polls+1)
		is.Equal(source.hold, time.Duration(0)) // the store has changes, so it need not hold the call
		is.Equal(seen.changes, rows(9))
	})
}

func TestUpdatesNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, seen, _ := relayedWatcher(t, Options{})
		offerRepeatedly(w, Update{Since: 5, Revision: 9, Complete: true, Rows: rows(7, 9)}, 8*time.Second)
		offerRepeatedly(w, Update{Since: 3, Revision: 8, Complete: true, Rows: rows(4, 8)}, time.Second)   // from a host that is behind
		offerRepeatedly(w, Update{Since: 7, Revision: 10, Complete: true, Rows: rows(9, 10)}, time.Second) // from a reply to a request that preceded revision 9
		is.Equal(seen.changes, rows(7, 9, 10))
		is.Equal(w.Revision(), storage.Revision(10))
	})
}

// An update whose changes begin after the watcher's revision lacks some of them and isn't
// applied.
func TestUpdateWithAGapIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, seen, _ := relayedWatcher(t, Options{})
		offerRepeatedly(w, Update{Since: 5, Revision: 5, Complete: true}, 8*time.Second)
		polls := source.changesCalls
		offerRepeatedly(w, Update{Since: 6, Revision: 9, Complete: true, Rows: rows(9)}, 500*time.Millisecond)
		is.Equal(len(seen.changes), 0)
		is.True(source.changesCalls > polls)
	})
}

func TestRelayCallsTheStoreMoreOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list: func(int) (Page, error) { return Page{Revision: 1}, nil },
			changes: func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
				if call > 1 {
					return hang(ctx)
				}
				return Page{Rows: rows(2), Revision: 2}, nil
			},
		}
		w, _ := runWatcher(source, Options{BatchDelay: time.Minute, Relays: func() bool { return true }}, time.Second)
		is.Equal(source.hold, testRelayHold)
		is.Equal(source.changesCalls, 2) // the pause after a change is at most RelayBatchDelay
		update, ok := w.UpdateSince(1, false, 1<<20)
		is.True(ok)
		is.Equal(update.Rows, rows(2))
		is.True(update.Age > 0 && update.Age < time.Second)
	})
}

func TestRecentChanges(t *testing.T) {
	long := strings.Repeat("x", minPackedBytes)
	many := make([]storage.Revision, minKeptRows+10)
	for i := range many {
		many[i] = storage.Revision(11 + i)
	}
	large := make([]Row, len(many))
	for i := range large {
		large[i] = entryRow(i, 11+i)
	}
	tests := []struct {
		desc     string
		rows     []Row
		since    storage.Revision
		want     []Row
		complete bool
	}{
		{"nothing new", nil, 10, nil, true},
		{"all", rows(11, 12), 10, rows(11, 12), true},
		{"only those after the revision", rows(11, 12), 11, rows(12), true},
		{"before the listing", rows(11), 9, nil, false},
		{"packed", []Row{{Key: "k", Revision: 11, Data: []byte(long)}, {Key: "gone", Revision: 12, Deleted: true}}, 10,
			[]Row{{Key: "k", Revision: 11, Data: []byte(long)}, {Key: "gone", Revision: 12, Deleted: true, Data: []byte{}}}, true},
		{"the oldest of a small table aren't kept", rows(many...), 15, nil, false},
		{"all are kept of a table with as many rows", large, 15, large[5:], true},
		{"the newest row only", rows(many...), storage.Revision(10 + len(many) - 1), rows(storage.Revision(10 + len(many))), true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			var r recentChanges
			_, ok := r.updateSince(0, false)
			is.True(!ok) // before the first listing
			r.reset(nil, 10, nil, false)
			newest := storage.Revision(10)
			if len(test.rows) > 0 {
				newest = test.rows[len(test.rows)-1].Revision
			}
			r.add(changeSet{rows: test.rows}, newest, true)
			update, ok := r.updateSince(test.since, false)
			is.True(ok)
			is.Equal(update.Revision, newest)
			is.Equal(update.Complete, test.complete)
			rows := update.Rows
			if update.Packed != nil {
				var err error
				rows, err = unpack(update.Packed)
				is.NoErr(err)
			}
			is.Equal(rows, test.want)
		})
	}
}

// A watcher whose calls of the store fail continues with another host's updates.
func TestRelayedUpdatesDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, seen, store := relayedWatcher(t, Options{})
		store.set(func(context.Context, storage.Revision, OnReceived) (Page, error) {
			return Page{}, errors.New("refused")
		})
		time.Sleep(10 * time.Second)
		is.True(w.Unreachable())
		offerRepeatedly(w, Update{Since: 5, Revision: 6, Complete: true, Rows: rows(6)}, 3*time.Second)
		is.True(!w.Unreachable())
		is.Equal(seen.changes, rows(6))
		time.Sleep(5 * time.Second)
		is.True(w.Unreachable())
	})
}

// When hosts begin to rely on this one, they receive updates soon, even if the store is holding
// a call of this host for a long time.
func TestHeldCallIsCanceledWhenHostsBeginToRely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var relays atomic.Bool
		w, source, _, store := relayedWatcher(t, Options{Relays: relays.Load})
		synctest.Wait()
		is.Equal(source.changesCalls, 1)
		is.Equal(source.hold, DefaultHold)
		store.set(func(ctx context.Context, _ storage.Revision, _ OnReceived) (Page, error) {
			select {
			case <-ctx.Done():
				return Page{}, ctx.Err()
			case <-time.After(testRelayHold):
				return Page{Revision: 5}, nil
			}
		})
		time.Sleep(500 * time.Millisecond)
		relays.Store(true)
		w.ShortenHold()
		time.Sleep(testRelayHold)
		synctest.Wait()
		is.True(source.changesCalls >= 2)
		is.Equal(source.hold, testRelayHold)
		age, _ := w.Age()
		is.True(age < testMaxRelayedAge)
		is.True(!w.Unreachable()) // the store answers
	})
}

// After lost history a watcher applies a whole table from another host, but never an older one
// than it passed on before.
func TestOlderTableIsNotApplied(t *testing.T) {
	is := is.New(t)
	seen := &recorder{}
	w := NewWatcher("t", &scriptedSource{}, seen, Options{}, zerolog.Nop())
	w.replace(rows(8), 8, nil)
	w.hasTable.Store(false)
	is.True(!w.applyUpdate(Update{Revision: 7, IsSnapshot: true, Packed: pack(rows(7))}, time.Now()))
	is.Equal(w.Revision(), storage.Revision(8))
	is.True(w.applyUpdate(Update{Revision: 9, IsSnapshot: true, Packed: pack(rows(9))}, time.Now()))
	is.Equal(w.Revision(), storage.Revision(9))
	is.Equal(len(seen.tables), 2)
}

// An update doesn't hold any changes if they take more bytes than the caller permits.
func TestChangesOfTooManyBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		data := make([]byte, 4*minPackedBytes)
		for i := range data {
			data[i] = byte(i * i * 31 >> 3)
		}
		w, _, _, store := relayedWatcher(t, Options{})
		store.set(func(ctx context.Context, since storage.Revision, _ OnReceived) (Page, error) {
			if since < 6 {
				return Page{Rows: []Row{{Key: "k", Revision: 6, Data: data}}, Revision: 6}, nil
			}
			return hang(ctx)
		})
		time.Sleep(10 * time.Second)
		update, ok := w.UpdateSince(5, false, 1<<20)
		is.True(ok && update.Complete && len(update.Packed) > 0)
		small, ok := w.UpdateSince(5, false, len(update.Packed)-1)
		is.True(ok && !small.Complete)
		is.Equal(len(small.Packed)+len(small.Rows), 0)
		is.Equal(small.Revision, update.Revision) // the revision tells the host that it must read changes
	})
}

func TestPackedRows(t *testing.T) {
	is := is.New(t)
	rows := []Row{{Key: "a", Revision: 1, Data: []byte("x")}, {Key: "", Revision: 1 << 60, Data: []byte{}}, {Key: "c", Revision: 3, Deleted: true, Data: []byte{}}}
	packed := pack(rows)
	got, err := unpack(packed)
	is.NoErr(err)
	is.Equal(got, rows)
	for i := range packed {
		if damaged, err := unpack(packed[:i]); err == nil && len(damaged) > len(rows) {
			t.Errorf("%d bytes: %v", i, damaged)
		}
	}
	_, err = unpack([]byte("no table"))
	is.True(errors.Is(err, errCorruptPacked))
}

// With a longer ApplyTime, a watcher relies on a relayed update for longer.
func TestLongerApplyTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, _, _ := relayedWatcher(t, Options{ApplyTime: 2 * defaultApplyTime})
		offerRepeatedly(w, Update{Since: 5, Revision: 5, Complete: true}, 10*time.Second)
		before := source.changesCalls
		w.Offer(Update{Since: 5, Revision: 5, Complete: true}, time.Now())
		time.Sleep(testMaxRelayedAge + 100*time.Millisecond)
		synctest.Wait()
		is.Equal(source.changesCalls, before)
		is.True(!w.Unreachable())
		time.Sleep(testMaxRelayedAge - 50*time.Millisecond) // ends before a second call may follow, 100 ms after the first
		synctest.Wait()
		is.Equal(source.changesCalls, before+1)
	})
}

// A page that isn't the last one doesn't count as success, and the next page is requested at
// once. Guards against a pause between pages, with which 10,000 changes took four seconds.
func TestChangesOfManyPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pages, storeLatency, batchDelay = 20, 5 * time.Millisecond, time.Second
		var w *Watcher
		source := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 1}, nil }}
		source.changes = func(ctx context.Context, call int, since storage.Revision) (Page, error) {
			if call > pages {
				return hang(ctx)
			}
			age, _ := w.Age()
			is.Equal(w.truncated, call > 1)
			is.True(age >= batchDelay+time.Duration(call-1)*storeLatency-time.Millisecond) // until the last page, the data are as of the listing
			time.Sleep(storeLatency)
			return Page{Rows: rows(since + 1), Revision: since + 1, Truncated: call < pages}, nil
		}
		seen := &recorder{}
		w = NewWatcher("t", source, seen, Options{BatchDelay: batchDelay}, zerolog.Nop())
		ctx, cancel := context.WithTimeout(t.Context(), batchDelay+2*pages*storeLatency)
		defer cancel()
		w.Run(ctx)
		is.Equal(len(seen.changes), pages)
		is.True(!w.truncated)
	})
}
