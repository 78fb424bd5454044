package claim

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Store claims request keys in the table for one process. It is safe for
// concurrent use.
type Store struct {
	options Options
	rows    rowStore
	results resultStore
	// process is a unique ID. It distinguishes the claims of this process from
	// those of an earlier process with the same host name.
	process string
	active  *activeClaims
	backlog *backlog

	droppedCount atomic.Uint64

	sweepMu sync.Mutex
	// sweepCursor is the last row key that Sweep read.
	sweepCursor string
}

// NewStore returns a Store. The caller must run Run in a goroutine.
func NewStore(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		options:     options,
		rows:        rowStore{table: options.Table},
		results:     resultStore{objects: options.Objects, inlineBytes: options.InlineBytes},
		process:     uuid.NewString(),
		active:      newActiveClaims(),
		backlog:     newBacklog(options.MaxPending, options.MaxPendingBytes),
		sweepCursor: sweepStart(options.Host),
	}
}

// Acquire claims key for the request with the digest. If it returns a Claim, the
// caller may send the request once and must then call exactly one method of the
// Claim. The errors are *DoneError, *InFlightError, *MayHaveRunError, ErrKeyReused
// and ErrUnavailable; after any of them the request must not be sent.
func (s *Store) Acquire(ctx context.Context, key Key, digest [32]byte, requestID string) (*Claim, error) {
	c := &activeClaim{record: record{
		Key:       key,
		State:     inFlight,
		Token:     uuid.NewString(),
		Host:      s.options.Host,
		Process:   s.process,
		Digest:    hex.EncodeToString(digest[:]),
		RequestID: requestID,
		ClaimedAt: s.options.Clock().UTC(),
	}}
	if other, added := s.active.add(c); !added {
		return nil, activeClaimError(other, c.record.Digest)
	}
	version, err := s.newAttempt(c).run(ctx)
	if err != nil {
		s.active.remove(c)
		return nil, err
	}
	return &Claim{store: s, active: c, version: version}, nil
}

// activeClaimError returns the error for a duplicate of a claim that is active on
// this host.
func activeClaimError(c activeClaim, digest string) error {
	if c.record.Digest != digest {
		return ErrKeyReused
	}
	if c.outcome == nil {
		return &InFlightError{Host: c.record.Host, RequestID: c.record.RequestID}
	}
	switch c.outcome.State {
	case finished:
		return &DoneError{Result: *c.outcome.Result}
	case mayHaveRun, resultGone:
		return mayHaveRunError(*c.outcome)
	default:
		return &InFlightError{Host: c.record.Host, RequestID: c.record.RequestID}
	}
}

// duplicateError returns the error for a duplicate by the row of its key that was
// found. digest is the digest of the duplicate.
func (s *Store) duplicateError(ctx context.Context, found row, digest string) error {
	if found.Digest != digest {
		return ErrKeyReused
	}
	switch found.State {
	case finished:
		return s.finishedError(ctx, found.record)
	case inFlight:
		if s.mayBeRunning(found.record) {
			return &InFlightError{Host: found.Host, RequestID: found.RequestID}
		}
	}
	return mayHaveRunError(found.record)
}

// finishedError loads the result and returns it in a DoneError. If the object
// store is unavailable, it returns InFlightError, so that the caller retries later.
// Another error would report that the request didn't run or that its result is gone.
func (s *Store) finishedError(ctx context.Context, rec record) error {
	result, err := s.results.load(ctx, rec)
	if err == nil {
		return &DoneError{Result: result}
	}
	if errors.Is(err, storage.ErrNotFound) {
		return mayHaveRunError(rec.withState(resultGone))
	}
	return &InFlightError{Host: rec.Host, RequestID: rec.RequestID}
}

// mayBeRunning reports whether the process that owns an in-flight claim may still be
// running. A claim of an earlier process of this host has no running owner.
func (s *Store) mayBeRunning(rec record) bool {
	if rec.Host == s.options.Host {
		return rec.Process == s.process
	}
	return s.options.hostMayBeRunning(rec.Host)
}

func mayHaveRunError(rec record) error {
	return &MayHaveRunError{
		Host:       rec.Host,
		RequestID:  rec.RequestID,
		ResultGone: rec.State == resultGone,
	}
}

func unavailableError(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
