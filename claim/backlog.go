package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// retryConcurrency bounds the writes that one retry of the backlog has at a
// time. They merge into few commits.
const retryConcurrency = 128

// job is a write that is retried until it is in the table.
type job interface {
	write(ctx context.Context, s *Store) error
	// done is called once, after write succeeded or became pointless.
	done(s *Store)
	// size is the memory held beyond a fixed part, in bytes.
	size() int
	// shrink gives that memory back at the cost of the answer.
	shrink(s *Store)
}

// backlog holds the jobs that await the table.
type backlog struct {
	mu       sync.Mutex
	jobs     []job
	bytes    int
	maxJobs  int
	maxBytes int
}

func newBacklog(maxJobs, maxBytes int) *backlog {
	return &backlog{maxJobs: maxJobs, maxBytes: maxBytes}
}

// fits reports whether a job of the size has room.
func (b *backlog) fits(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes+size <= b.maxBytes
}

// push appends a job and reports false if the backlog is full.
func (b *backlog) push(j job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.jobs) >= b.maxJobs {
		return false
	}
	b.jobs = append(b.jobs, j)
	b.bytes += j.size()
	return true
}

func (b *backlog) snapshot() []job {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]job(nil), b.jobs...)
}

func (b *backlog) remove(done job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, j := range b.jobs {
		if j == done {
			b.jobs = append(b.jobs[:i], b.jobs[i+1:]...)
			b.bytes -= j.size()
			return
		}
	}
}

func (b *backlog) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs)
}

// queue keeps a job for Run. When there is no room for an answer, the fact
// that the request ran is kept without it. When there is no room at all, the
// job is dropped: the row then stays in flight, which is safe, and the claim
// stays active on this host, so that it is never taken for an orphan.
func (s *Store) queue(j job) {
	if !s.backlog.fits(j.size()) {
		j.shrink(s)
		s.dropped.Add(1)
	}
	if !s.backlog.push(j) {
		j.shrink(s)
		s.dropped.Add(1)
	}
}

// Pending returns how many outcomes await the table.
func (s *Store) Pending() int { return s.backlog.len() }

// Dropped returns how many answers or outcomes were given up because the
// backlog was full.
func (s *Store) Dropped() uint64 { return s.dropped.Load() }

// Run retries pending outcomes until ctx ends. It returns the context's error.
func (s *Store) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.RetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.retry(ctx)
		}
	}
}

// Flush retries until nothing is pending or ctx ends. A planned stop calls it
// after the last request.
func (s *Store) Flush(ctx context.Context) error {
	for {
		s.retry(ctx)
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

// retry tries every pending job once.
func (s *Store) retry(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(retryConcurrency)
	for _, j := range s.backlog.snapshot() {
		group.Go(func() error {
			s.retryJob(ctx, j)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Store) retryJob(ctx context.Context, j job) {
	err := j.write(ctx, s)
	if err != nil && !errors.Is(err, ErrLost) {
		return
	}
	s.backlog.remove(j)
	j.done(s)
}
