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
