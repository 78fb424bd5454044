package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// tokenFormat is the format version, the first byte of each token.
	tokenFormat = 1
	// macBytes is the length of the truncated HMAC-SHA256: 128 bits.
	macBytes = 16
	// maxTokenChars is the maximum length of an encoded token: the fields, the
	// key ID, their length bytes, two varints and the MAC, in base64.
	maxTokenChars = (4*(maxFieldBytes+2) + maxKeyIDBytes + 2*binary.MaxVarintLen64 + macBytes + 2 + 2) * 4 / 3
)

// tokenEncoding is strict, so that each token has exactly one encoded form.
var tokenEncoding = base64.RawURLEncoding.Strict()

// Codec creates and verifies signed session tokens. It is safe for concurrent
// use.
type Codec struct {
	ttl   atomic.Int64 // lifetime of tokens, in nanoseconds
	clock storage.Clock
	keys  atomic.Pointer[keyring]
}

// keyring is an immutable set of keys.
type keyring struct {
	signingKey Key
	byID       map[string]Key
}

// NewCodec returns a Codec whose tokens are valid for ttl after they are
// issued. The first key signs, and all keys verify. A nil clock means time.Now.
// NewCodec panics if the keys don't meet the requirements of ParseKeys.
func NewCodec(keys []Key, ttl time.Duration, clock storage.Clock) *Codec {
	if clock == nil {
		clock = time.Now
	}
	c := &Codec{clock: clock}
	c.SetTTL(ttl)
	if err := c.Rotate(keys); err != nil {
		panic(err)
	}
	return c
}

// SetTTL sets the lifetime of tokens, including those already issued.
func (c *Codec) SetTTL(ttl time.Duration) { c.ttl.Store(int64(ttl)) }

// Rotate atomically replaces the keys for all later calls. To rotate without
// invalidating tokens, add the new key to all hosts in second position, then
// move it to the first position, and remove the old key one TTL later. If the new
// keys are invalid, the old keys stay in use.
func (c *Codec) Rotate(keys []Key) error {
	if err := checkKeys(keys); err != nil {
		return err
	}
	ring := &keyring{signingKey: keys[0], byID: make(map[string]Key, len(keys))}
	for _, k := range keys {
		ring.byID[k.ID] = k
	}
	c.keys.Store(ring)
	return nil
}

// Mint returns a signed token for a binding. A zero IssuedAt means now. Mint
// returns the empty string if the binding isn't valid.
func (c *Codec) Mint(b Binding) string {
	if b.Validate() != nil {
		return ""
	}
	if b.IssuedAt.IsZero() {
		b.IssuedAt = c.clock()
	}
	signer := c.keys.Load().signingKey
	raw := make([]byte, 0, 128)
	raw = append(raw, tokenFormat)
	raw = appendField(raw, signer.ID)
	raw = appendField(raw, b.Account)
	raw = appendField(raw, b.SessionID)
	raw = appendField(raw, b.Model)
	raw = appendField(raw, b.Version)
	raw = binary.AppendUvarint(raw, b.Epoch)
	raw = binary.AppendVarint(raw, b.IssuedAt.UnixMilli())
	raw = append(raw, computeMAC(signer.Secret, raw)...)
	return tokenEncoding.EncodeToString(raw)
}

// Verify verifies a token of the account and returns its binding. The error is
// exactly one of ErrMalformed, ErrUnknownKey, ErrOtherAccount and ErrExpired.
func (c *Codec) Verify(token, account string) (Binding, error) {
	if len(token) > maxTokenChars {
		return Binding{}, ErrMalformed
	}
	raw, err := tokenEncoding.DecodeString(token)
	if err != nil || len(raw) < 1+macBytes || raw[0] != tokenFormat {
		return Binding{}, ErrMalformed
	}
	signed, tokenMAC := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	r := tokenReader{remaining: signed[1:]}
	keyID := r.field()
	if r.failed {
		return Binding{}, ErrMalformed
	}
	key, known := c.keys.Load().byID[keyID]
	if !known {
		return Binding{}, ErrUnknownKey
	}
	if !hmac.Equal(tokenMAC, computeMAC(key.Secret, signed)) {
		return Binding{}, ErrMalformed
	}
	b, ok := r.binding()
	if !ok {
		return Binding{}, ErrMalformed
	}
	if b.Account != account {
		return Binding{}, ErrOtherAccount
	}
	if c.expired(b.IssuedAt) {
		return Binding{}, ErrExpired
	}
	return b, nil
}

// expired reports whether the issue time of a token is more than one TTL away from
// the current time. It may be up to one TTL in the future, so that clock skew
// between hosts doesn't end sessions.
func (c *Codec) expired(issued time.Time) bool {
	return c.clock().Sub(issued).Abs() > time.Duration(c.ttl.Load())
}

func computeMAC(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

// appendField appends a length byte and s. Validate and checkKeys guarantee
// that the length fits in a byte.
func appendField(dst []byte, s string) []byte {
	dst = append(dst, byte(len(s)))
	return append(dst, s...)
}

// tokenReader decodes the fields of a token in order. After a failure it returns
// zero values.
type tokenReader struct {
	remaining []byte
	failed    bool
}

func (r *tokenReader) field() string {
	if len(r.remaining) < 1 || len(r.remaining) < 1+int(r.remaining[0]) {
		r.failed = true
		return ""
	}
	end := 1 + int(r.remaining[0])
	s := string(r.remaining[1:end])
	r.remaining = r.remaining[end:]
	return s
}

func (r *tokenReader) uvarint() uint64 { return readNumber(r, binary.Uvarint) }

func (r *tokenReader) varint() int64 { return readNumber(r, binary.Varint) }

// readNumber reads a varint. The decoder returns the value and its length, which
// is 0 or negative if the number is truncated or overflows.
func readNumber[T uint64 | int64](r *tokenReader, decode func([]byte) (T, int)) T {
	v, n := decode(r.remaining)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.remaining = r.remaining[n:]
	return v
}

func (r *tokenReader) binding() (Binding, bool) {
	b := Binding{
		Account:   r.field(),
		SessionID: r.field(),
		Model:     r.field(),
		Version:   r.field(),
		Epoch:     r.uvarint(),
		IssuedAt:  time.UnixMilli(r.varint()).UTC(),
	}
	return b, !r.failed && len(r.remaining) == 0
}
