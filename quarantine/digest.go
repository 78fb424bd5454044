package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
)

// Digest names a request by its content: the first 16 bytes of a SHA-256. Nobody can make
// a request with the digest of another account's, since the account is part of it.
type Digest [16]byte

// Content is what makes two requests the same one.
type Content struct {
	// Host, Method and Target are the request's as the caller sent them.
	Host   string
	Method string
	Target string
	// Account is the client account's name.
	Account string
	Body    []byte
}

// Digest is the content's digest.
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

// String is the digest in hexadecimal, as logs and the store have it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero says whether no digest was taken.
func (d Digest) IsZero() bool { return d == Digest{} }

// errDigest means that a text isn't a digest.
var errDigest = errors.New("quarantine: not a digest")

// ParseDigest reads what String wrote.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(d) {
		return Digest{}, fmt.Errorf("%w: %q", errDigest, text)
	}
	copy(d[:], decoded)
	return d, nil
}
