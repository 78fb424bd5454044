package membership

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxFactKey and MaxFactValue are the maximum sizes of a key and a value in
	// bytes.
	MaxFactKey   = 128
	MaxFactValue = 512
)

// Errors of Put.
var (
	// ErrInvalidFact is returned for a fact with an invalid field.
	ErrInvalidFact = errors.New("membership: invalid fact")
	// ErrStale is returned if an equal or higher version is stored.
	ErrStale = errors.New("membership: fact is stale")
	// ErrFull is returned if the number of facts has reached its maximum.
	ErrFull = errors.New("membership: too many facts")
)

// Fact is a small versioned key-value record that is replicated to all hosts. For
// each key, hosts store the fact with the highest version. Of two values with the
// same version they store the lexicographically greater one, so that all hosts
// converge.
type Fact struct {
	Key string `json:"k"`
	// Version is at least 1.
	Version uint64 `json:"v"`
	// Value is at most MaxFactValue bytes.
	Value []byte `json:"d,omitempty"`
	// TTL is the remaining lifetime, in nanoseconds on the wire; zero means
	// unlimited, and a negative value that the fact has expired. It is relative,
	// so it doesn't depend on synchronized clocks.
	TTL time.Duration `json:"t,omitempty"`
	// Lazy facts are sent with regular exchanges only and aren't pushed.
	Lazy bool `json:"z,omitempty"`
}

// expiredTTL is the TTL of an expired fact.
const expiredTTL time.Duration = -1

// Expired reports whether the fact has expired. An expired fact has no value.
func (f Fact) Expired() bool { return f.TTL < 0 }

func (f Fact) check() error {
	switch {
	case f.Key == "" || len(f.Key) > MaxFactKey:
		return fmt.Errorf("%w: key of %d bytes", ErrInvalidFact, len(f.Key))
	case len(f.Value) > MaxFactValue:
		return fmt.Errorf("%w: value of %d bytes", ErrInvalidFact, len(f.Value))
	case f.Version == 0:
		return fmt.Errorf("%w: version 0", ErrInvalidFact)
	}
	return nil
}

// compareFacts orders the facts of one key by precedence: the greater one overrides
// the other. An expired fact overrides one of the same version that hasn't expired.
func compareFacts(a, b Fact) int {
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	if a.Expired() != b.Expired() {
		if a.Expired() {
			return 1
		}
		return -1
	}
	return bytes.Compare(a.Value, b.Value)
}
