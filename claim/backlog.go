package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// retryConcurrency is the maximum number of concurrent writes by retryPending and
// Sweep. A group committer merges them into a few commits.
const retryConcurrency = 128

// pendingWrite is a write that is retried until it is in the table.
type pendingWrite interface {
	write(ctx context.Context, s *Store) error
	// complete ends the retries of the write. It is called once, after write succeeded
	// or the row expired.
	complete(s *Store)
	// resultBytes returns the size of the result held in memory, in bytes.
	resultBytes() int
	// dropResult discards the result to free that memory.
	dropResult(s *Store)
}

// backlog is the bounded list of pending writes.
type backlog struct {
	mu        sync.Mutex
	writes    []pendingWrite
	bytes     int
	maxWrites int
	maxBytes  int
}

func newBacklog(maxWrites, maxBytes int) *backlog {
	return &backlog{maxWrites: maxWrites, maxBytes: maxBytes}
}

// fitsResult reports whether a result of size bytes fits in the backlog.
func (b *backlog) fitsResult(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes+size <= b.maxBytes
}

// push appends a write. It returns false if the backlog is full.
func (b *backlog) push(w pendingWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.writes) >= b.maxWrites {
		return false
	}
	b.writes = append(b.writes, w)
	b.bytes += w.resultBytes()
	return true
}

func (b *backlog) snapshot() []pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]pendingWrite(nil), b.writes...)
}

func (b *backlog) remove(written pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range b.writes {
		if w == written {
			b.writes = append(b.writes[:i], b.writes[i+1:]...)
			b.bytes -= w.resultBytes()
			return
		}
	}
}

func (b *backlog) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.writes)
}

// enqueue adds a write to the backlog, which Run retries. If the write's result
// doesn't fit, the result is dropped and only the fact that the request ran is
// kept. If the backlog has the maximum number of writes, the write is dropped. The
// row then stays in flight, so that the request is never run again, and the claim
// stays active on this host, so that it is never treated as an orphan.
func (s *Store) enqueue(w pendingWrite) {
	if !s.backlog.fitsResult(w.resultBytes()) {
		w.dropResult(s)
		s.droppedCount.Add(1)
	}
	if !s.backlog.push(w) {
		w.dropResult(s)
		s.droppedCount.Add(1)
	}
}

// Pending returns the number of writes in the backlog, which aren't known to be in
// the table yet.
func (s *Store) Pending() int { return s.backlog.len() }

// Dropped returns the number of results and writes that were dropped because the
// backlog was full.
func (s *Store) Dropped() uint64 { return s.droppedCount.Load() }

// Run retries pending writes until ctx ends. It returns the error of ctx.
func (s *Store) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.RetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.retryPending(ctx)
		}
	}
}

// Flush retries pending writes until there are none or ctx ends. It is called after
// the last request of a graceful shutdown.
func (s *Store) Flush(ctx context.Context) error {
	for {
		s.retryPending(ctx)
		if s.Pending() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.options.RetryInterval):
		}
	}
}

// retryPending attempts each pending write once.
func (s *Store) retryPending(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(retryConcurrency)
	for _, w := range s.backlog.snapshot() {
		group.Go(func() error {
			s.retryWrite(ctx, w)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Store) retryWrite(ctx context.Context, w pendingWrite) {
	err := w.write(ctx, s)
	if err != nil && !errors.Is(err, ErrRowExpired) {
		return
	}
	s.backlog.remove(w)
	w.complete(s)
}
