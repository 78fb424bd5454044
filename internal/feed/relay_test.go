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

// The times of a watcher without Options.Heed, in floating point as the watcher has them.
const (
	testRelayedAge = time.Duration(relayedPart * float64(defaultHeed))
	testRelayHold  = time.Duration(relayHoldPart * float64(defaultHeed))
)

// answers is how a store answers calls for changes; the test changes it while a
// watcher runs.
type answers struct {
	atomic.Pointer[func(ctx context.Context, since storage.Revision) (Page, error)]
}

func (a *answers) set(f func(ctx context.Context, since storage.Revision) (Page, error)) { a.Store(&f) }

// relayedWatcher runs a watcher of a listed table whose store holds every call at
// first; the test offers news meanwhile.
func relayedWatcher(t *testing.T, options Options) (*Watcher, *scriptedSource, *recorder, *answers) {
	t.Helper()
	var a answers
	a.set(func(ctx context.Context, _ storage.Revision) (Page, error) { return hang(ctx) })
	source := &scriptedSource{
		list:    func(int) (Page, error) { return Page{Revision: 5}, nil },
		changes: func(ctx context.Context, _ int, since storage.Revision) (Page, error) { return (*a.Load())(ctx, since) },
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

// tell offers the news at each interval for the span.
func tell(w *Watcher, n News, span time.Duration) {
	const interval = 250 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
		w.Offer(n, time.Now())
	}
	synctest.Wait()
}

func TestAnotherHostsWordSparesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, seen, _ := relayedWatcher(t, Options{})
		tell(w, News{Since: 5, Revision: 5, Complete: true}, 10*time.Second)
		first := source.polls // one may have begun before the first word
		is.True(first <= 2)
		tell(w, News{Since: 5, Revision: 8, Complete: true, Rows: rows(7, 8)}, 10*time.Second)
		is.Equal(source.polls, first)
		is.Equal(seen.changes, rows(7, 8)) // once, though told often
		is.True(!w.Interrupted())
		age, ok := w.Age()
		is.True(ok && age < time.Second)

		// The store is asked soon after the last word.
		time.Sleep(testRelayedAge + 10*time.Millisecond)
		synctest.Wait()
		is.Equal(source.polls, first+1)
		is.Equal(source.hold, DefaultHold)
	})
}

// A host that begins to follow a table waits a moment for another host's word.
func TestFirstWordSparesTheFirstCall(t *testing.T) {
	const first = time.Second
	tests := []struct {
		desc   string
		wordAt time.Duration
		relays bool
		polls  int // by first plus a moment
	}{
		{"the word comes in time", first / 2, false, 0},
		{"no word", time.Hour, false, 1},
		{"others rely on this host", time.Hour, true, 2}, // held for a short time each
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, source, _, store := relayedWatcher(t, Options{FirstWord: first, Relays: func() bool { return test.relays }})
				store.set(func(ctx context.Context, _ storage.Revision) (Page, error) {
					select {
					case <-ctx.Done():
						return Page{}, ctx.Err()
					case <-time.After(testRelayHold):
						return Page{Revision: 5}, nil
					}
				})
				time.AfterFunc(test.wordAt, func() { w.Offer(News{Since: 5, Revision: 5, Complete: true}, time.Now()) })
				time.Sleep(first + 10*time.Millisecond)
				synctest.Wait()
				is.Equal(source.polls, test.polls)
			})
		})
	}
}

// A host that is itself cut off from the store must not keep others from asking.
func TestOldWordIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, _, _ := relayedWatcher(t, Options{})
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			w.Offer(News{Since: 5, Revision: 5, Complete: true, Age: time.Since(began)}, time.Now())
			time.Sleep(250 * time.Millisecond)
		}
		synctest.Wait()
		is.True(source.polls >= 3)
	})
}

func TestIncompleteWordIsCompletedByTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, seen, store := relayedWatcher(t, Options{})
		tell(w, News{Since: 5, Revision: 5, Complete: true}, 8*time.Second)
		polls := source.polls
		store.set(func(_ context.Context, since storage.Revision) (Page, error) {
			is.Equal(since, storage.Revision(5))
			return Page{Rows: rows(9), Revision: 9}, nil
		})
		tell(w, News{Since: 5, Revision: 9}, 2*time.Second)
		is.Equal(source.polls, polls+1)
		is.Equal(source.hold, time.Duration(0)) // the answer is there already
		is.Equal(seen.changes, rows(9))
	})
}

func TestWordNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, seen, _ := relayedWatcher(t, Options{})
		tell(w, News{Since: 5, Revision: 9, Complete: true, Rows: rows(7, 9)}, 8*time.Second)
		tell(w, News{Since: 3, Revision: 8, Complete: true, Rows: rows(4, 8)}, time.Second)   // a host that is behind
		tell(w, News{Since: 7, Revision: 10, Complete: true, Rows: rows(9, 10)}, time.Second) // asked before 9 was known
		is.Equal(seen.changes, rows(7, 9, 10))
		is.Equal(w.Revision(), storage.Revision(10))
	})
}

// A word whose changes begin after what the watcher knows has a gap.
func TestWordWithAGapIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, seen, _ := relayedWatcher(t, Options{})
		tell(w, News{Since: 5, Revision: 5, Complete: true}, 8*time.Second)
		polls := source.polls
		tell(w, News{Since: 6, Revision: 9, Complete: true, Rows: rows(9)}, 500*time.Millisecond)
		is.Equal(len(seen.changes), 0)
		is.True(source.polls > polls)
	})
}

func TestRelayHearsMoreOften(t *testing.T) {
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
		w, _ := watch(source, Options{Gather: time.Minute, Relays: func() bool { return true }}, time.Second)
		is.Equal(source.hold, testRelayHold)
		is.Equal(source.polls, 2) // the pause after a change is short, too
		n, ok := w.News(1, 1<<20)
		is.True(ok)
		is.Equal(n.Rows, rows(2))
		is.True(n.Age > 0 && n.Age < time.Second)
	})
}

func TestRecentChanges(t *testing.T) {
	long := strings.Repeat("x", packFrom)
	many := make([]storage.Revision, recentRows+10)
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
		{"the later ones", rows(11, 12), 11, rows(12), true},
		{"before the listing", rows(11), 9, nil, false},
		{"packed", []Row{{Key: "k", Revision: 11, Data: []byte(long)}, {Key: "gone", Revision: 12, Deleted: true}}, 10,
			[]Row{{Key: "k", Revision: 11, Data: []byte(long)}, {Key: "gone", Revision: 12, Deleted: true, Data: []byte{}}}, true},
		{"the oldest of a small table aren't kept", rows(many...), 15, nil, false},
		{"as many as a large table has", large, 15, large[5:], true},
		{"what is kept", rows(many...), storage.Revision(10 + len(many) - 1), rows(storage.Revision(10 + len(many))), true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			var r recent
			_, ok := r.since(0)
			is.True(!ok) // not listed
			r.reset(nil, 10, nil)
			newest := storage.Revision(10)
			if len(test.rows) > 0 {
				newest = test.rows[len(test.rows)-1].Revision
			}
			r.add(test.rows, nil, newest, true)
			n, ok := r.since(test.since)
			is.True(ok)
			is.Equal(n.Revision, newest)
			is.Equal(n.Complete, test.complete)
			rows := n.Rows
			if n.Packed != nil {
				var err error
				rows, err = unpack(n.Packed)
				is.NoErr(err)
			}
			is.Equal(rows, test.want)
		})
	}
}

// A watcher whose store fails goes on by what another host tells.
func TestAnotherHostsWordInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, seen, store := relayedWatcher(t, Options{})
		store.set(func(context.Context, storage.Revision) (Page, error) { return Page{}, errors.New("refused") })
		time.Sleep(10 * time.Second)
		is.True(w.Interrupted())
		tell(w, News{Since: 5, Revision: 6, Complete: true, Rows: rows(6)}, 3*time.Second)
		is.True(!w.Interrupted())
		is.Equal(seen.changes, rows(6))
		time.Sleep(5 * time.Second)
		is.True(w.Interrupted())
	})
}

