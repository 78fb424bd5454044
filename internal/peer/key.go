package peer

import "fmt"

const (
	// MinSecretBytes is the shortest secret that is accepted: a hello lets
	// anyone test guesses of the secret offline, so it must be random and long.
	MinSecretBytes = 32
	// MaxKeys is the largest number of keys that are valid at once.
	MaxKeys = 8
	// MaxNameBytes is the longest key id and host id.
	MaxNameBytes = 64
)

// Key is a secret that entry hosts share. Several are valid at once, so that a
// key is replaced without a cut: the new one is added on all hosts, then the
// old one is removed.
type Key struct {
	// ID names the key on the wire. It is not secret.
	ID string
	// Secret is random, at least MinSecretBytes long.
	Secret []byte
}

// String returns the key's id; the secret is never printed.
func (k Key) String() string { return "key " + k.ID }

// GoString is the same as String, so that %#v doesn't print the secret.
func (k Key) GoString() string { return k.String() }

// checkIdentity checks a host id and its keys.
func checkIdentity(self string, keys []Key) error {
	if err := checkName(self); err != nil {
		return fmt.Errorf("%w: host id: %w", ErrOptions, err)
	}
	if len(keys) == 0 || len(keys) > MaxKeys {
		return fmt.Errorf("%w: %d keys, want 1 to %d", ErrOptions, len(keys), MaxKeys)
	}
	for _, key := range keys {
		if err := checkName(key.ID); err != nil {
			return fmt.Errorf("%w: key id: %w", ErrOptions, err)
		}
		if len(key.Secret) < MinSecretBytes {
			return fmt.Errorf("%w: %v: secret under %d bytes", ErrOptions, key, MinSecretBytes)
		}
	}
	return nil
}

func checkName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%w: name of %d bytes, want 1 to %d", ErrMalformed, len(name), MaxNameBytes)
	}
	return nil
}

// findKey returns the first key of keys, in the order of the offered ids.
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
