// Package session binds each session to the model version that it started on.
//
// The binding is carried in a signed token, which any host can verify without
// I/O (Codec). If a caller sends only a session ID, the binding is stored in a
// row of the platform's table (Registry). ChooseVersion selects the version of a
// new session. It is a pure function of the session's identity and the versions'
// shares.
//
// The entry host uses Codec, Registry and ChooseVersion. A session without a token that
// starts on two hosts while the table is unreachable can get two versions. Bind then
// reports that the binding isn't durable.
package session

import (
	"errors"
	"fmt"
	"time"
)

// maxFieldBytes is the maximum length of each text field of a binding. It also
// limits the size of tokens and rows.
const maxFieldBytes = 200

// Errors of tokens and bindings.
var (
	// ErrMalformed means that the text isn't a token, or that its signature
	// isn't valid.
	ErrMalformed = errors.New("session: malformed token")
	// ErrExpired means that the signature is valid, but the token was issued more
	// than one TTL ago or more than one TTL in the future.
	ErrExpired = errors.New("session: expired token")
	// ErrUnknownKey means that the token's key ID isn't in the key set.
	ErrUnknownKey = errors.New("session: unknown key")
	// ErrOtherAccount means that the token belongs to another client account.
	ErrOtherAccount = errors.New("session: token of another account")
	// ErrInvalidBinding means that a field is missing or too long.
	ErrInvalidBinding = errors.New("session: invalid binding")
)

// Binding assigns a session to a version of a model.
type Binding struct {
	// Account is the client account that owns the session.
	Account string `json:"account"`
	// SessionID identifies the session. It is set by the caller or generated.
	SessionID string `json:"session_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	// Epoch is the manifest epoch under which the version was chosen.
	Epoch uint64 `json:"epoch"`
	// IssuedAt is when the token was issued or the row was last written, with
	// millisecond precision.
	IssuedAt time.Time `json:"issued_at"`
}

// Validate returns ErrInvalidBinding if the binding can't be stored in a token or
// a row.
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
			return fmt.Errorf("%w: %s has %d bytes, want at most %d", ErrInvalidBinding, f.name, len(f.value), maxFieldBytes)
		}
	}
	return nil
}

// sameSession reports whether two bindings have the same account, session and
// model.
func (b Binding) sameSession(other Binding) bool {
	return b.Account == other.Account && b.SessionID == other.SessionID && b.Model == other.Model
}
