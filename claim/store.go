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

	dropped atomic.Uint64

	sweepMu sync.Mutex
	// sweepAfter is the last row key that Sweep read.
	sweepAfter string
}

// New returns a Store. The caller must run Run in a goroutine.
func New(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		options:    options,
		rows:       rowStore{table: options.Table},
		results:    resultStore{objects: options.Objects, inlineBytes: options.InlineBytes},
		process:    uuid.NewString(),
		active:     newActiveClaims(),
		backlog:    newBacklog(options.MaxPending, options.MaxPendingBytes),
		sweepAfter: sweepStart(options.Host),
	}
}

// Acquire claims key for the request with the digest. If it returns a Claim, the
// caller may send the request once and must then call exactly one method of the
// Claim. The errors are *DoneError, *InFlightError, *MayHaveRunError, ErrKeyReused
// and ErrUnavailable; after any of them the request must not be sent.
func (s *Store) Acquire(ctx context.Context, key Key, digest [32]byte, requestID string) (*Claim, error) {
	e := &activeClaim{record: record{
		Key:       key,
		State:     inFlight,
		Token:     uuid.NewString(),
		Host:      s.options.Host,
		Process:   s.process,
		Digest:    hex.EncodeToString(digest[:]),
		RequestID: requestID,
		ClaimedAt: s.options.Clock().UTC(),
	}}
	if other, added := s.active.add(e); !added {
		return nil, activeClaimError(other, e.record.Digest)
	}
	version, err := s.newAttempt(e).run(ctx)
	if err != nil {
		s.active.remove(e)
		return nil, err
	}
	return &Claim{store: s, entry: e, version: version}, nil
}

// activeClaimError returns the error for a duplicate of a claim that is active on
// this host.
func activeClaimError(e activeClaim, digest string) error {
	if e.record.Digest != digest {
		return ErrKeyReused
	}
	if e.outcome == nil {
		return &InFlightError{Host: e.record.Host, RequestID: e.record.RequestID}
	}
	switch e.outcome.State {
	case finished:
		return &DoneError{Result: *e.outcome.Result}
	case mayHaveRun, resultGone:
		return mayHaveRunError(*e.outcome)
	default:
		return &InFlightError{Host: e.record.Host, RequestID: e.record.RequestID}
	}
}

// duplicateError returns the error for a duplicate, from the row of its key.
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
// store is unavailable, it returns InFlightError, so that the caller retries: to
// report that the request has not run would be wrong.
func (s *Store) finishedError(ctx context.Context, rec record) error {
	result, err := s.results.load(ctx, rec)
	if err == nil {
		return &DoneError{Result: result}
	}
	if errors.Is(err, storage.ErrNotFound) {
		return mayHaveRunError(rec.with(resultGone))
	}
	return &InFlightError{Host: rec.Host, RequestID: rec.RequestID}
}

// mayBeRunning reports whether the owner of an in-flight claim may still be
// running.
func (s *Store) mayBeRunning(rec record) bool {
	if rec.Host == s.options.Host {
		return rec.Process == s.process
	}
	return s.options.alive(rec.Host)
}

func mayHaveRunError(rec record) error {
	return &MayHaveRunError{
		Host:       rec.Host,
		RequestID:  rec.RequestID,
		ResultGone: rec.State == resultGone,
	}
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
