package claim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Claim is the right to send one request once. Exactly one of its methods is
// called, once; a second call gives ErrSettled.
type Claim struct {
	store   *Store
	entry   *entry
	version uint64
	settled atomic.Bool
}

// Finish records the whole answer. The caller of the request may be answered
// whatever Finish returns. ErrPending says that the outcome is kept in memory
// and retried by Run.
func (c *Claim) Finish(ctx context.Context, result Result) error {
	rec := c.entry.record.with(finished)
	rec.Result = &result
	if result.size() > c.store.options.MaxResultBytes {
		rec = rec.with(answerGone)
	}
	return c.settle(ctx, rec)
}

// MayHaveRun records that the request was sent, at least in part, and that no
// whole answer came. It is never run again.
func (c *Claim) MayHaveRun(ctx context.Context) error {
	return c.settle(ctx, c.entry.record.with(mayHaveRun))
}

// Release gives the claim up. It may be called only if no byte of the request
// was sent; the key can then be claimed again.
func (c *Claim) Release(ctx context.Context) error {
	return c.settle(ctx, c.entry.record.with(released))
}

func (c *Claim) settle(ctx context.Context, outcome record) error {
	if !c.settled.CompareAndSwap(false, true) {
		return ErrSettled
	}
	c.store.active.setOutcome(c.entry, outcome)
	job := &settlement{entry: c.entry, outcome: outcome, version: c.version}
	err := job.write(ctx, c.store)
	if err == nil || errors.Is(err, ErrLost) {
		c.store.active.remove(c.entry)
		return err
	}
	c.store.queue(job)
	return fmt.Errorf("%w: %w", ErrPending, err)
}

// settlement is an outcome on its way to the table.
type settlement struct {
	entry   *entry
	outcome record
	// version is the row's version as claimed.
	version uint64
}

// write records the outcome. It may be called again after an error: the row's
// condition lets the outcome through once.
func (j *settlement) write(ctx context.Context, s *Store) error {
	rec, err := s.answers.store(ctx, j.outcome)
	if err != nil {
		return err
	}
	_, err = s.rows.write(ctx, rec, j.version)
	if err == nil || errors.Is(err, storage.ErrUnavailable) {
		return err
	}
	return j.readBack(ctx, s, err)
}

// readBack tells whether an earlier write of this outcome took effect.
func (j *settlement) readBack(ctx context.Context, s *Store, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.ReadTimeout)
	defer cancel()
	found, err := s.rows.read(ctx, j.outcome.Key)
	if errors.Is(err, storage.ErrNotFound) {
		return ErrLost
	}
	if err != nil {
		return err
	}
	if found.Token == j.outcome.Token && found.State == j.outcome.State {
		return nil
	}
	if found.version == j.version {
		// Not written yet; a write on its way and the next one can't both be.
		return cause
	}
	if j.outcome.State == released {
		// Somebody claimed the row after the release took effect.
		return nil
	}
	return ErrLost
}

func (j *settlement) done(s *Store) { s.active.remove(j.entry) }

func (j *settlement) size() int {
	if j.outcome.Result == nil {
		return 0
	}
	return j.outcome.Result.size()
}

// shrink drops the answer and keeps the fact that the request ran.
func (j *settlement) shrink(s *Store) {
	if j.outcome.Result == nil {
		return
	}
	j.outcome = j.outcome.with(answerGone)
	s.active.replaceOutcome(j.entry, j.outcome)
}
