package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/stall"
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
	// within bounds the time to the answer's first part. Each further one has
	// answerTimeout: the whole answer takes as long as the link needs for its size.
	within time.Duration
	do     func(ctx context.Context, received Received) (Page, error)

	started       time.Time
	receivedBytes atomic.Uint64
}

// errAbandoned means that a call was given up because another watcher found the
// store out of reach.
var errAbandoned = errors.New("feed: call abandoned")

// call makes one call of the store and tells the link what came of it.
func (w *Watcher) call(ctx context.Context, c *storeCall) (Page, error) {
	linkCtx, err := w.options.Link.begin(ctx, w)
	if err != nil {
		return Page{}, err
	}
	callCtx, guard := stall.WithTimeout(linkCtx, c.within)
	defer guard.Stop()
	c.started = time.Now()
	page, err := c.do(callCtx, func(bytes int) {
		guard.Progress(answerTimeout)
		w.noteReceived(c, bytes)
	})
	err = guard.Explain(err)
	abandoned := linkCtx.Err() != nil
	reached := err == nil || errors.Is(err, ErrHistoryLost)
	w.countCall(reached)
	if abandoned && !reached {
		w.options.Link.end(w, true)
		if ctx.Err() == nil {
			w.logAbandoned(c)
		}
		return Page{}, errAbandoned
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

// noteReceived takes in a part of a call's answer. The first one tells the link
// that the store answers.
func (w *Watcher) noteReceived(c *storeCall, bytes int) {
	w.calls.receivedBytes.Add(uint64(bytes))
	if c.receivedBytes.Add(uint64(bytes)) == uint64(bytes) {
		w.options.Link.receiving(w)
	}
}

func (w *Watcher) countCall(reached bool) {
	if reached {
		w.calls.answered.Add(1)
		return
	}
	w.calls.failed.Add(1)
}
