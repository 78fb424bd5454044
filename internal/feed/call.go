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
	// Answered counts calls that ended with an answer, including lost history; Failed counts
	// those that ended without one.
	Answered uint64
	Failed   uint64
	// ReceivedBytes counts the bytes of all answers, including incomplete ones.
	ReceivedBytes uint64
}

// callCounts holds the counters that Calls returns.
type callCounts struct {
	answered, failed, receivedBytes atomic.Uint64
}

// Calls returns the counts of the watcher's calls.
func (w *Watcher) Calls() Calls {
	c := &w.calls
	return Calls{Answered: c.answered.Load(), Failed: c.failed.Load(), ReceivedBytes: c.receivedBytes.Load()}
}

// storeCall is one call of the store and the progress of its answer.
type storeCall struct {
	// kind is "list" or "changes". hold is how long the store may hold the call.
	kind string
	hold time.Duration
	// firstPartTimeout bounds the time to the first part of the answer. Each further part has
	// answerTimeout, so the whole answer may take as long as the link needs for its size.
	firstPartTimeout time.Duration
	do               func(ctx context.Context, received Received) (Page, error)

	started time.Time
	// answeredAt is when the first part of the answer arrived, in nanoseconds since the
	// watcher's start, or 0 before that. The answer's data are as of that time.
	answeredAt    atomic.Int64
	receivedBytes atomic.Uint64
}

// answerTime returns when the store answered, or now for an answer without parts.
func (c *storeCall) answerTime(now time.Duration) time.Duration {
	if at := c.answeredAt.Load(); at != 0 {
		return time.Duration(at)
	}
	return now
}

// errAbandoned means that a call was canceled because another watcher found the store
// unreachable.
var errAbandoned = errors.New("feed: call abandoned")

// call makes one call of the store and reports the result to the link. It returns the answer
// and when the store gave it, as the time since the watcher's start.
func (w *Watcher) call(ctx context.Context, c *storeCall) (Page, time.Duration, error) {
	linkCtx, err := w.options.Link.begin(ctx, w)
	if err != nil {
		return Page{}, 0, err
	}
	callCtx, endHeld := w.held.begin(linkCtx, c, w.relayHold())
	page, err := w.exchange(callCtx, c)
	endHeld()
	if err != nil && errors.Is(context.Cause(callCtx), errHoldShortened) {
		w.options.Link.end(w, true)
		return Page{}, 0, errHoldShortened
	}
	reached := err == nil || errors.Is(err, ErrHistoryLost)
	abandoned := !reached && linkCtx.Err() != nil
	w.options.Link.end(w, reached || abandoned)
	w.countCall(reached)
	switch {
	case err == nil:
		at := c.answerTime(w.sinceStart())
		w.recordClock(page.Clock, at)
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

// exchange sends the call and reads its answer. It fails if the store sends nothing for too
// long.
func (w *Watcher) exchange(ctx context.Context, c *storeCall) (Page, error) {
	ctx, guard := stall.WithTimeout(ctx, c.firstPartTimeout)
	defer guard.Stop()
	c.started = time.Now()
	page, err := c.do(ctx, func(bytes int) {
		guard.Progress(answerTimeout)
		w.recordReceived(c, bytes)
	})
	return page, guard.Explain(err)
}

// recordReceived counts a part of a call's answer. The first part shows the link that the store
// answers.
func (w *Watcher) recordReceived(c *storeCall, bytes int) {
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
