package claim

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/storage"
)

// maxClaimWrites bounds the writes of one Acquire. A second one is needed when
// an answer was lost or the row was released; more are rare.
const maxClaimWrites = 4

// attempt is one Acquire at work on the table.
type attempt struct {
	store *Store
	entry *entry
	// version is what the row must have to be claimed; zero is absent.
	version uint64
	// open says that a write of this attempt may still take effect.
	open bool
	// contended says that the table showed a row which may be another's.
	contended bool
}

func (s *Store) newAttempt(e *entry) *attempt {
	return &attempt{store: s, entry: e}
}

// run writes the claim and returns its row's version.
func (a *attempt) run(ctx context.Context) (uint64, error) {
	var last error
	for range maxClaimWrites {
		version, err := a.store.rows.write(ctx, a.entry.record, a.version)
		if err == nil {
			return version, nil
		}
		last = err
		if !a.note(err) || ctx.Err() != nil {
			break
		}
		version, done, err := a.readBack(ctx)
		if done {
			return version, err
		}
	}
	return 0, a.giveUp(last)
}

// note records what a failed write means and reports whether reading the row
// can help.
func (a *attempt) note(err error) bool {
	if errors.Is(err, storage.ErrConflict) {
		a.contended = true
		return true
	}
	if errors.Is(err, storage.ErrUnavailable) {
		return false
	}
	a.open = true
	return true
}

// readBack looks at the row after a write that didn't succeed. If it isn't
// done, the claim can be written once more on the row's new version.
func (a *attempt) readBack(ctx context.Context) (version uint64, done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.store.options.ReadTimeout)
	defer cancel()
	found, err := a.store.rows.read(ctx, a.entry.record.Key)
	if errors.Is(err, storage.ErrNotFound) {
		// A write on its way may yet arrive. Writing again is safe: only one
		// of the two can find the row absent.
		a.retryOn(0)
		return 0, false, nil
	}
	if err != nil {
		return 0, true, a.giveUp(err)
	}
	if found.Token == a.entry.record.Token {
		return found.version, true, nil
	}
	if found.State == released || a.store.isOrphan(found.record) {
		a.retryOn(found.version)
		return 0, false, nil
	}
	// The row exists under another token, so no write of this attempt can
	// take effect any more.
	return 0, true, a.store.answer(ctx, found, a.entry.record.Digest)
}

// retryOn sets the version for the next write. The row that was read shows that
// nothing has run on the key so far.
func (a *attempt) retryOn(version uint64) {
	a.version = version
	a.contended = false
}

// isOrphan reports that a claim in flight is this process's own and was never
// handed out: its attempt gave up on an unknown outcome. Nothing ran on it. If
// the row is newer than it looks, the write on its version fails.
func (s *Store) isOrphan(rec record) bool {
	return rec.State == inFlight && rec.Process == s.process && !s.active.owns(rec.Key, rec.Token)
}

// giveUp ends an attempt without a claim. A write that may still take effect
// is queued to be released.
func (a *attempt) giveUp(err error) error {
	if a.open {
		a.store.queue(&abandon{record: a.entry.record})
	}
	if a.contended {
		// A row exists, or did, so "not run" could be false of this key.
		return &InFlightError{}
	}
	return unavailable(err)
}
