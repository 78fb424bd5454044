package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// scriptedSource answers calls by the functions that the test sets.
type scriptedSource struct {
	list      func(call int) (Page, error)
	changes   func(ctx context.Context, call int, since storage.Revision) (Page, error)
	listCalls int
	// hold and received are the arguments of the last call.
	hold         time.Duration
	received     OnReceived
	changesCalls int
}

func (s *scriptedSource) List(_ context.Context, _, _ string, received OnReceived) (Page, error) {
	s.listCalls++
	s.received = received
	return s.list(s.listCalls)
}

func (s *scriptedSource) Changes(ctx context.Context, _ string, since storage.Revision, hold time.Duration, received OnReceived) (Page, error) {
	s.changesCalls++
	s.hold = hold
	s.received = received
	return s.changes(ctx, s.changesCalls, since)
}

// recorder is a handler that records what it receives.
type recorder struct {
	tables  [][]Row
	changes []Row
}

func (r *recorder) Replace(rows []Row, _ storage.Revision) { r.tables = append(r.tables, rows) }
func (r *recorder) Change(row Row)                         { r.changes = append(r.changes, row) }

// hang returns only when the context ends.
func hang(ctx context.Context) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

// runWatcher runs a watcher for the span. It must be called in a synctest bubble.
func runWatcher(source *scriptedSource, options Options, span time.Duration) (*Watcher, *recorder) {
	seen := &recorder{}
	w := NewWatcher("t", source, seen, options, zerolog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	w.Run(ctx)
	return w, seen
}

func rows(revisions ...storage.Revision) []Row {
	var list []Row
	for _, r := range revisions {
		list = append(list, Row{Key: "k", Revision: r})
	}
	return list
}

func TestChangesFollowTheListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list: func(int) (Page, error) { return Page{Rows: rows(3), Revision: 5}, nil },
			changes: func(ctx context.Context, call int, since storage.Revision) (Page, error) {
				switch call {
				case 1:
					is.Equal(since, storage.Revision(5))
					return Page{Rows: rows(6), Revision: 7}, nil
				case 2:
					is.Equal(since, storage.Revision(7))
				}
				return hang(ctx)
			},
		}
		_, seen := runWatcher(source, Options{}, time.Second)
		is.Equal(seen.tables, [][]Row{rows(3)})
		is.Equal(seen.changes, rows(6))
	})
}

func TestPagesOfAListingAreOneTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list: func(call int) (Page, error) {
				if call == 1 {
					return Page{Rows: rows(1), Revision: 5, Truncated: true}, nil
				}
				return Page{Rows: rows(2), Revision: 9}, nil
			},
			changes: func(ctx context.Context, _ int, since storage.Revision) (Page, error) {
				is.Equal(since, storage.Revision(5)) // so that it returns the changes made between the pages
				return hang(ctx)
			},
		}
		_, seen := runWatcher(source, Options{}, time.Second)
		is.Equal(seen.tables, [][]Row{rows(1, 2)})
	})
}

func TestTableIsReadAgainAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list: func(call int) (Page, error) {
				return Page{Rows: rows(storage.Revision(call)), Revision: storage.Revision(10 * call)}, nil
			},
			changes: func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
				if call == 1 {
					return Page{}, ErrHistoryLost
				}
				return hang(ctx)
			},
		}
		_, seen := runWatcher(source, Options{}, time.Second)
		is.Equal(len(seen.tables), 2)
	})
}

// A listing that is older than the watcher's rows must not replace them by previous versions.
func TestOldListingIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list: func(call int) (Page, error) {
				revision := []storage.Revision{10, 4, 12}[min(call, 3)-1]
				return Page{Rows: rows(revision), Revision: revision}, nil
			},
			changes: func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
				if call == 1 {
					return Page{}, ErrHistoryLost
				}
				return hang(ctx)
			},
		}
		_, seen := runWatcher(source, Options{}, time.Second)
		is.Equal(seen.tables, [][]Row{rows(10), rows(12)})
	})
}

func TestWatcherContinuesAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		const outage = 3 * time.Second
		var sawUnreachable, answered bool
		var w *Watcher
		source := &scriptedSource{
			list: func(int) (Page, error) { return Page{Revision: 1}, nil },
			changes: func(ctx context.Context, _ int, since storage.Revision) (Page, error) {
				is.Equal(since, storage.Revision(1)) // the watcher continues from its last revision
				if time.Since(began) < outage {
					sawUnreachable = sawUnreachable || w.Unreachable()
					return Page{}, errors.New("refused")
				}
				answered = true
				return hang(ctx)
			},
		}
		seen := &recorder{}
		w = NewWatcher("t", source, seen, Options{}, zerolog.Nop())
		ctx, cancel := context.WithTimeout(context.Background(), outage+2*maxBackoff)
		defer cancel()
		w.Run(ctx)
		is.True(sawUnreachable)
		is.True(answered)
		is.True(source.changesCalls < 20) // the calls back off
		is.Equal(len(seen.tables), 1)
	})
}

