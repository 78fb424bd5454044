package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// slowHandler needs the time for each table and each row, as for decoding a large document.
type slowHandler struct {
	recorder
	takes time.Duration
	// processed is the number of rows that were changed.
	processed atomic.Int32
}

func (h *slowHandler) Replace(rows []Row, revision storage.Revision) {
	time.Sleep(h.takes)
	h.recorder.Replace(rows, revision)
}

func (h *slowHandler) Change(row Row) {
	time.Sleep(h.takes)
	h.recorder.Change(row)
	h.processed.Add(1)
}

// Guards against a hub that sends other hosts a row only after it has decoded the row itself, so that
// the times for decoding on each host on the way add up.
func TestRowsAreRelayedBeforeTheHandlerHasThem(t *testing.T) {
	const decodeTime = time.Second
	for _, fromHub := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			changed := make(chan Page, 1)
			source := &scriptedSource{
				list: func(int) (Page, error) { return Page{Rows: rows(4), Revision: 5}, nil },
				changes: func(ctx context.Context, _ int, _ storage.Revision) (Page, error) {
					select {
					case page := <-changed:
						return page, nil
					case <-ctx.Done():
						return Page{}, ctx.Err()
					}
				},
			}
			handler := &slowHandler{takes: decodeTime}
			w := NewWatcher("t", source, handler, Options{Relays: func() bool { return true }}, zerolog.Nop())
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { w.Run(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			time.Sleep(3 * decodeTime)
			if fromHub {
				w.Offer(Update{Since: 5, Revision: 7, Complete: true, Rows: rows(7)}, time.Now())
			} else {
				changed <- Page{Rows: rows(7), Revision: 7}
			}
			time.Sleep(decodeTime / 10)
			synctest.Wait()
			is.Equal(handler.processed.Load(), int32(0)) // the row is being decoded
			update, ok := w.UpdateSince(5, true, 1<<20)
			is.True(ok && update.Complete)
			is.Equal(update.Rows, rows(7))
			time.Sleep(decodeTime)
			is.Equal(handler.processed.Load(), int32(1))
			is.Equal(handler.changes, rows(7))
		})
	}
}

// Guards against a pause for further changes that adds to the time for decoding: changes that were made
// while the host decoded a document have waited for long enough.
func TestPauseAfterAChangeIncludesTheHandlersTime(t *testing.T) {
	for _, c := range []struct{ decodeTime, nextCall time.Duration }{
		{time.Second, time.Second},
		{50 * time.Millisecond, 300 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var calledAt []time.Time
			source := &scriptedSource{
				list: func(int) (Page, error) { return Page{Revision: 5}, nil },
				changes: func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
					calledAt = append(calledAt, time.Now())
					if call == 1 {
						return Page{Rows: rows(7), Revision: 7}, nil
					}
					return hang(ctx)
				},
			}
			w := NewWatcher("t", source, &slowHandler{takes: c.decodeTime}, Options{BatchDelay: 300 * time.Millisecond}, zerolog.Nop())
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			w.Run(ctx)
			is.True(len(calledAt) >= 2)
			is.Equal(calledAt[1].Sub(calledAt[0]), c.nextCall)
		})
	}
}
