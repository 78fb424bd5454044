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
	// maxTokenBytes is the maximum length of a token.
	maxTokenBytes = 128
	// submitAttempts is the maximum number of table transactions, and of body
	// writes, in one call.
	submitAttempts = 8
	// minBackoff and maxBackoff limit the delay between two attempts.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Submission is the result of a successful Submit.
type Submission struct {
	// Head is the accepted manifest. It may have been replaced by a newer one.
	Head Head
	// AlreadyAccepted is true if the document was accepted before this call or by another
	// call.
	AlreadyAccepted bool
}

// proposal is a document that a call submits, with the state of its attempts.
type proposal struct {
	head Head
	body []byte
	// txnSent is true once this call has sent a transaction to the table, so that a
	// row with the proposal's token may come from this call.
	txnSent bool
	// outcomeUnknown is true if the outcome of a transaction is unknown.
	outcomeUnknown bool
}

// Submit adds a document to the accepted manifests as the next epoch. If the
// document's parent isn't the digest of the head, Submit returns a *ConflictError
// with the head. If the document is invalid, it returns
// manifest.Errors.
//
// The digest covers the parent, so an equal digest means the same document at
// the same position in the history. Submitting it again, at any later time,
// succeeds with AlreadyAccepted set and never creates a second epoch. To return to an
// older content, submit a document with that content and the digest of the current head
// as its parent; it becomes a new epoch.
//
// token identifies the submission; the caller chooses it, with at most 128 bytes.
// If the error is storage.ErrUnknown, the document may have been accepted or may
// still be; submitting it again determines the outcome. Any other error means
// that nothing was accepted.
func (s *Store) Submit(ctx context.Context, data []byte, token string) (Submission, error) {
	if token == "" || len(token) > maxTokenBytes {
		return Submission{}, ErrInvalidToken
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

// writeBody writes the body to the object store. It must succeed before a transaction
// adds a row that refers to the body. It can be repeated, since the object's name is the
// body's digest.
func (s *Store) writeBody(ctx context.Context, p *proposal) error {
	var err error
	for attempt := range submitAttempts {
		if err = s.objects.Write(ctx, bodyName(p.head.Digest), p.body); err == nil {
			return nil
		}
		if errors.Is(err, storage.ErrConflict) {
			return fmt.Errorf("%w: another body is stored under %s", ErrCorrupt, p.head.Digest)
		}
		if backOff(ctx, attempt) != nil {
			break
		}
	}
	return fmt.Errorf("config: nothing was submitted, the body could not be written: %w: %v", storage.ErrUnavailable, err)
}

// propose calls tryCommit until the outcome is known or the attempts are used up.
func (s *Store) propose(ctx context.Context, p *proposal) (Submission, error) {
	var last error
	for attempt := range submitAttempts {
		result, err := s.tryCommit(ctx, p)
		if err == nil {
			return result, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return Submission{}, err
		}
		last = err
		if errors.Is(err, ErrCorrupt) {
			break // a retry can't succeed
		}
		if backOff(ctx, attempt) != nil {
			break
		}
	}
	if p.outcomeUnknown {
		return Submission{}, fmt.Errorf("config: submit the document again to learn its outcome: %w: %v", storage.ErrUnknown, last)
	}
	if errors.Is(last, ErrCorrupt) {
		return Submission{}, last
	}
	return Submission{}, fmt.Errorf("config: nothing was submitted: %w: %v", storage.ErrUnavailable, last)
}

// tryCommit reads the head and the row of the document's digest, and sends one
// transaction if the document's parent is the head. The head must be read first: if the
// head isn't the parent and the digest's row is absent afterwards, no delayed transaction
// of this proposal can still add the document, since each of them requires an older
// version of the head's row.
func (s *Store) tryCommit(ctx context.Context, p *proposal) (Submission, error) {
	head, version, err := s.readHead(ctx)
	if err != nil {
		return Submission{}, err
	}
	accepted, found, err := s.findDigest(ctx, p.head.Digest)
	if err != nil {
		return Submission{}, err
	}
	if found {
		ours := p.txnSent && accepted.Token == p.head.Token
		return Submission{Head: accepted, AlreadyAccepted: !ours}, nil
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
		return Head{}, false, fmt.Errorf("%w: row %s: %w", ErrCorrupt, row.Key, err)
	}
	head, err := s.readEpoch(ctx, epoch)
	return head, err == nil, err
}

func (s *Store) commit(ctx context.Context, p *proposal, epoch, version uint64) (Submission, error) {
	next := p.head
	next.Epoch = epoch
	next.AcceptedAt = wallTime()
	row := encodeRow(next)
	p.txnSent = true
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
	// Only ErrConflict and ErrUnavailable guarantee that the transaction had no effect.
	if !errors.Is(err, storage.ErrConflict) && !errors.Is(err, storage.ErrUnavailable) {
		p.outcomeUnknown = true
	}
	return Submission{}, fmt.Errorf("config: commit epoch %d: %w", epoch, err)
}

// backOff waits after the attempt, with exponential backoff, and with jitter so that
// concurrent submitters don't retry at the same time. It returns an error if ctx ends.
func backOff(ctx context.Context, attempt int) error {
	half := min(minBackoff<<attempt, maxBackoff) / 2
	return wait.For(ctx, half+rand.N(half+1))
}
