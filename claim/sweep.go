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

// Swept counts what one Sweep did.
type Swept struct {
	// Read is the number of rows looked at.
	Read int
	// Expired is the number of answers that gave way to a tombstone.
	Expired int
	// Deleted is the number of rows removed.
	Deleted int
}

// sweepStart spreads the hosts' first sweeps over the rows.
func sweepStart(host string) string {
	sum := sha256.Sum256([]byte(host))
	return rowPrefix + hex.EncodeToString(sum[:])
}

// Sweep looks at up to limit rows, from where the last call stopped, and goes
// round at the end. Answers past their retention are replaced by tombstones;
// tombstones and released rows past theirs are deleted. Rows that change
// meanwhile are left for the next round.
func (s *Store) Sweep(ctx context.Context, limit int) (Swept, error) {
	s.sweepMu.Lock()
	defer s.sweepMu.Unlock()
	found, err := s.options.Table.List(ctx, rowPrefix, s.sweepAfter, limit)
	if err != nil {
		return Swept{}, err
	}
	s.sweepAfter = ""
	if len(found) == limit {
		s.sweepAfter = found[len(found)-1].Key
	}
	return s.sweepRows(ctx, found)
}

func (s *Store) sweepRows(ctx context.Context, found []storage.Row) (Swept, error) {
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
	return Swept{Read: len(found), Expired: int(expired.Load()), Deleted: int(deleted.Load())}, err
}

// sweepRow returns what is to be done with a row; nil is nothing.
func (s *Store) sweepRow(r storage.Row) (txn *storage.Txn, isDelete bool, err error) {
	rec, err := decodeRecord(r.Value)
	if err != nil {
		return nil, false, err
	}
	onVersion := []storage.Condition{{Key: r.Key, Version: r.Version}}
	switch s.fate(rec, s.options.Clock().Sub(rec.ClaimedAt)) {
	case fateDelete:
		return &storage.Txn{Conditions: onVersion, Deletes: []string{r.Key}}, true, nil
	case fateTombstone:
		value, err := rec.with(answerGone).encode()
		puts := []storage.Put{{Key: r.Key, Value: value}}
		return &storage.Txn{Conditions: onVersion, Puts: puts}, false, err
	default:
		return nil, false, nil
	}
}

// fate is what Sweep does with a row.
type fate int

const (
	fateKeep fate = iota
	fateTombstone
	fateDelete
)

// fate decides by a row's state and its age since it was claimed.
func (s *Store) fate(rec record, age time.Duration) fate {
	if age < s.options.Retention {
		return fateKeep
	}
	switch rec.State {
	case released:
		return fateDelete
	case inFlight:
		if s.mayBeRunning(rec) {
			return fateKeep
		}
		return fateTombstone
	case answerGone:
		if age < s.options.TombstoneRetention {
			return fateKeep
		}
		return fateDelete
	default:
		return fateTombstone
	}
}

func ignoreConflict(err error) error {
	if errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return err
}
