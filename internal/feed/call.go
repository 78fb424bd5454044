package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Calls counts a watcher's calls of the store since its start.
type Calls struct {
	// Answered ended with an answer, lost history included; Failed ended
	// without one.
	Answered uint64
	Failed   uint64
	// ReceivedBytes is what came of all answers, also of those that ended early.
	ReceivedBytes uint64
}

// callCounts are the counters behind Calls.
type callCounts struct {
	answered, failed, receivedBytes atomic.Uint64
}

// Calls returns the counts of the watcher's calls.
func (w *Watcher) Calls() Calls {
	c := &w.calls
	return Calls{Answered: c.answered.Load(), Failed: c.failed.Load(), ReceivedBytes: c.receivedBytes.Load()}
}

// storeCall is one call of the store and how far its answer came.
type storeCall struct {
	// kind is "list" or "changes"; hold is how long the store may hold the call.
	kind string
	hold time.Duration
	// within bounds the whole call.
	within time.Duration
	do     func(ctx context.Context, received Received) (Page, error)

	started       time.Time
	receivedBytes atomic.Uint64
}

// call makes one call of the store and tells the link what came of it.
func (w *Watcher) call(ctx context.Context, c *storeCall) (Page, error) {
	linkCtx, err := w.options.Link.begin(ctx, w)
	if err != nil {
		return Page{}, err
	}
	callCtx, cancel := context.WithTimeout(linkCtx, c.within)
	defer cancel()
	c.started = time.Now()
	page, err := c.do(callCtx, func(bytes int) {
		c.receivedBytes.Add(uint64(bytes))
		w.calls.receivedBytes.Add(uint64(bytes))
	})
	abandoned := linkCtx.Err() != nil
	reached := err == nil || errors.Is(err, ErrHistoryLost)
	w.countCall(reached)
	if abandoned && !reached {
		w.options.Link.end(w, true)
		if ctx.Err() == nil {
			w.logAbandoned(c)
		}
		return Page{}, context.Canceled
	}
	w.options.Link.end(w, reached)
	if !reached {
		w.logFailed(c, err)
	}
	if err == nil {
		w.noteClock(page.Clock)
		w.succeeded(w.sinceStart())
		w.logLarge(c, page)
	}
	return page, err
}

func (w *Watcher) countCall(reached bool) {
	if reached {
		w.calls.answered.Add(1)
		return
	}
	w.calls.failed.Add(1)
}
