package exchange

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// keyRow is the row of the key, in a table of its own.
	keyRow = "hosts"
	// keyID names the key in the hosts' handshake.
	keyID = "installation"
	// keyTimeout bounds a call of the store for the key.
	keyTimeout = time.Second
	// keyDelay gives those that make the key time to do so when a whole
	// installation starts, which spares the others a second call.
	keyDelay = 300 * time.Millisecond
	// keyRetry is the time between two tries to read the key: nothing but the
	// exchange waits for it.
	keyRetry = time.Second
)

// errShortKey means that the row of the key holds something else.
var errShortKey = errors.New("exchange: the key is too short")

// sharedKey reads the hosts' common key, and makes it if it isn't there, or is none, and
// the host may. Whoever may read the store belongs to the installation, so hosts need
// no other secret. Of two hosts that make one at the same time, the second finds
// the first one's.
func sharedKey(ctx context.Context, table storage.Table, mayMake bool) (peer.Key, error) {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	row, err := table.Get(ctx, keyRow)
	unusable := err == nil && len(row.Value) < peer.MinSecretBytes
	if mayMake && (unusable || errors.Is(err, storage.ErrNotFound)) {
		secret := make([]byte, peer.MinSecretBytes)
		rand.Read(secret) // never fails: crypto/rand ends the process if there is no randomness
		if err := putKey(ctx, table, secret, row.Version); err != nil {
			return peer.Key{}, fmt.Errorf("exchange: make key: %w", err)
		}
		row, err = table.Get(ctx, keyRow)
	}
	if err != nil {
		return peer.Key{}, fmt.Errorf("exchange: read key: %w", err)
	}
	if len(row.Value) < peer.MinSecretBytes {
		return peer.Key{}, fmt.Errorf("exchange: read key: %w: %d bytes", errShortKey, len(row.Value))
	}
	return peer.Key{ID: keyID, Secret: row.Value}, nil
}

// putKey writes the key in place of the row's version, unless another host was first.
func putKey(ctx context.Context, table storage.Table, secret []byte, version uint64) error {
	_, err := table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: keyRow, Version: version}},
		Puts:       []storage.Put{{Key: keyRow, Value: secret}},
	})
	if errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return err
}

// keepKey writes the key again where the store came back from a copy that lacks it: a host
// that starts would make another one. The hosts that may make it do so.
func (m *Member) keepKey(ctx context.Context, key peer.Key) {
	if !slices.Contains(m.options.Seeds, m.options.Listen) {
		return
	}
	kept := m.era()
	wait.Every(ctx, keyRetry, func() {
		era := m.era()
		if era == kept {
			return
		}
		if err := m.writeKey(ctx, key); err != nil {
			m.log.Warn().Str("event", "key-unsaved").Uint64("era", era).Err(err).Msg("")
			return
		}
		kept = era
	})
}

// writeKey writes the key if no host has.
func (m *Member) writeKey(ctx context.Context, key peer.Key) error {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	row, err := m.options.Keys.Get(ctx, keyRow)
	switch {
	case err == nil && !bytes.Equal(row.Value, key.Secret):
		m.log.Error().Str("event", "key-differs").Uint64("revision", row.Version).Msg("")
		return nil
	case !errors.Is(err, storage.ErrNotFound):
		return err
	}
	return putKey(ctx, m.options.Keys, key.Secret, 0)
}

// era is the store's, as far as its tables tell.
func (m *Member) era() uint64 {
	newest := uint64(0)
	for _, w := range m.options.Tables {
		newest = max(newest, w.Revision().Era())
	}
	return newest
}

// key reads the hosts' common key until it is there; a host that may be a hub
// makes it.
func (m *Member) key(ctx context.Context) (peer.Key, error) {
	mayMake := slices.Contains(m.options.Seeds, m.options.Listen)
	if m.options.FirstStart && !mayMake {
		if err := wait.For(ctx, keyDelay); err != nil {
			return peer.Key{}, err
		}
	}
	for {
		key, err := sharedKey(ctx, m.options.Keys, mayMake)
		if err == nil {
			return key, nil
		}
		if !errors.Is(err, storage.ErrNotFound) {
			m.log.Warn().Str("event", "key-unknown").Err(err).Msg("")
		}
		if err := wait.For(ctx, keyRetry); err != nil {
			return peer.Key{}, err
		}
	}
}
