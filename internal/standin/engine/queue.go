package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
)

var (
	errQueueFull = errors.New("queue is full")
	errUnloaded  = errors.New("version isn't loaded")
	errLeaving   = errors.New("engine is leaving")
)

// slots admits requests into the batch by priority, then by arrival.
type slots struct {
	capacity int
	maxQueue int
	// changed is called after each change, without the lock.
	changed func()

	mu      sync.Mutex
	running int
	waiting []*ticket
}

type ticket struct {
	versioned string
	priority  int
	// admitted gets nil once the request may run, or why it never will.
	admitted chan error
}

// acquire waits for a slot. After an error the request has not begun.
func (s *slots) acquire(ctx context.Context, versioned string, priority int) error {
	t := &ticket{versioned: versioned, priority: priority, admitted: make(chan error, 1)}
	if err := s.enqueue(t); err != nil {
		return err
	}
	s.changed()
	select {
	case err := <-t.admitted:
		return err
	case <-ctx.Done():
		return s.abandon(t, ctx.Err())
	}
}

func (s *slots) enqueue(t *ticket) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.capacity {
		s.running++
		t.admitted <- nil
		return nil
	}
	if len(s.waiting) >= s.maxQueue {
		return errQueueFull
	}
	at, _ := slices.BinarySearchFunc(s.waiting, t.priority+1, func(w *ticket, p int) int {
		return w.priority - p
	})
	s.waiting = slices.Insert(s.waiting, at, t)
	return nil
}

// abandon takes the ticket back; a slot that it already has is given on.
func (s *slots) abandon(t *ticket, cause error) error {
	s.mu.Lock()
	at := slices.Index(s.waiting, t)
	if at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	s.mu.Unlock()
	if at < 0 && <-t.admitted == nil {
		s.release()
	}
	return cause
}

func (s *slots) release() {
	s.mu.Lock()
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		s.running++
		next.admitted <- nil
	}
	s.mu.Unlock()
	s.changed()
}

// drop ends the waiting requests of a version.
func (s *slots) drop(versioned string) {
	s.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(t *ticket) bool {
		if t.versioned != versioned {
			return false
		}
		t.admitted <- errUnloaded
		return true
	})
	s.mu.Unlock()
	s.changed()
}

func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
