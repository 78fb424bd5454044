package claim

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/storage"
)

// maxClaimWrites is the maximum number of writes by one Acquire. A second write
// is needed if a reply was lost or the row was released; more are rare.
const maxClaimWrites = 4

// attempt is the state of one Acquire while it writes its claim to the table.
type attempt struct {
	store *Store
	entry *activeClaim
	// version is the expected version of the row; 0 means that it is absent.
	version uint64
	// mayTakeEffect is true if a write of this attempt may still take effect.
	mayTakeEffect bool
	// contended is true if a row exists, or existed, that may belong to another
	// attempt.
	contended bool
}

func (s *Store) newAttempt(e *activeClaim) *attempt {
	return &attempt{store: s, entry: e}
}

// run writes the claim and returns the version of its row.
func (a *attempt) run(ctx context.Context) (uint64, error) {
	var lastErr error
	for range maxClaimWrites {
		version, err := a.store.rows.write(ctx, a.entry.record, a.version)
		if err == nil {
			return version, nil
		}
		lastErr = err
		if !a.shouldReadBack(err) || ctx.Err() != nil {
			break
		}
		version, done, err := a.readBack(ctx)
		if done {
			return version, err
		}
	}
	return 0, a.fail(lastErr)
}

// shouldReadBack updates the attempt after a failed write and reports whether to
// read the row.
func (a *attempt) shouldReadBack(err error) bool {
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
// written again on the version that was read.
func (a *attempt) readBack(ctx context.Context) (version uint64, done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.store.options.ReadTimeout)
	defer cancel()
	found, err := a.store.rows.read(ctx, a.entry.record.Key)
	if errors.Is(err, storage.ErrNotFound) {
		// An earlier write may still be in transit. Writing again is safe, since
		// only one of the two can find the row absent.
		a.retryOnVersion(0)
		return 0, false, nil
	}
	if err != nil {
		return 0, true, a.fail(err)
	}
	if found.Token == a.entry.record.Token {
		return found.version, true, nil
	}
	if found.State == released || a.store.isOrphan(found.record) {
		a.retryOnVersion(found.version)
		return 0, false, nil
	}
	// The row has another token, so no write of this attempt can take effect
	// any more.
	return 0, true, a.store.duplicateError(ctx, found, a.entry.record.Digest)
}

// retryOnVersion sets the expected version of the next write. It is called if the
// row that was read shows that no request with the key has run.
func (a *attempt) retryOnVersion(version uint64) {
	a.version = version
	a.contended = false
}

// isOrphan reports whether an in-flight claim belongs to this process but was
// never returned by Acquire, because the outcome of its write was unknown. No
// request ran under it. If the row has changed since it was read, the next write
// on its version fails.
func (s *Store) isOrphan(rec record) bool {
	return rec.State == inFlight && rec.Process == s.process && !s.active.hasToken(rec.Key, rec.Token)
}

// fail ends the attempt and returns its error. If a write may still take effect,
// it queues a cancellation.
func (a *attempt) fail(err error) error {
	if a.mayTakeEffect {
		a.store.enqueue(&cancellation{record: a.entry.record})
	}
	if a.contended {
		// A row exists, or existed, so a request with this key may have run.
		return &InFlightError{}
	}
	return unavailable(err)
}
