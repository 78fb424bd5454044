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

// Store claims keys in the table on behalf of one process. It is safe for
// concurrent use.
type Store struct {
	options Options
	rows    rows
	answers answers
	// process tells this process's claims from those of an earlier process
	// that had the same host name.
	process string
	active  *active
	backlog *backlog

	dropped atomic.Uint64

	sweepMu sync.Mutex
	// sweepAfter is the last row key that Sweep saw.
	sweepAfter string
}

// New returns a Store. Run must run beside it.
func New(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		options:    options,
		rows:       rows{table: options.Table},
		answers:    answers{objects: options.Objects, inlineBytes: options.InlineBytes},
		process:    uuid.NewString(),
		active:     newActive(),
		backlog:    newBacklog(options.MaxPending, options.MaxPendingBytes),
		sweepAfter: sweepStart(options.Host),
	}
}

// Acquire claims key for the request with the digest. With a Claim the caller
// may send the request once and must then call exactly one of the Claim's
// methods. The errors are *DoneError, *InFlightError, *MayHaveRunError,
// ErrReused and ErrUnavailable; with each of them nothing may be sent.
func (s *Store) Acquire(ctx context.Context, key Key, digest [32]byte, requestID string) (*Claim, error) {
	e := &entry{record: record{
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
		return nil, answerLocally(other, e.record.Digest)
	}
	version, err := s.newAttempt(e).run(ctx)
	if err != nil {
		s.active.remove(e)
		return nil, err
	}
	return &Claim{store: s, entry: e, version: version}, nil
}

// answerLocally answers a repeat of a claim that is active on this host.
func answerLocally(e entry, digest string) error {
	if e.record.Digest != digest {
		return ErrReused
	}
	if e.outcome == nil {
		return &InFlightError{Host: e.record.Host, RequestID: e.record.RequestID}
	}
	switch e.outcome.State {
	case finished:
		return &DoneError{Result: *e.outcome.Result}
	case mayHaveRun, answerGone:
		return mayHaveRunError(*e.outcome)
	default:
		return &InFlightError{Host: e.record.Host, RequestID: e.record.RequestID}
	}
}

// answer tells a repeat what the row of its key says.
func (s *Store) answer(ctx context.Context, found row, digest string) error {
	if found.Digest != digest {
		return ErrReused
	}
	switch found.State {
	case finished:
		return s.answerFinished(ctx, found.record)
	case inFlight:
		if s.mayBeRunning(found.record) {
			return &InFlightError{Host: found.Host, RequestID: found.RequestID}
		}
	}
	return mayHaveRunError(found.record)
}

// answerFinished reads the answer. If the object store doesn't give it now,
// the repeat has to come back: saying "not run" would be false.
func (s *Store) answerFinished(ctx context.Context, rec record) error {
	result, err := s.answers.load(ctx, rec)
	if err == nil {
		return &DoneError{Result: result}
	}
	if errors.Is(err, storage.ErrNotFound) {
		return mayHaveRunError(rec.with(answerGone))
	}
	return &InFlightError{Host: rec.Host, RequestID: rec.RequestID}
}

// mayBeRunning reports whether the owner of a claim in flight may be at work.
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
		AnswerGone: rec.State == answerGone,
	}
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
