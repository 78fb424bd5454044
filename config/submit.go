package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// maxToken is the length of a token in bytes.
	maxToken = 128
	// submitAttempts bounds the table transactions and body writes of one
	// call.
	submitAttempts = 8
	// firstBackoff and lastBackoff bound the wait between two attempts.
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = time.Second
)

// Submission is the result of a successful Submit.
type Submission struct {
	// Head is the accepted manifest. It need not be the newest any more.
	Head Head
	// Already says that the document had been accepted before this call, or
	// by another one.
	Already bool
}

// proposal is a document on its way to acceptance.
type proposal struct {
	head Head
	body []byte
	// sent says that a transaction was handed to the table, so that a row
	// with the proposal's token may be this call's own.
	sent bool
	// open says that the outcome of a transaction is unknown.
	open bool
}

// Submit has a document accepted as the next epoch. Its parent must be the
// digest of the head; where it isn't, the error is a *ConflictError that names
// the head. A document that Parse refuses gives manifest.Errors.
//
// The digest covers the parent, so an equal digest means the same document at
// the same place in the history: submitting it again is a success with
// Already set, however much later, and never a second epoch. Going back to an
// older content takes a document with the present head as its parent, which
// is a new epoch.
//
// token marks the submission, at most 128 bytes and of the caller's making.
// An error that is storage.ErrUnknown leaves open whether the document was
// or will be accepted; submitting it again settles it. Any other error means
// that nothing was accepted.
func (s *Store) Submit(ctx context.Context, data []byte, token string) (Submission, error) {
	if token == "" || len(token) > maxToken {
		return Submission{}, ErrToken
	}
	doc, err := manifest.Parse(data)
	if err != nil {
		return Submission{}, err
	}
	p := newProposal(doc, token)
	if err := s.writeBody(ctx, p); err != nil {
		return Submission{}, err
	}
	s.writeDelta(ctx, p)
	return s.propose(ctx, p)
}

func newProposal(doc *manifest.Document, token string) *proposal {
	body := manifest.Encode(doc)
	return &proposal{
		body: body,
		head: Head{
			Digest: manifest.DigestCanonical(body),
			Parent: doc.Parent,
			Build:  doc.Build,
			Token:  token,
		},
	}
}

// writeBody stores the body before any row names it. Writing it again is
// harmless, as its name is its digest.
func (s *Store) writeBody(ctx context.Context, p *proposal) error {
	var err error
	for attempt := range submitAttempts {
		if err = s.objects.Write(ctx, bodyName(p.head.Digest), p.body); err == nil {
			return nil
		}
		if errors.Is(err, storage.ErrConflict) {
			return fmt.Errorf("%w: another body is stored under %s", ErrDamaged, p.head.Digest)
		}
		if pause(ctx, attempt) != nil {
			break
		}
	}
	return fmt.Errorf("config: nothing was submitted, the body could not be written: %w: %v", storage.ErrUnavailable, err)
}

// propose repeats attempts until one settles the outcome.
func (s *Store) propose(ctx context.Context, p *proposal) (Submission, error) {
	var last error
	for attempt := range submitAttempts {
		result, err := s.attempt(ctx, p)
		if err == nil {
			return result, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return Submission{}, err
		}
		last = err
		if errors.Is(err, ErrDamaged) {
			break // waiting doesn't mend it
		}
		if pause(ctx, attempt) != nil {
			break
		}
	}
	if p.open {
		return Submission{}, fmt.Errorf("config: submit the document again to learn its outcome: %w: %v", storage.ErrUnknown, last)
	}
	if errors.Is(last, ErrDamaged) {
		return Submission{}, last
	}
	return Submission{}, fmt.Errorf("config: nothing was submitted: %w: %v", storage.ErrUnavailable, last)
}

// attempt looks where the history stands and sends one transaction if the
// document's turn is now. The head is read before the digest's row: a digest
// that is absent after another head was seen can't arrive late either, as
// every transaction that would add it requires the head's old version.
func (s *Store) attempt(ctx context.Context, p *proposal) (Submission, error) {
	head, version, err := s.readHead(ctx)
	if err != nil {
		return Submission{}, err
	}
	accepted, found, err := s.findDigest(ctx, p.head.Digest)
	if err != nil {
		return Submission{}, err
	}
	if found {
		own := p.sent && accepted.Token == p.head.Token
		return Submission{Head: accepted, Already: !own}, nil
	}
	if head.Digest != p.head.Parent {
		return Submission{}, &ConflictError{Head: head}
	}
	return s.commit(ctx, p, head.Epoch+1, version)
}

func (s *Store) findDigest(ctx context.Context, digest string) (Head, bool, error) {
	row, err := s.table.Get(ctx, digestKey(digest))
	if errors.Is(err, storage.ErrNotFound) {
		return Head{}, false, nil
	}
	if err != nil {
		return Head{}, false, fmt.Errorf("config: read digest row: %w", err)
	}
	epoch, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return Head{}, false, fmt.Errorf("%w: row %s: %w", ErrDamaged, row.Key, err)
	}
	head, err := s.acceptedAt(ctx, epoch)
	return head, err == nil, err
}

func (s *Store) commit(ctx context.Context, p *proposal, epoch, version uint64) (Submission, error) {
	next := p.head
	next.Epoch = epoch
	next.AcceptedAt = now()
	row := encodeRow(next)
	p.sent = true
	_, err := s.table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{
			{Key: headKey, Version: version},
			{Key: epochKey(epoch)},
			{Key: digestKey(next.Digest)},
		},
		Puts: []storage.Put{
			{Key: headKey, Value: row},
			{Key: epochKey(epoch), Value: row},
			{Key: digestKey(next.Digest), Value: strconv.AppendUint(nil, epoch, 10)},
		},
	})
	if err == nil {
		return Submission{Head: next}, nil
	}
	// Only a conflict and an outage are certain to have had no effect.
	if !errors.Is(err, storage.ErrConflict) && !errors.Is(err, storage.ErrUnavailable) {
		p.open = true
	}
	return Submission{}, fmt.Errorf("config: commit epoch %d: %w", epoch, err)
}

// pause waits between two attempts, longer each time, with jitter so that
// racing submitters part.
func pause(ctx context.Context, attempt int) error {
	half := min(firstBackoff<<attempt, lastBackoff) / 2
	return wait.For(ctx, half+rand.N(half+1))
}
