package peer

import "fmt"

const (
	// MinSecretBytes is the minimum length of a secret. Anyone who sends a hello
	// receives a MAC that depends on the secret, and can check guesses of the secret
	// against this MAC offline. The secret must therefore be random and long.
	MinSecretBytes = 32
	// MaxKeys is the maximum number of keys that are valid at the same time.
	MaxKeys = 8
	// MaxNameBytes is the maximum length of a key id or host id.
	MaxNameBytes = 64
)

// Key is a secret shared by the entry hosts. Several keys can be valid at the same
// time, so that a key can be rotated without interruption: the new key is added on
// all hosts, and then the old one is removed.
type Key struct {
	// ID identifies the key on the wire. It is not secret.
	ID string
	// Secret is random and at least MinSecretBytes long.
	Secret []byte
}

// String returns the key's id; the secret is never printed.
func (k Key) String() string { return "key " + k.ID }

// GoString returns the same as String, so that %#v doesn't print the secret.
func (k Key) GoString() string { return k.String() }

// validateIdentity checks a host id and its keys.
func validateIdentity(self string, keys []Key) error {
	if err := validateName(self); err != nil {
		return fmt.Errorf("%w: host id: %w", ErrOptions, err)
	}
	if len(keys) == 0 || len(keys) > MaxKeys {
		return fmt.Errorf("%w: %d keys, want 1 to %d", ErrOptions, len(keys), MaxKeys)
	}
	for _, key := range keys {
		if err := validateName(key.ID); err != nil {
			return fmt.Errorf("%w: key id: %w", ErrOptions, err)
		}
		if len(key.Secret) < MinSecretBytes {
			return fmt.Errorf("%w: %v: secret is shorter than %d bytes", ErrOptions, key, MinSecretBytes)
		}
	}
	return nil
}

func validateName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%w: name of %d bytes, want 1 to %d", ErrMalformed, len(name), MaxNameBytes)
	}
	return nil
}

// findKey returns the key for the first offered id that is in keys.
func findKey(keys []Key, offered []string) (Key, bool) {
	for _, id := range offered {
		for _, key := range keys {
			if key.ID == id {
				return key, true
			}
		}
	}
	return Key{}, false
}
