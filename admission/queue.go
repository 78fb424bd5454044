package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Queue admits requests of concurrent callers. All methods are safe for
// concurrent use. Each holds the Queue's lock for O(log n) steps. SetCapacity, and
// a check every 20 ms while requests wait, instead iterate over the whole queue.
type Queue struct {
	clock func() time.Time

	mu        sync.Mutex
	scheduler *Scheduler
	timer     *time.Timer
	// timerAt is when the timer fires. It is zero if the timer isn't running.
	timerAt time.Time
}

// Grant is a slot held by an admitted request. Its holder calls Done once.
type Grant struct {
	queue *Queue
	entry Entry
	done  atomic.Bool
}

// New returns an empty Queue.
func New(options Options) *Queue {
	options = options.withDefaults()
	return &Queue{clock: options.Clock, scheduler: NewScheduler(options)}
}

// Admit waits for a slot. It returns *UnmeetableError as soon as the request is
// predicted to miss its deadline, *FullError if the queue is full,
// ErrUnknownClass, or the context's error, wrapped. If it returns an error, the
// request holds no slot.
func (q *Queue) Admit(ctx context.Context, ticket Ticket) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	g := &Grant{queue: q}
	g.entry.Ticket = ticket
	if q.submit(&g.entry) {
		return g.result()
	}
	select {
	case <-g.entry.ready:
		return g.result()
	case <-ctx.Done():
		q.cancel(&g.entry)
		return nil, fmt.Errorf("admission: %w", ctx.Err())
	}
}

// Done releases the slot; further calls do nothing.
func (g *Grant) Done() {
	if g.done.Swap(true) {
		return
	}
	g.queue.apply(func(now time.Time) []*Entry { return g.queue.scheduler.Finish(now, &g.entry) })
}

// SetCapacity changes the maximum number of concurrent requests, for example when
// upstreams report their load. Running requests continue; waiting ones that can no
// longer meet their deadlines are refused immediately.
func (q *Queue) SetCapacity(n int) {
	q.apply(func(now time.Time) []*Entry { return q.scheduler.SetCapacity(now, n) })
}

// SetClasses replaces the classes. Requests that wait in a removed class are
// served after all others.
func (q *Queue) SetClasses(classes []ClassOptions) {
	q.apply(func(now time.Time) []*Entry { return q.scheduler.SetClasses(now, classes) })
}

// Stats returns the current number of slots and the current numbers of running
// and waiting requests.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Stats()
}

// submit submits an entry and reports whether it was started or refused
// immediately. If not, the entry waits, and its ready channel is set.
func (q *Queue) submit(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notify(q.scheduler.Submit(q.clock(), e))
	if e.state != Waiting {
		return true
	}
	e.ready = make(chan struct{})
	q.setTimer()
	return false
}

func (q *Queue) cancel(e *Entry) {
	q.apply(func(now time.Time) []*Entry { return q.scheduler.Cancel(now, e) })
}

// result returns the result of Admit for an entry that was started or refused.
// Other goroutines no longer change such an entry's state.
func (g *Grant) result() (*Grant, error) {
	if g.entry.err != nil {
		return nil, g.entry.err
	}
	return g, nil
}

// apply runs one step of the scheduler and unblocks the callers of the entries
// that it started or refused.
func (q *Queue) apply(step func(now time.Time) []*Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notify(step(q.clock()))
	q.setTimer()
}

// notify unblocks the callers of the entries, which were started or refused.
func (q *Queue) notify(startedOrRefused []*Entry) {
	for _, e := range startedOrRefused {
		if e.ready != nil {
			close(e.ready)
		}
	}
}

// setTimer sets the timer for the scheduler's next step. A timer that fires
// early only causes a needless call of Advance, so it isn't postponed.
func (q *Queue) setTimer() {
	next, ok := q.scheduler.Next()
	if !ok {
		return
	}
	if !q.timerAt.IsZero() && !next.Before(q.timerAt) {
		return
	}
	q.timerAt = next
	wait := max(0, next.Sub(q.clock()))
	if q.timer == nil {
		q.timer = time.AfterFunc(wait, q.advance)
		return
	}
	q.timer.Reset(wait)
}

func (q *Queue) advance() {
	q.apply(func(now time.Time) []*Entry {
		q.timerAt = time.Time{}
		return q.scheduler.Advance(now)
	})
}
