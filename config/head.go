package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Head identifies an accepted manifest.
type Head struct {
	// Epoch is the number of the accepted manifest, counted from 1. Zero means that
	// there is none.
	Epoch uint64 `json:"epoch"`
	// Digest is the digest of the document's canonical encoding.
	Digest string `json:"digest"`
	// Parent is the digest of the previous head. It is empty for the first head.
	Parent string `json:"parent,omitempty"`
	// Build is the label that the operator's pipeline gave the document.
	Build string `json:"build,omitempty"`
	// Token identifies the submission that was accepted.
	Token string `json:"token,omitempty"`
	// AcceptedAt is the time of acceptance in UTC, by the clock of the submitting
	// host.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
}

// Keys of rows in the table, and prefixes of keys and of object names.
const (
	headKey       = "config/head"
	epochPrefix   = "config/epoch/"
	digestPrefix  = "config/digest/"
	confirmPrefix = "confirm/"
	bodyPrefix    = "manifest/"
	deltaPrefix   = "manifest-delta/"
)

// epochKey returns the key of an epoch's row. Keys sort in the order of their epochs.
func epochKey(epoch uint64) string { return fmt.Sprintf("%s%020d", epochPrefix, epoch) }

func digestKey(digest string) string { return digestPrefix + hexPart(digest) }

func bodyName(digest string) string { return bodyPrefix + hexPart(digest) }

func deltaName(digest string) string { return deltaPrefix + hexPart(digest) }

// hexPart returns the digest without the name of the hash function, as some stores
// don't allow the colon in names.
func hexPart(digest string) string {
	_, hex, found := strings.Cut(digest, ":")
	if !found {
		return digest
	}
	return hex
}

// Errors of the Store, besides those of package storage.
var (
	// ErrInvalidToken means that a submission's token is empty or too long.
	ErrInvalidToken = errors.New("config: the token is empty or too long")
	// ErrCorrupt means that a stored row or body is corrupt.
	ErrCorrupt = errors.New("config: corrupt data")
)

// ConflictError means that the document's parent isn't the head. The document was
// not accepted, and the failed call can't lead to its acceptance later either.
type ConflictError struct {
	// Head is the head that was read; its epoch is zero if there is none.
	Head Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Head.Epoch == 0 {
		return "config: the document has a parent, and no manifest was accepted yet"
	}
	return fmt.Sprintf("config: the document's parent is not the head: epoch %d, digest %s, build %q",
		e.Head.Epoch, e.Head.Digest, e.Head.Build)
}

// Is makes errors.Is match storage.ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == storage.ErrConflict }

func encodeRow(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("config: encode row: " + err.Error()) // rows hold only types that can be encoded
	}
	return data
}

func decodeHead(row storage.Row) (Head, error) {
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, fmt.Errorf("%w: row %s: %w", ErrCorrupt, row.Key, err)
	}
	return head, nil
}