// Hosts that begin to rely on this one hear from it soon, also if the store holds a call
// for long.
func TestHeldCallIsGivenUpForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var relays atomic.Bool
		w, source, _, store := relayedWatcher(t, Options{Relays: relays.Load})
		synctest.Wait()
		is.Equal(source.polls, 1)
		is.Equal(source.hold, DefaultHold)
		store.set(func(ctx context.Context, _ storage.Revision) (Page, error) {
			select {
			case <-ctx.Done():
				return Page{}, ctx.Err()
			case <-time.After(testRelayHold):
				return Page{Revision: 5}, nil
			}
		})
		time.Sleep(500 * time.Millisecond)
		relays.Store(true)
		w.Hurry()
		time.Sleep(testRelayHold)
		synctest.Wait()
		is.True(source.polls >= 2)
		is.Equal(source.hold, testRelayHold)
		age, _ := w.Age()
		is.True(age < testRelayedAge)
		is.True(!w.Interrupted()) // the store answers
	})
}

// After lost history the table is read again, from another host, too, but never an older
// one than was handed on.
func TestOlderTableIsNotTaken(t *testing.T) {
	is := is.New(t)
	seen := &recorder{}
	w := NewWatcher("t", &scriptedSource{}, seen, Options{}, zerolog.Nop())
	w.replace(rows(8), 8, nil)
	w.listed = false
	is.True(!w.takeNews(News{Revision: 7, Whole: true, Packed: pack(rows(7))}, time.Now()))
	is.Equal(w.Revision(), storage.Revision(8))
	is.True(w.takeNews(News{Revision: 9, Whole: true, Packed: pack(rows(9))}, time.Now()))
	is.Equal(w.Revision(), storage.Revision(9))
	is.Equal(len(seen.tables), 2)
}

// Changes that take more than the bytes that a host may be told aren't told at all.
func TestChangesOfTooManyBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		data := make([]byte, 4*packFrom)
		for i := range data {
			data[i] = byte(i * i * 31 >> 3)
		}
		w, _, _, store := relayedWatcher(t, Options{})
		store.set(func(ctx context.Context, since storage.Revision) (Page, error) {
			if since < 6 {
				return Page{Rows: []Row{{Key: "k", Revision: 6, Data: data}}, Revision: 6}, nil
			}
			return hang(ctx)
		})
		time.Sleep(10 * time.Second)
		n, ok := w.News(5, 1<<20)
		is.True(ok && n.Complete && len(n.Packed) > 0)
		small, ok := w.News(5, len(n.Packed)-1)
		is.True(ok && !small.Complete)
		is.Equal(len(small.Packed)+len(small.Rows), 0)
		is.Equal(small.Revision, n.Revision) // the host learns that there is something to read
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
	is.True(errors.Is(err, errPacked))
}

// Where changes may be heeded later, a relay's word is relied on for longer.
func TestLongerHeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, source, _, _ := relayedWatcher(t, Options{Heed: 2 * defaultHeed})
		tell(w, News{Since: 5, Revision: 5, Complete: true}, 10*time.Second)
		before := source.polls
		w.Offer(News{Since: 5, Revision: 5, Complete: true}, time.Now())
		time.Sleep(testRelayedAge + 100*time.Millisecond)
		synctest.Wait()
		is.Equal(source.polls, before)
		is.True(!w.Interrupted())
		time.Sleep(testRelayedAge - 50*time.Millisecond) // the next call comes 100 ms after the first
		synctest.Wait()
		is.Equal(source.polls, before+1)
	})
}

// A page that isn't the last tells nothing of the time of its answer, and the next is asked
// for at once: with a pause between pages 10,000 changes took four seconds.
func TestChangesOfManyPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pages, answer, gather = 20, 5 * time.Millisecond, time.Second
		var w *Watcher
		source := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 1}, nil }}
		source.changes = func(ctx context.Context, call int, since storage.Revision) (Page, error) {
			if call > pages {
				return hang(ctx)
			}
			age, _ := w.Age()
			is.Equal(w.more, call > 1)
			is.True(age >= gather+time.Duration(call-1)*answer-time.Millisecond) // as of the listing until the last page
			time.Sleep(answer)
			return Page{Rows: rows(since + 1), Revision: since + 1, Truncated: call < pages}, nil
		}
		seen := &recorder{}
		w = NewWatcher("t", source, seen, Options{Gather: gather}, zerolog.Nop())
		ctx, cancel := context.WithTimeout(t.Context(), gather+2*pages*answer)
		defer cancel()
		w.Run(ctx)
		is.Equal(len(seen.changes), pages)
		is.True(!w.more)
	})
}
