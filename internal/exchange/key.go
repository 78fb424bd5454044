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
	// keyRow is the row that holds the key. Its table has no other row.
	keyRow = "hosts"
	// keyID is the key's ID in the handshake between hosts.
	keyID = "installation"
	// keyTimeout bounds one read or creation of the key in the store.
	keyTimeout = time.Second
	// keyReadDelay is how long hosts other than seeds wait before they read the key when a
	// whole installation starts. The seeds create the key meanwhile, which saves the other
	// hosts a second call.
	keyReadDelay = 300 * time.Millisecond
	// keyRetryInterval is the time between two attempts to read the key, and between two checks
	// whether a seed must write it again. Only the exchange depends on the key.
	keyRetryInterval = time.Second
)

// errShortKey means that the key's row doesn't hold a usable key.
var errShortKey = errors.New("exchange: the key is too short")

// sharedKey reads the hosts' common key. If the key is missing or unusable and mayCreate is
// set, it creates one. Every host with access to the store belongs to the installation, so
// hosts need no other shared secret. If two hosts create the key at the same time, both use the
// one that was written first.
func sharedKey(ctx context.Context, table storage.Table, mayCreate bool) (peer.Key, error) {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	row, err := table.Get(ctx, keyRow)
	unusable := err == nil && len(row.Value) < peer.MinSecretBytes
	if mayCreate && (unusable || errors.Is(err, storage.ErrNotFound)) {
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

// putKey writes the key unless the row's version has changed, which means that another host
// wrote it first.
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

// restoreKey writes the key again whenever the store was restored from a backup that lacks it,
// until the context ends. Otherwise the next host that starts would create a different key.
// Only seeds restore it.
func (m *Member) restoreKey(ctx context.Context, key peer.Key) {
	if !slices.Contains(m.options.Seeds, m.options.Listen) {
		return
	}
	writtenEra := m.storeEra()
	wait.Every(ctx, keyRetryInterval, func() {
		era := m.storeEra()
		if era == writtenEra {
			return
		}
		if err := m.writeKeyIfMissing(ctx, key); err != nil {
			m.log.Warn().Str("event", "key-unsaved").Uint64("era", era).Err(err).Msg("")
			return
		}
		writtenEra = era
	})
}

// writeKeyIfMissing writes the key unless the row exists, and logs a row with another key.
func (m *Member) writeKeyIfMissing(ctx context.Context, key peer.Key) error {
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

// storeEra returns the newest era among the revisions of the store's tables.
func (m *Member) storeEra() uint64 {
	newest := uint64(0)
	for _, w := range m.options.Tables {
		newest = max(newest, w.Revision().Era())
	}
	return newest
}

// awaitKey reads the hosts' common key, and retries until it has been read or the context ends.
// A seed creates the key if it is missing.
func (m *Member) awaitKey(ctx context.Context) (peer.Key, error) {
	mayCreate := slices.Contains(m.options.Seeds, m.options.Listen)
	if m.options.FirstStart && !mayCreate {
		if err := wait.For(ctx, keyReadDelay); err != nil {
			return peer.Key{}, err
		}
	}
	for {
		key, err := sharedKey(ctx, m.options.Keys, mayCreate)
		if err == nil {
			return key, nil
		}
		if !errors.Is(err, storage.ErrNotFound) {
			m.log.Warn().Str("event", "key-unknown").Err(err).Msg("")
		}
		if err := wait.For(ctx, keyRetryInterval); err != nil {
			return peer.Key{}, err
		}
	}
}
