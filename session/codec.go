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
	// tokenFormat is the first byte of each token.
	tokenFormat = 1
	// macBytes is the length of the truncated HMAC-SHA256, 128 bits.
	macBytes = 16
	// maxTokenChars bounds the text of a token: the fields, the key's id,
	// their lengths, two numbers and the MAC, in base64.
	maxTokenChars = (4*(maxFieldBytes+2) + maxKeyIDBytes + 2*binary.MaxVarintLen64 + macBytes + 2 + 2) * 4 / 3
)

// encoding is strict, so that exactly one text stands for a token.
var encoding = base64.RawURLEncoding.Strict()

// Codec mints and opens tokens. It is safe for concurrent use.
type Codec struct {
	ttl   atomic.Int64 // nanoseconds
	clock storage.Clock
	keys  atomic.Pointer[keyring]
}

// keyring is an immutable set of keys.
type keyring struct {
	signer Key
	byID   map[string]Key
}

// NewCodec returns a codec whose tokens are valid for ttl after they were
// minted. The first key signs and all verify; a nil clock means time.Now. It
// panics on keys that ParseKeys would refuse.
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

// SetTTL changes how long tokens are valid, for those minted before as well.
func (c *Codec) SetTTL(ttl time.Duration) { c.ttl.Store(int64(ttl)) }

// Rotate replaces the keys at once for all later calls. To rotate without a
// cut, hand all hosts the new key in second place, then in first, and drop
// the old one a time to live later. Refused keys leave the old ones in force.
func (c *Codec) Rotate(keys []Key) error {
	if err := checkKeys(keys); err != nil {
		return err
	}
	ring := &keyring{signer: keys[0], byID: make(map[string]Key, len(keys))}
	for _, k := range keys {
		ring.byID[k.ID] = k
	}
	c.keys.Store(ring)
	return nil
}

// Mint returns the token of a binding. A zero IssuedAt means now. It returns
// the empty string for a binding that Validate refuses.
func (c *Codec) Mint(b Binding) string {
	if b.Validate() != nil {
		return ""
	}
	if b.IssuedAt.IsZero() {
		b.IssuedAt = c.clock()
	}
	signer := c.keys.Load().signer
	raw := make([]byte, 0, 128)
	raw = append(raw, tokenFormat)
	raw = appendField(raw, signer.ID)
	raw = appendField(raw, b.Account)
	raw = appendField(raw, b.SessionID)
	raw = appendField(raw, b.Model)
	raw = appendField(raw, b.Version)
	raw = binary.AppendUvarint(raw, b.Epoch)
	raw = binary.AppendVarint(raw, b.IssuedAt.UnixMilli())
	raw = append(raw, mac(signer.Secret, raw)...)
	return encoding.EncodeToString(raw)
}

// Open checks a token and returns its binding. Any failure is exactly one of
// ErrMalformed, ErrUnknownKey, ErrOtherAccount and ErrExpired.
func (c *Codec) Open(token, account string) (Binding, error) {
	if len(token) > maxTokenChars {
		return Binding{}, ErrMalformed
	}
	raw, err := encoding.DecodeString(token)
	if err != nil || len(raw) < 1+macBytes || raw[0] != tokenFormat {
		return Binding{}, ErrMalformed
	}
	signed, sum := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	r := reader{rest: signed[1:]}
	keyID := r.field()
	if r.failed {
		return Binding{}, ErrMalformed
	}
	key, known := c.keys.Load().byID[keyID]
	if !known {
		return Binding{}, ErrUnknownKey
	}
	if !hmac.Equal(sum, mac(key.Secret, signed)) {
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

// expired tolerates issuers whose clock is ahead, up to the time to live, so
// that clock skew between hosts doesn't end sessions.
func (c *Codec) expired(issued time.Time) bool {
	return c.clock().Sub(issued).Abs() > time.Duration(c.ttl.Load())
}

func mac(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

// appendField appends a length byte and the text; Validate and checkKeys keep
// the length within a byte.
func appendField(dst []byte, s string) []byte {
	dst = append(dst, byte(len(s)))
	return append(dst, s...)
}

// reader takes fields off a token; after a failure it returns zero values.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) field() string {
	if len(r.rest) < 1 || len(r.rest) < 1+int(r.rest[0]) {
		r.failed = true
		return ""
	}
	end := 1 + int(r.rest[0])
	s := string(r.rest[1:end])
	r.rest = r.rest[end:]
	return s
}

func (r *reader) uvarint() uint64 { return number(r, binary.Uvarint) }

func (r *reader) varint() int64 { return number(r, binary.Varint) }

// number reads a number whose decoder returns its value and its length; no
// length above zero means that it is cut or too long.
func number[T uint64 | int64](r *reader, decode func([]byte) (T, int)) T {
	v, n := decode(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) binding() (Binding, bool) {
	b := Binding{
		Account:   r.field(),
		SessionID: r.field(),
		Model:     r.field(),
		Version:   r.field(),
		Epoch:     r.uvarint(),
		IssuedAt:  time.UnixMilli(r.varint()).UTC(),
	}
	return b, !r.failed && len(r.rest) == 0
}
