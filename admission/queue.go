package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Queue admits requests of concurrent callers. All its methods are safe for
// concurrent use; each holds one lock for O(log n) steps, but for SetCapacity
// and a recheck each 20 ms while requests wait, which pass over the queue.
type Queue struct {
	clock func() time.Time

	mu    sync.Mutex
	core  *Scheduler
	timer *time.Timer
	// timerAt is when the timer fires; zero if it is stopped.
	timerAt time.Time
}

// Grant is a place of the capacity. Its holder calls Done once.
type Grant struct {
	queue *Queue
	entry Entry
	done  atomic.Bool
}

// New returns a queue.
func New(options Options) *Queue {
	options = options.withDefaults()
	return &Queue{clock: options.Clock, core: NewScheduler(options)}
}

// Admit waits for a place. It returns *UnmeetableError as soon as the deadline
// can't be met, *FullError if there is no room to wait, ErrUnknownClass, or
// the context's error. With an error the request holds no place.
func (q *Queue) Admit(ctx context.Context, ticket Ticket) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	g := &Grant{queue: q}
	g.entry.Ticket = ticket
	if q.submit(&g.entry) {
		return g.outcome()
	}
	select {
	case <-g.entry.ready:
		return g.outcome()
	case <-ctx.Done():
		q.cancel(&g.entry)
		return nil, fmt.Errorf("admission: %w", ctx.Err())
	}
}

// Done gives the place back; further calls do nothing.
func (g *Grant) Done() {
	if g.done.Swap(true) {
		return
	}
	g.queue.apply(func(now time.Time) []*Entry { return g.queue.core.Finish(now, &g.entry) })
}

// SetCapacity changes the number of concurrent requests, for example by load
// reports. Running requests stay; waiting ones that can't meet their deadline
// any more are refused at once.
func (q *Queue) SetCapacity(n int) {
	q.apply(func(now time.Time) []*Entry { return q.core.SetCapacity(now, n) })
}

// SetClasses changes the classes. Requests that wait in a class that is gone
// are served after all others.
func (q *Queue) SetClasses(classes []ClassOptions) {
	q.apply(func(now time.Time) []*Entry { return q.core.SetClasses(now, classes) })
}

// Stats returns the present numbers.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Stats()
}

// submit reports whether the entry is decided; if not, its ready is set.
func (q *Queue) submit(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(q.core.Submit(q.clock(), e))
	if e.state != Waiting {
		return true
	}
	e.ready = make(chan struct{})
	q.schedule()
	return false
}

func (q *Queue) cancel(e *Entry) {
	q.apply(func(now time.Time) []*Entry { return q.core.Cancel(now, e) })
}

// outcome is called when the entry is decided, which nothing else changes.
func (g *Grant) outcome() (*Grant, error) {
	if g.entry.err != nil {
		return nil, g.entry.err
	}
	return g, nil
}

// apply runs one step of the scheduler and passes its results on.
func (q *Queue) apply(step func(now time.Time) []*Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(step(q.clock()))
	q.schedule()
}

// wake tells the waiting callers of settled entries.
func (q *Queue) wake(settled []*Entry) {
	for _, e := range settled {
		if e.ready != nil {
			close(e.ready)
		}
	}
}

// schedule sets the timer for the scheduler's next step. A timer that fires
// early only calls Advance for nothing, so it isn't moved back.
func (q *Queue) schedule() {
	next, ok := q.core.Next()
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
		return q.core.Advance(now)
	})
}
