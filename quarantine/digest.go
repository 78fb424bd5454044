package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
)

// Digest identifies a request by its content: the first 16 bytes of a SHA-256. The account is
// part of the content, so that nobody can craft a request with the digest of another account's.
type Digest [16]byte

// Content holds what identifies a request: requests with equal contents count as the same one.
type Content struct {
	// Host, Method and Target are as sent by the caller.
	Host   string
	Method string
	Target string
	// Account is the client account's name.
	Account string
	Body    []byte
}

// Digest returns the content's digest.
func (c *Content) Digest() Digest {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(c.Host), []byte(c.Method), []byte(c.Target), []byte(c.Account), c.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// String returns the digest in hexadecimal, the form used in logs and in the store.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// errInvalidDigest means that a text isn't a digest.
var errInvalidDigest = errors.New("quarantine: not a digest")

// ParseDigest parses the output of String.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(d) {
		return Digest{}, fmt.Errorf("%w: %q", errInvalidDigest, text)
	}
	copy(d[:], decoded)
	return d, nil
}
