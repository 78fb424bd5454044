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
	// Answered counts the calls that the store answered, also with ErrHistoryLost. Failed
	// counts all other calls.
	Answered uint64
	Failed   uint64
	// ReceivedBytes counts the bytes of all answers, including those that were cut off.
	ReceivedBytes uint64
}

// callCounts holds the counters that Calls returns.
type callCounts struct {
	answered, failed, receivedBytes atomic.Uint64
}

// Calls returns the number of the watcher's calls of the store and of the bytes received.
func (w *Watcher) Calls() Calls {
	c := &w.calls
	return Calls{Answered: c.answered.Load(), Failed: c.failed.Load(), ReceivedBytes: c.receivedBytes.Load()}
}

// storeCall is one call of the store and the progress of its answer.
type storeCall struct {
	// kind is "list" or "changes". hold is how long the store may hold the call until there are
	// changes.
	kind string
	hold time.Duration
	// firstPartTimeout bounds the time until the first part of the answer arrives. Each further
	// part must arrive within answerTimeout, so that the whole answer may take as long as the
	// link needs for its size.
	firstPartTimeout time.Duration
	do               func(ctx context.Context, received OnReceived) (Page, error)

	// started is when the call was sent. startedAt is the same as the time since the watcher's start, which
	// includes suspensions of the host.
	started   time.Time
	startedAt time.Duration
	// answeredAt is when the first part of the answer arrived, in nanoseconds since the
	// watcher's start, or 0 before that. The answer's data count as being as of that time.
	answeredAt    atomic.Int64
	receivedBytes atomic.Uint64
}

// answerTime returns when the first part of the answer arrived, or now if none was reported.
func (c *storeCall) answerTime(now time.Duration) time.Duration {
	if at := c.answeredAt.Load(); at != 0 {
		return time.Duration(at)
	}
	return now
}

// errAbandoned means that a call was canceled because another watcher's call had shown that the
// store is unreachable.
var errAbandoned = errors.New("feed: call abandoned")

// call makes one call of the store and reports its result to the link. It returns the answer
// and when its first part arrived, as the time since the watcher's start.
func (w *Watcher) call(ctx context.Context, c *storeCall) (Page, time.Duration, error) {
	linkCtx, err := w.options.Link.beginCall(ctx, w)
	if err != nil {
		return Page{}, 0, err
	}
	callCtx, endInFlight := w.inFlight.begin(linkCtx, c)
	if w.canAdvance() {
		// The update arrived before the call was in flight, and couldn't cancel it.
		w.inFlight.cancel(errUpdateReceived)
	}
	page, err := w.execute(callCtx, c)
	endInFlight()
	if cause := context.Cause(callCtx); err != nil && (errors.Is(cause, errHoldShortened) || errors.Is(cause, errUpdateReceived)) {
		w.options.Link.endCall(w, true)
		return Page{}, 0, cause
	}
	reached := err == nil || errors.Is(err, ErrHistoryLost)
	abandoned := !reached && linkCtx.Err() != nil
	w.options.Link.endCall(w, reached || abandoned)
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

// execute sends the call and reads its answer. It fails if no data arrive for firstPartTimeout,
// or for answerTimeout within the answer.
func (w *Watcher) execute(ctx context.Context, c *storeCall) (Page, error) {
	ctx, guard := stall.WithTimeout(ctx, c.firstPartTimeout)
	defer guard.Stop()
	c.started, c.startedAt = time.Now(), w.sinceStart()
	page, err := c.do(ctx, func(bytes int) {
		guard.Progress(answerTimeout)
		w.recordReceived(c, bytes)
	})
	return page, guard.Explain(err)
}

// recordReceived counts a part of a call's answer. With the first part it informs the link that
// the store is answering.
func (w *Watcher) recordReceived(c *storeCall, bytes int) {
	w.calls.receivedBytes.Add(uint64(bytes))
	c.receivedBytes.Add(uint64(bytes))
	if c.answeredAt.CompareAndSwap(0, int64(w.sinceStart())) {
		w.options.Link.recordReceiving(w)
	}
}

func (w *Watcher) countCall(reached bool) {
	if reached {
		w.calls.answered.Add(1)
		return
	}
	w.calls.failed.Add(1)
}
