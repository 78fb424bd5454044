package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
)

var (
	errQueueFull = errors.New("queue is full")
	errNotLoaded = errors.New("version isn't loaded")
	errLeaving   = errors.New("engine is leaving")
	errRejecting = errors.New("engine rejects requests")
)

// slotPool limits the running requests to capacity. Up to maxQueue further ones
// wait; they are admitted by priority, lowest number first, then in order of
// arrival.
type slotPool struct {
	capacity int
	maxQueue int
	// onChange is called, without the lock, after a request was admitted or
	// queued, after a release and after a rejection.
	onChange func()

	mu      sync.Mutex
	running int
	waiting []*waiter
}

type waiter struct {
	modelVersion string
	priority     int
	// admitted receives nil when the request may run, or the reason why it is
	// refused. It has a buffer of 1.
	admitted chan error
}

// acquire waits for a slot, which the caller must release. If it returns an
// error, the caller holds no slot.
func (s *slotPool) acquire(ctx context.Context, modelVersion string, priority int) error {
	w := &waiter{modelVersion: modelVersion, priority: priority, admitted: make(chan error, 1)}
	if err := s.enqueue(w); err != nil {
		return err
	}
	s.onChange()
	select {
	case err := <-w.admitted:
		return err
	case <-ctx.Done():
		return s.cancelWait(w, ctx.Err())
	}
}

func (s *slotPool) enqueue(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.capacity {
		s.running++
		w.admitted <- nil
		return nil
	}
	if len(s.waiting) >= s.maxQueue {
		return errQueueFull
	}
	i, _ := slices.BinarySearchFunc(s.waiting, w.priority+1, func(queued *waiter, p int) int {
		return queued.priority - p
	})
	s.waiting = slices.Insert(s.waiting, i, w)
	return nil
}

// cancelWait removes the waiter and returns cause. If the waiter already has a
// slot, it releases the slot.
func (s *slotPool) cancelWait(w *waiter, cause error) error {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.mu.Unlock()
	if i < 0 && <-w.admitted == nil {
		s.release()
	}
	return cause
}

func (s *slotPool) release() {
	s.mu.Lock()
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		s.running++
		next.admitted <- nil
	}
	s.mu.Unlock()
	s.onChange()
}

// rejectWaiting refuses the waiting requests of a version.
func (s *slotPool) rejectWaiting(modelVersion string) {
	s.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if w.modelVersion != modelVersion {
			return false
		}
		w.admitted <- errNotLoaded
		return true
	})
	s.mu.Unlock()
	s.onChange()
}

func (s *slotPool) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
