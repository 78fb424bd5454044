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

	started time.Time
	// answeredAt is when the answer's first part came, in time since the watcher's
	// start: what the answer tells is as old as that. 0 before it.
	answeredAt    atomic.Int64
	receivedBytes atomic.Uint64
}

// answered is when the store answered; for an answer without parts, now.
func (c *storeCall) answered(now time.Duration) time.Duration {
	if at := c.answeredAt.Load(); at != 0 {
		return time.Duration(at)
	}
	return now
}

// errAbandoned means that a call was given up because another watcher found the
// store out of reach.
var errAbandoned = errors.New("feed: call abandoned")

// call makes one call of the store and tells the link what came of it. It returns
// the answer and when the store gave it, in time since the watcher's start.
func (w *Watcher) call(ctx context.Context, c *storeCall) (Page, time.Duration, error) {
	linkCtx, err := w.options.Link.begin(ctx, w)
	if err != nil {
		return Page{}, 0, err
	}
	callCtx, endHeld := w.held.begin(linkCtx, c, w.relayHold())
	page, err := w.exchange(callCtx, c)
	endHeld()
	if err != nil && errors.Is(context.Cause(callCtx), errHurried) {
		w.options.Link.end(w, true)
		return Page{}, 0, errHurried
	}
	reached := err == nil || errors.Is(err, ErrHistoryLost)
	abandoned := !reached && linkCtx.Err() != nil
	w.options.Link.end(w, reached || abandoned)
	w.countCall(reached)
	switch {
	case err == nil:
		at := c.answered(w.sinceStart())
		w.noteClock(page.Clock, at)
		w.logLarge(c, page)
		return page, at, nil
	case ctx.Err() != nil:
		return Page{}, 0, ctx.Err()
	case abandoned:
		w.logAbandoned(c)
		return Page{}, 0, errAbandoned
	case !reached:
		w.logFailed(c, err)
	}
	return Page{}, 0, err
}

// exchange sends the call and reads its answer, until the store is silent for too
// long.
func (w *Watcher) exchange(ctx context.Context, c *storeCall) (Page, error) {
	ctx, guard := stall.WithTimeout(ctx, c.within)
	defer guard.Stop()
	c.started = time.Now()
	page, err := c.do(ctx, func(bytes int) {
		guard.Progress(answerTimeout)
		w.noteReceived(c, bytes)
	})
	return page, guard.Explain(err)
}

// noteReceived takes in a part of a call's answer. The first one tells the link
// that the store answers.
func (w *Watcher) noteReceived(c *storeCall, bytes int) {
	w.calls.receivedBytes.Add(uint64(bytes))
	c.receivedBytes.Add(uint64(bytes))
	if c.answeredAt.CompareAndSwap(0, int64(w.sinceStart())) {
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
