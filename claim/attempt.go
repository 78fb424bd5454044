package claim

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/storage"
)

// maxClaimWrites is the maximum number of writes by one Acquire. A second write
// is needed if the first was lost or the row was released. More writes are rarely needed.
const maxClaimWrites = 4

// attempt is the state of one Acquire while it writes its claim to the table.
type attempt struct {
	store *Store
	claim *activeClaim
	// version is the expected version of the row; 0 means that it is absent.
	version uint64
	// mayTakeEffect is true if a write of this attempt may still take effect.
	mayTakeEffect bool
	// contended is true if a write conflicted and the row hasn't been read since
	// then, so that the row may belong to another attempt.
	contended bool
}

func (s *Store) newAttempt(c *activeClaim) *attempt {
	return &attempt{store: s, claim: c}
}

// run writes the claim's row and returns the row's version.
func (a *attempt) run(ctx context.Context) (uint64, error) {
	var lastErr error
	for range maxClaimWrites {
		version, err := a.store.rows.write(ctx, a.claim.record, a.version)
		if err == nil {
			return version, nil
		}
		lastErr = err
		if !a.recordFailure(err) || ctx.Err() != nil {
			break
		}
		version, done, err := a.readBack(ctx)
		if done {
			return version, err
		}
	}
	return 0, a.fail(lastErr)
}

// recordFailure updates the attempt after a write failed with err, and reports
// whether to read the row.
func (a *attempt) recordFailure(err error) bool {
	if errors.Is(err, storage.ErrConflict) {
		a.contended = true
		return true
	}
	if errors.Is(err, storage.ErrUnavailable) {
		return false
	}
	a.mayTakeEffect = true
	return true
}

// readBack reads the row after a failed write. If done is false, the claim can be
// written again, if the row still has the version that was read. Otherwise version
// and err are the results of the attempt.
func (a *attempt) readBack(ctx context.Context) (version uint64, done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.store.options.ReadTimeout)
	defer cancel()
	found, err := a.store.rows.read(ctx, a.claim.record.Key)
	if errors.Is(err, storage.ErrNotFound) {
		// An earlier write may still be in transit. Writing again is safe, since
		// only one of the two can find the row absent.
		a.setExpectedVersion(0)
		return 0, false, nil
	}
	if err != nil {
		return 0, true, a.fail(err)
	}
	if found.Token == a.claim.record.Token {
		return found.version, true, nil
	}
	if found.State == released || a.store.isOrphan(found.record) {
		a.setExpectedVersion(found.version)
		return 0, false, nil
	}
	// The row has another token, so no write of this attempt can take effect
	// any more.
	return 0, true, a.store.duplicateError(ctx, found, a.claim.record.Digest)
}

// setExpectedVersion sets the row version that the next write expects. It must be
// called only if the row that was read shows that no request with the key has run.
func (a *attempt) setExpectedVersion(version uint64) {
	a.version = version
	a.contended = false
}

// isOrphan reports whether rec is an in-flight claim of this process that Acquire
// never returned, because the outcome of its write was unknown. No request ran with
// such a claim, so its row may be replaced. If the row has changed since it was read,
// the write that replaces it fails.
func (s *Store) isOrphan(rec record) bool {
	return rec.State == inFlight && rec.Process == s.process && !s.active.hasToken(rec.Key, rec.Token)
}

// fail ends the attempt and returns its error. If a write may still take effect,
// it queues a cancellation.
func (a *attempt) fail(err error) error {
	if a.mayTakeEffect {
		a.store.enqueue(&cancellation{record: a.claim.record})
	}
	if a.contended {
		// A write conflicted, so the key has or had a row, and a request with the key
		// may have run.
		return &InFlightError{}
	}
	return unavailableError(err)
}
