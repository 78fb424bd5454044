package claim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Claim is the exclusive right to send one request once. The caller must call
// exactly one of its methods, once. A second call returns ErrOutcomeSet.
type Claim struct {
	store      *Store
	active     *activeClaim
	version    uint64
	outcomeSet atomic.Bool
}

// Finish records the complete result. The response may be sent to the caller
// whatever Finish returns. ErrPending means that the outcome is kept in memory
// and that Run retries the write.
func (c *Claim) Finish(ctx context.Context, result Result) error {
	rec := c.active.record.withState(finished)
	rec.Result = &result
	if result.size() > c.store.options.MaxResultBytes {
		rec = rec.withState(resultGone)
	}
	return c.recordOutcome(ctx, rec)
}

// MayHaveRun records that the request was sent, at least in part, and that no
// complete response was received. The request is never run again.
func (c *Claim) MayHaveRun(ctx context.Context) error {
	return c.recordOutcome(ctx, c.active.record.withState(mayHaveRun))
}

// Release releases the claim, so that the key can be claimed again. It may be
// called only if no byte of the request was sent.
func (c *Claim) Release(ctx context.Context) error {
	return c.recordOutcome(ctx, c.active.record.withState(released))
}

func (c *Claim) recordOutcome(ctx context.Context, outcome record) error {
	if !c.outcomeSet.CompareAndSwap(false, true) {
		return ErrOutcomeSet
	}
	c.store.active.setOutcome(c.active, outcome)
	pending := &outcomeWrite{claim: c.active, outcome: outcome, version: c.version}
	err := pending.write(ctx, c.store)
	if err == nil || errors.Is(err, ErrRowExpired) {
		c.store.active.remove(c.active)
		return err
	}
	c.store.enqueue(pending)
	return fmt.Errorf("%w: %w", ErrPending, err)
}

// outcomeWrite is the pending write of an outcome.
type outcomeWrite struct {
	claim   *activeClaim
	outcome record
	// version is the version of the row that the claim wrote.
	version uint64
}

// write writes the outcome to the claim's row. It may be retried after an error: each
// attempt requires the row version that the claim wrote, so only one attempt succeeds.
func (w *outcomeWrite) write(ctx context.Context, s *Store) error {
	rec, err := s.results.storeIfLarge(ctx, w.outcome)
	if err != nil {
		return err
	}
	_, err = s.rows.write(ctx, rec, w.version)
	if err == nil || errors.Is(err, storage.ErrUnavailable) {
		return err
	}
	return w.readBack(ctx, s, err)
}

// readBack reads the row to determine whether a write of this outcome took
// effect. It returns nil if it did.
func (w *outcomeWrite) readBack(ctx context.Context, s *Store, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.ReadTimeout)
	defer cancel()
	found, err := s.rows.read(ctx, w.outcome.Key)
	if errors.Is(err, storage.ErrNotFound) {
		return ErrRowExpired
	}
	if err != nil {
		return err
	}
	if found.Token == w.outcome.Token && found.State == w.outcome.State {
		return nil
	}
	if found.version == w.version {
		// The outcome isn't written yet. A write that is still in transit and the
		// next attempt can't both succeed, since both expect this version.
		return cause
	}
	if w.outcome.State == released {
		// The key was claimed again after the release took effect.
		return nil
	}
	return ErrRowExpired
}

func (w *outcomeWrite) complete(s *Store) { s.active.remove(w.claim) }

func (w *outcomeWrite) resultBytes() int {
	if w.outcome.Result == nil {
		return 0
	}
	return w.outcome.Result.size()
}

// dropResult discards the result and keeps the fact that the request ran.
func (w *outcomeWrite) dropResult(s *Store) {
	if w.outcome.Result == nil {
		return
	}
	w.outcome = w.outcome.withState(resultGone)
	s.active.replaceOutcome(w.claim, w.outcome)
}