// A connection on which an answer was lost stays silent. The watcher cancels the call soon
// after the maximum time for which the store may hold it.
func TestSilentCallIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var secondCallAt time.Duration
		began := time.Now()
		source := &scriptedSource{
			list: func(int) (Page, error) { return Page{Revision: 1}, nil },
			changes: func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
				if call == 2 {
					secondCallAt = time.Since(began)
				}
				return hang(ctx)
			},
		}
		runWatcher(source, Options{}, 2*DefaultHold+2*answerTimeout)
		is.True(secondCallAt >= DefaultHold && secondCallAt <= DefaultHold+answerTimeout+maxBackoff)
	})
}

func TestChangesInQuickSuccessionCostOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list: func(int) (Page, error) { return Page{Revision: 1}, nil },
			changes: func(context.Context, int, storage.Revision) (Page, error) {
				return Page{Rows: rows(2), Revision: 2}, nil
			},
		}
		runWatcher(source, Options{BatchDelay: 500 * time.Millisecond}, 5*time.Second)
		is.True(source.changesCalls <= 11)
	})
}

func TestTableThatIsNotNeededCostsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		needed := false
		source := &scriptedSource{
			list:    func(int) (Page, error) { return Page{Revision: 1}, nil },
			changes: func(ctx context.Context, _ int, _ storage.Revision) (Page, error) { return hang(ctx) },
		}
		runWatcher(source, Options{Needed: func() bool { return needed }}, 10*time.Second)
		is.Equal(source.listCalls, 1)
		is.Equal(source.changesCalls, 0)
		needed = true
		runWatcher(source, Options{Needed: func() bool { return needed }}, time.Second)
		is.Equal(source.changesCalls, 1)
	})
}

func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list:    func(int) (Page, error) { return Page{Revision: 1, Clock: time.Hour}, nil },
			changes: func(ctx context.Context, _ int, _ storage.Revision) (Page, error) { return hang(ctx) },
		}
		w, _ := runWatcher(source, Options{}, time.Second)
		age, ok := w.Age()
		is.True(ok)
		is.True(age > time.Second-time.Millisecond && age <= time.Second)
		is.True(w.StoreClock() > time.Hour+time.Second-time.Millisecond)
	})
}

// When one watcher's call fails, the other's call is canceled, since it may hang on a dead
// connection. Only the first one then calls the store until the store answers again.
func TestWatchersShareTheStoresAvailability(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		const downFrom, downTo = time.Second, 6 * time.Second
		down := func() bool { at := time.Since(began); return at >= downFrom && at < downTo }
		var recoveredAt [2]time.Duration
		var failedCalls [2]int
		var sources [2]*scriptedSource
		for i := range 2 {
			sources[i] = &scriptedSource{
				list: func(int) (Page, error) { return Page{Revision: 1}, nil },
				changes: func(ctx context.Context, _ int, _ storage.Revision) (Page, error) {
					if down() {
						failedCalls[i]++
						return Page{}, errors.New("refused")
					}
					if time.Since(began) >= downTo && recoveredAt[i] == 0 {
						recoveredAt[i] = time.Since(began)
					}
					if i == 0 && time.Since(began) < downFrom {
						time.Sleep(downFrom)
						failedCalls[i]++
						return Page{}, errors.New("reset")
					}
					if sources[i].hold == 0 {
						return Page{Revision: 1}, nil
					}
					return hang(ctx) // the second watcher's connection is dead
				},
			}
		}
		link := NewLink()
		ctx, cancel := context.WithTimeout(context.Background(), downTo+2*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for i := range 2 {
			w := NewWatcher("t", sources[i], &recorder{}, Options{Link: link, Hold: time.Hour}, zerolog.Nop())
			group.Go(func() { w.Run(ctx) })
		}
		group.Wait()
		is.Equal(failedCalls[1], 0)      // the second watcher waits for the prober
		is.True(failedCalls[0] < 14)     // the prober's calls back off as usual
		for _, at := range recoveredAt { // both continue soon after the outage
			is.True(at >= downTo && at <= downTo+maxBackoff)
		}
	})
}
