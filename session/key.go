package session

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

const (
	// MinSecretBytes is the minimum length of a signing secret.
	MinSecretBytes = 32
	// maxKeyIDBytes is the maximum length of a key ID, which is part of each
	// token.
	maxKeyIDBytes = 32
)

// ErrInvalidKey means that a signing key is malformed or missing. The error text
// never contains any part of a secret.
var ErrInvalidKey = errors.New("session: invalid key")

// Key is a signing key for tokens.
type Key struct {
	// ID is stored in the token as plain text.
	ID string
	// Secret has at least MinSecretBytes bytes.
	Secret []byte
}

// String returns only the ID, so that logging a key doesn't reveal its secret.
func (k Key) String() string {
	return k.ID
}

// GoString omits the secret from the output of the %#v verb.
func (k Key) GoString() string {
	return "session.Key{ID:" + k.ID + "}"
}

// ParseKeys parses keys of the form "id:hex,id:hex". The first key signs tokens,
// and all keys verify them.
func ParseKeys(s string) ([]Key, error) {
	var keys []Key
	for i, part := range strings.Split(s, ",") {
		key, err := parseKey(strings.TrimSpace(part))
		if err != nil {
			return nil, fmt.Errorf("key %d: %w", i+1, err)
		}
		keys = append(keys, key)
	}
	if err := checkKeys(keys); err != nil {
		return nil, err
	}
	return keys, nil
}

func parseKey(s string) (Key, error) {
	id, text, found := strings.Cut(s, ":")
	if !found {
		return Key{}, fmt.Errorf("%w: not of the form id:hex", ErrInvalidKey)
	}
	secret, err := hex.DecodeString(text)
	if err != nil {
		// The decoder's error quotes a byte of the secret, so it isn't wrapped.
		return Key{}, fmt.Errorf("%w: secret isn't hexadecimal", ErrInvalidKey)
	}
	return Key{ID: id, Secret: secret}, nil
}

func checkKeys(keys []Key) error {
	if len(keys) == 0 {
		return fmt.Errorf("%w: no key", ErrInvalidKey)
	}
	seen := make(map[string]bool, len(keys))
	for i, k := range keys {
		switch {
		case k.ID == "" || len(k.ID) > maxKeyIDBytes:
			return fmt.Errorf("%w: key %d: ID must have 1 to %d bytes", ErrInvalidKey, i+1, maxKeyIDBytes)
		case len(k.Secret) < MinSecretBytes:
			return fmt.Errorf("%w: key %d: secret has %d bytes, want at least %d", ErrInvalidKey, i+1, len(k.Secret), MinSecretBytes)
		case seen[k.ID]:
			return fmt.Errorf("%w: key %d: duplicate ID", ErrInvalidKey, i+1)
		}
		seen[k.ID] = true
	}
	return nil
}
