package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Head names an accepted manifest.
type Head struct {
	// Epoch counts the accepted manifests from 1; zero means that there is
	// none.
	Epoch uint64 `json:"epoch"`
	// Digest is the digest of the document.
	Digest string `json:"digest"`
	// Parent is the digest of the head before it; empty for the first.
	Parent string `json:"parent,omitempty"`
	// Build is the pipeline's label.
	Build string `json:"build,omitempty"`
	// Token is the mark of the submission that was accepted.
	Token string `json:"token,omitempty"`
	// AcceptedAt is the time of acceptance by the submitter's clock, in UTC.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
}

// Rows of the table and names of objects.
const (
	headKey       = "config/head"
	epochPrefix   = "config/epoch/"
	digestPrefix  = "config/digest/"
	confirmPrefix = "confirm/"
	bodyPrefix    = "manifest/"
	deltaPrefix   = "manifest-delta/"
)

// epochKey sorts as its number does.
func epochKey(epoch uint64) string { return fmt.Sprintf("%s%020d", epochPrefix, epoch) }

func digestKey(digest string) string { return digestPrefix + hexPart(digest) }

func bodyName(digest string) string { return bodyPrefix + hexPart(digest) }

func deltaName(digest string) string { return deltaPrefix + hexPart(digest) }

// hexPart drops the name of the hash, whose colon some stores don't like.
func hexPart(digest string) string {
	_, hex, found := strings.Cut(digest, ":")
	if !found {
		return digest
	}
	return hex
}

// Errors of the Store beside those of the platform.
var (
	// ErrToken means that a submission's token is empty or too long.
	ErrToken = errors.New("config: bad token")
	// ErrDamaged means that a row or body isn't what was stored there.
	ErrDamaged = errors.New("config: damaged")
)

// ConflictError means that another manifest is the head: the document's
// parent isn't. Nothing was accepted, and nothing of the call will be.
type ConflictError struct {
	// Head is the head at that moment; its epoch is zero if there is none.
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

// Is makes a ConflictError a storage.ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == storage.ErrConflict }

func encodeRow(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("config: encode row: " + err.Error()) // plain structs only
	}
	return data
}

func decodeHead(row storage.Row) (Head, error) {
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, fmt.Errorf("%w: row %s: %w", ErrDamaged, row.Key, err)
	}
	return head, nil
}
