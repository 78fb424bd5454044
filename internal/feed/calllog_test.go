package feed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// events returns the fields of the log lines with the event.
func events(t *testing.T, log *bytes.Buffer, event string) []map[string]any {
	t.Helper()
	var found []map[string]any
	for line := range strings.Lines(log.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields["event"] == event {
			found = append(found, fields)
		}
	}
	return found
}

// An answer that stops midway, a host that is behind its hub, and a store that rejects calls
// have the same effect on other hosts. The log line of a failed call tells them apart.
func TestFailedCallIsExplained(t *testing.T) {
	tests := []struct {
		desc     string
		changes  func(ctx context.Context, received OnReceived) (Page, error)
		received float64
	}{
		{"the answer stops midway", func(ctx context.Context, received OnReceived) (Page, error) {
			received(700)
			received(300)
			return hang(ctx)
		}, 1000},
		{"refused", func(context.Context, OnReceived) (Page, error) { return Page{}, errors.New("refused") }, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var log bytes.Buffer
				source := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 5}, nil }}
				source.changes = func(ctx context.Context, _ int, _ storage.Revision) (Page, error) {
					return test.changes(ctx, source.received)
				}
				w := NewWatcher("t", source, &recorder{}, Options{}, zerolog.New(&log))
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				w.Offer(Update{Since: 5, Revision: 8}, time.Now()) // announces changes without their rows
				w.Run(ctx)

				failed := events(t, &log, "store-call-failed")
				is.True(len(failed) > 0)
				is.Equal(failed[0]["call"], "changes")
				is.Equal(failed[0]["received_bytes"], test.received)
				is.Equal(failed[0]["revision"], "5")
				is.Equal(failed[0]["told"], "8")
				is.True(w.Lag() > 2*time.Second)
				is.True(w.Calls().Failed >= uint64(len(failed)))
				is.Equal(w.Calls().Answered, uint64(1)) // the listing
				is.True(float64(w.Calls().ReceivedBytes) >= test.received)
			})
		})
	}
}

// A large answer, which occupies the host's link, is logged, and the host is no longer behind.
func TestLargeAnswerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		source := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 5}, nil }}
		source.changes = func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
			if call > 1 {
				return hang(ctx)
			}
			source.received(1 << 20)
			return Page{Rows: rows(8), Revision: 8}, nil
		}
		w := NewWatcher("t", source, &recorder{}, Options{}, zerolog.New(&log))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		w.Offer(Update{Since: 5, Revision: 8}, time.Now())
		w.Run(ctx)

		large := events(t, &log, "large-answer")
		is.Equal(len(large), 1)
		is.Equal(large[0]["received_bytes"], float64(1<<20))
		is.Equal(large[0]["newest"], "8")
		is.Equal(w.Lag(), time.Duration(0))
	})
}
