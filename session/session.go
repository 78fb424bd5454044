// Package session keeps a session on the version that it began with.
//
// A session is bound to one version of a model. The binding travels in a
// signed token that any host can open without I/O (Codec). A caller that
// sends a bare session id instead is bound by a row of the platform's table
// (Registry). The version of a new session is chosen by Choose, a pure
// function of the session's identity and the versions' shares.
//
// The entry host embeds all three. A session without a token that begins on two
// hosts while the table is out of reach can get two versions; Bind says then
// that the binding isn't durable.
package session

import (
	"errors"
	"fmt"
	"time"
)

// maxFieldBytes bounds each text field of a binding, so that tokens and rows
// are bounded too.
const maxFieldBytes = 200

// Errors of tokens and bindings.
var (
	// ErrMalformed means that the text isn't a token that a known key signed.
	ErrMalformed = errors.New("session: malformed token")
	// ErrExpired means that the token is genuine but past its time to live.
	ErrExpired = errors.New("session: expired token")
	// ErrUnknownKey means that the token names a key that isn't held.
	ErrUnknownKey = errors.New("session: unknown key")
	// ErrOtherAccount means that the token belongs to another client account.
	ErrOtherAccount = errors.New("session: token of another account")
	// ErrInvalidBinding means that a field is missing or too long.
	ErrInvalidBinding = errors.New("session: invalid binding")
)

// Binding ties a session to a version.
type Binding struct {
	// Account is the client account that owns the session.
	Account string `json:"account"`
	// SessionID is the caller's or the system's name for the session.
	SessionID string `json:"session_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	// Epoch is the manifest epoch under which the version was chosen.
	Epoch uint64 `json:"epoch"`
	// IssuedAt is the time of the last use that was written down, to the
	// millisecond.
	IssuedAt time.Time `json:"issued_at"`
}

// Validate reports whether the binding can be written as a token or a row.
func (b Binding) Validate() error {
	fields := []struct{ name, value string }{
		{"account", b.Account},
		{"session id", b.SessionID},
		{"model", b.Model},
		{"version", b.Version},
	}
	for _, f := range fields {
		if f.value == "" {
			return fmt.Errorf("%w: %s is empty", ErrInvalidBinding, f.name)
		}
		if len(f.value) > maxFieldBytes {
			return fmt.Errorf("%w: %s has %d bytes, at most %d", ErrInvalidBinding, f.name, len(f.value), maxFieldBytes)
		}
	}
	return nil
}

// sameSession reports whether two bindings are of one session and model.
func (b Binding) sameSession(other Binding) bool {
	return b.Account == other.Account && b.SessionID == other.SessionID && b.Model == other.Model
}
