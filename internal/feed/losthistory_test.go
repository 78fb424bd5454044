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

// lostHistorySource is a store that lost its changes after revision 5, once lost is set. Its answers
// with the whole table don't arrive then.
type lostHistorySource struct {
	lost atomic.Bool
	// since is the revision after which changes were requested last.
	since atomic.Uint64
}

func (s *lostHistorySource) List(ctx context.Context, _, _ string, received OnReceived) (Page, error) {
	if !s.lost.Load() {
		return Page{Rows: rows(5), Revision: 5}, nil
	}
	for {
		received(1)
		select {
		case <-time.After(answerTimeout / 2):
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

func (s *lostHistorySource) Changes(ctx context.Context, _ string, since storage.Revision, hold time.Duration, _ OnReceived) (Page, error) {
	s.since.Store(uint64(since))
	if s.lost.Load() && since <= 5 {
		return Page{}, ErrHistoryLost
	}
	select {
	case <-time.After(hold):
		return Page{Revision: since}, nil
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
}

// Guards against hosts that read a whole table over a slow link after the store lost its history,
// although another host sends them newer rows.
func TestNewerRowsAreAppliedAfterLostHistory(t *testing.T) {
	for name, update := range map[string]Update{
		"changes":     {Since: 5, Revision: 7, Complete: true, Rows: rows(7)},
		"old changes": {Since: 5, Revision: 7, Complete: true, Rows: rows(7), Age: time.Minute},
		"old table":   {Revision: 7, IsSnapshot: true, Packed: pack(rows(7)), Age: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source, seen := &lostHistorySource{}, &recorder{}
				w := NewWatcher("t", source, seen, Options{}, zerolog.Nop())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { w.Run(ctx); close(done) }()
				defer func() { cancel(); <-done }()
				time.Sleep(time.Second)
				source.lost.Store(true)
				time.Sleep(2 * DefaultHold)
				is.True(!w.hasTable.Load()) // it is reading the whole table
				for range 3 {
					w.Offer(update, time.Now())
					time.Sleep(time.Second)
				}
				time.Sleep(DefaultHold) // until it doesn't rely on the update
				synctest.Wait()
				is.Equal(w.Revision(), storage.Revision(7))
				is.Equal(len(seen.changes)+len(seen.tables), 2) // the first table, and the update once
				is.Equal(source.since.Load(), uint64(7))
			})
		})
	}
}
