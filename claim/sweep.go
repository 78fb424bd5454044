package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/storage"
)

// SweepResult holds the counts of one Sweep call.
type SweepResult struct {
	// Read is the number of rows read.
	Read int
	// Expired is the number of rows replaced by tombstones.
	Expired int
	// Deleted is the number of rows deleted.
	Deleted int
}

// sweepStart returns the row key after which the first sweep of a host starts. It
// is derived from the host name, so that the hosts start at different rows.
func sweepStart(host string) string {
	sum := sha256.Sum256([]byte(host))
	return rowPrefix + hex.EncodeToString(sum[:])
}

// Sweep reads up to limit rows, starting where the last call stopped, or at the
// first row if the last call reached the end. Rows whose claim is older than
// Retention are replaced by tombstones, unless the owner may still be running
// the request. Released rows whose claim is older than Retention are deleted, and
// tombstones whose claim is older than TombstoneRetention are deleted. Rows that
// change concurrently are left for the next pass.
func (s *Store) Sweep(ctx context.Context, limit int) (SweepResult, error) {
	s.sweepMu.Lock()
	defer s.sweepMu.Unlock()
	found, err := s.options.Table.List(ctx, rowPrefix, s.sweepCursor, limit)
	if err != nil {
		return SweepResult{}, err
	}
	s.sweepCursor = ""
	if len(found) == limit {
		s.sweepCursor = found[len(found)-1].Key
	}
	return s.sweepRows(ctx, found)
}

func (s *Store) sweepRows(ctx context.Context, found []storage.Row) (SweepResult, error) {
	var expired, deleted atomic.Int64
	var group errgroup.Group
	group.SetLimit(retryConcurrency)
	for _, r := range found {
		group.Go(func() error {
			txn, isDelete, err := s.sweepRow(r)
			if err != nil || txn == nil {
				return err
			}
			if _, err := s.options.Table.Commit(ctx, *txn); err != nil {
				return ignoreConflict(err)
			}
			if isDelete {
				deleted.Add(1)
				return nil
			}
			expired.Add(1)
			return nil
		})
	}
	err := group.Wait()
	return SweepResult{Read: len(found), Expired: int(expired.Load()), Deleted: int(deleted.Load())}, err
}

// sweepRow returns the transaction that replaces the row by a tombstone or deletes
// it, or nil if the row stays as it is.
func (s *Store) sweepRow(r storage.Row) (txn *storage.Txn, isDelete bool, err error) {
	rec, err := decodeRecord(r.Value)
	if err != nil {
		return nil, false, err
	}
	onVersion := []storage.Condition{{Key: r.Key, Version: r.Version}}
	switch s.sweepActionFor(rec, s.options.Clock().Sub(rec.ClaimedAt)) {
	case sweepDelete:
		return &storage.Txn{Conditions: onVersion, Deletes: []string{r.Key}}, true, nil
	case sweepTombstone:
		value, err := rec.withState(resultGone).encode()
		puts := []storage.Put{{Key: r.Key, Value: value}}
		return &storage.Txn{Conditions: onVersion, Puts: puts}, false, err
	default:
		return nil, false, nil
	}
}

// sweepAction is what Sweep does with a row.
type sweepAction int

const (
	sweepKeep sweepAction = iota
	sweepTombstone
	sweepDelete
)

// sweepActionFor returns the action for a row, by its state and the time since it
// was claimed.
func (s *Store) sweepActionFor(rec record, age time.Duration) sweepAction {
	if age < s.options.Retention {
		return sweepKeep
	}
	switch rec.State {
	case released:
		return sweepDelete
	case inFlight:
		if s.mayBeRunning(rec) {
			return sweepKeep
		}
		return sweepTombstone
	case resultGone:
		if age < s.options.TombstoneRetention {
			return sweepKeep
		}
		return sweepDelete
	default:
		return sweepTombstone
	}
}

func ignoreConflict(err error) error {
	if errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return err
}
