package membership

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxFactKey and MaxFactValue are the largest key and value in bytes.
	MaxFactKey   = 128
	MaxFactValue = 512
)

// Errors of Put.
var (
	// ErrInvalidFact means that a field is out of its bounds.
	ErrInvalidFact = errors.New("membership: invalid fact")
	// ErrStale means that an equal or higher version is known.
	ErrStale = errors.New("membership: fact is stale")
	// ErrFull means that the number of facts is at its bound.
	ErrFull = errors.New("membership: too many facts")
)

// Fact is a small versioned record that all hosts get to know. The highest
// version of a key wins; of two values with one version the greater wins, so
// that all hosts agree.
type Fact struct {
	Key string `json:"k"`
	// Version is at least 1.
	Version uint64 `json:"v"`
	// Value is at most MaxFactValue bytes.
	Value []byte `json:"d,omitempty"`
	// TTL is the lifetime that remains, in nanoseconds on the wire; zero is
	// without end. It is relative, so clocks needn't agree.
	TTL time.Duration `json:"t,omitempty"`
	// Lazy facts travel only with the regular exchanges, not at once.
	Lazy bool `json:"z,omitempty"`
}

// expiredTTL marks a fact whose lifetime has ended.
const expiredTTL time.Duration = -1

// Expired says that the fact's lifetime has ended; its value is gone.
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

// compareFacts orders the facts of one key by precedence. An expired fact
// overrides a live one of the same version.
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
