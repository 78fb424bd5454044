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

// receiveParts reports a part of an answer at the end of each interval, until the span is over.
func receiveParts(ctx context.Context, received OnReceived, span time.Duration) error {
	const interval = answerTimeout / 2
	for end := time.Now().Add(span); time.Now().Before(end); {
		select {
		case <-time.After(interval):
			received(1000)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// The timeout also bounds the time without data after the first part of an answer.
func TestAnswerThatStopsMidwayIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const arriving = 4 * time.Second
		began := time.Now()
		var secondCallAt time.Duration
		source := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 1}, nil }}
		source.changes = func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
			if call == 2 {
				secondCallAt = time.Since(began)
				return hang(ctx)
			}
			if err := receiveParts(ctx, source.received, arriving); err != nil {
				return Page{}, err
			}
			return hang(ctx)
		}
		runWatcher(source, Options{}, arriving+answerTimeout+maxBackoff)
		is.True(secondCallAt >= arriving+answerTimeout) // the answer isn't canceled while its parts arrive
		is.True(secondCallAt <= arriving+answerTimeout+maxBackoff)
	})
}

// When another watcher's call fails, an answer that is arriving isn't canceled. Otherwise it
// would be read again from its beginning, for as long as the other watcher's calls fail.
func TestArrivingAnswerIsNotCanceledByAnothersFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const arriving = 5 * time.Second
		long := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 1}, nil }}
		long.changes = func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
			if call > 1 {
				return hang(ctx)
			}
			if err := receiveParts(ctx, long.received, arriving); err != nil {
				return Page{}, err
			}
			return Page{Rows: rows(2), Revision: 2}, nil
		}
		failing := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 1}, nil }}
		failing.changes = func(context.Context, int, storage.Revision) (Page, error) {
			time.Sleep(answerTimeout) // the long answer has begun
			return Page{}, errors.New("reset")
		}
		link := NewLink()
		seen := &recorder{}
		w := NewWatcher("long", long, seen, Options{Link: link}, zerolog.Nop())
		other := NewWatcher("other", failing, &recorder{}, Options{Link: link}, zerolog.Nop())
		runBoth(t, w, other, arriving+time.Second)
		is.Equal(seen.changes, rows(2))
		is.True(failing.changesCalls > 2)
	})
}

// The first part of an answer ends the outage, so that the other watchers call the store again.
func TestOtherWatchersResumeWhenAnAnswerBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const down, arriving = time.Second, 4 * time.Second
		began := time.Now()
		long := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 1}, nil }}
		long.changes = func(ctx context.Context, _ int, _ storage.Revision) (Page, error) {
			if time.Since(began) < down {
				return Page{}, errors.New("refused")
			}
			return Page{}, receiveParts(ctx, long.received, arriving)
		}
		waiting := &scriptedSource{list: func(int) (Page, error) { return Page{Revision: 1}, nil }}
		var resumedAt time.Duration
		waiting.changes = func(ctx context.Context, _ int, _ storage.Revision) (Page, error) {
			if time.Since(began) > down && resumedAt == 0 {
				resumedAt = time.Since(began)
			}
			if waiting.hold == 0 {
				return Page{Revision: 1}, nil
			}
			return hang(ctx)
		}
		link := NewLink()
		w := NewWatcher("long", long, &recorder{}, Options{Link: link}, zerolog.Nop())
		other := NewWatcher("other", waiting, &recorder{}, Options{Link: link}, zerolog.Nop())
		runBoth(t, w, other, down+arriving)
		is.True(resumedAt > down)
		is.True(resumedAt <= down+maxBackoff+answerTimeout)
		is.True(!other.Unreachable())
	})
}

// An answer is as old as its first part: the store may have changed while the rest arrived, and
// other hosts rely on the age that this one states.
func TestAgeOfALongAnswer(t *testing.T) {
	const arriving, clock = 4 * time.Second, time.Hour
	tests := []struct {
		desc   string
		source func(s *scriptedSource)
	}{
		{"changes", func(s *scriptedSource) {
			s.list = func(int) (Page, error) { return Page{Revision: 1}, nil }
			s.changes = func(ctx context.Context, call int, _ storage.Revision) (Page, error) {
				if call > 1 {
					return hang(ctx)
				}
				return Page{Rows: rows(2), Revision: 2, Clock: clock}, receiveParts(ctx, s.received, arriving)
			}
		}},
		{"a listing of two pages", func(s *scriptedSource) {
			s.changes = func(ctx context.Context, _ int, _ storage.Revision) (Page, error) { return hang(ctx) }
			s.list = func(call int) (Page, error) {
				page := Page{Rows: rows(storage.Revision(call)), Revision: 2, Clock: clock, Truncated: call == 1}
				if call == 2 {
					page.Clock += arriving
					return page, nil
				}
				return page, receiveParts(context.Background(), s.received, arriving)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source := &scriptedSource{}
				test.source(source)
				w, _ := runWatcher(source, Options{}, arriving+time.Second)
				update, ok := w.UpdateSince(0, false, 1<<20)
				is.True(ok)
				is.Equal(update.Revision, storage.Revision(2))
				ageOfFirstPart := arriving + time.Second - answerTimeout/2 // the time since the first part of the answer
				is.True(update.Age >= ageOfFirstPart)
				is.True(update.Clock >= clock+ageOfFirstPart-time.Second && update.Clock <= clock+ageOfFirstPart+time.Second)
			})
		})
	}
}

// A watcher pauses between its calls if another host announced changes that the store doesn't
// have yet. Without the pause, all hosts of an installation would call the store hundreds of
// times a second at the same time.
func TestUnheldCallsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const storeDelay = 3 * time.Second
		began := time.Now()
		w, source, seen, _ := relayedWatcherOf(t, Options{}, func(context.Context, storage.Revision, OnReceived) (Page, error) {
			time.Sleep(time.Millisecond) // a round trip
			if time.Since(began) < storeDelay {
				return Page{Revision: 5}, nil
			}
			return Page{Rows: rows(8), Revision: 8}, nil
		})
		offerRepeatedly(w, Update{Since: 5, Revision: 8}, storeDelay+time.Second)
		is.Equal(seen.changes, rows(8))
		is.True(source.changesCalls <= int(storeDelay/minBackoff)+5)
	})
}

// runBoth runs both watchers for the span.
func runBoth(t *testing.T, a, b *Watcher, span time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { a.Run(ctx) })
	group.Go(func() { b.Run(ctx) })
	group.Wait()
}
