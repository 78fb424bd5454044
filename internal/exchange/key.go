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
	// keyRow is the row that holds the key, in a table of its own.
	keyRow = "hosts"
	// keyID is the key's ID in the handshake between hosts.
	keyID = "installation"
	// keyTimeout bounds one read or creation of the key in the store.
	keyTimeout = time.Second
	// keyDelay is how long other hosts wait before they read the key when a whole installation
	// starts. The seeds create it meanwhile, which saves the others a second call.
	keyDelay = 300 * time.Millisecond
	// keyRetry is the time between two attempts to read the key. Only the exchange depends on
	// it.
	keyRetry = time.Second
)

// errShortKey means that the key's row doesn't hold a usable key.
var errShortKey = errors.New("exchange: the key is too short")

// sharedKey reads the hosts' common key. If it is missing or unusable, and mayMake is set,
// sharedKey creates it. Every host with access to the store belongs to the installation, so
// hosts need no other shared secret. If two hosts create the key at the same time, the second
// one uses the first one's.
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

// restoreKey writes the key again after the store was restored from a backup that lacks it.
// Otherwise a host that starts would create a different one. Only the seeds do so.
func (m *Member) restoreKey(ctx context.Context, key peer.Key) {
	if !slices.Contains(m.options.Seeds, m.options.Listen) {
		return
	}
	writtenEra := m.storeEra()
	wait.Every(ctx, keyRetry, func() {
		era := m.storeEra()
		if era == writtenEra {
			return
		}
		if err := m.writeKey(ctx, key); err != nil {
			m.log.Warn().Str("event", "key-unsaved").Uint64("era", era).Err(err).Msg("")
			return
		}
		writtenEra = era
	})
}

// writeKey writes the key if the row is missing.
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

// storeEra returns the newest era of the store among its tables' revisions.
func (m *Member) storeEra() uint64 {
	newest := uint64(0)
	for _, w := range m.options.Tables {
		newest = max(newest, w.Revision().Era())
	}
	return newest
}

// awaitKey reads the hosts' common key, and retries until it exists. A seed creates it.
func (m *Member) awaitKey(ctx context.Context) (peer.Key, error) {
	mayCreate := slices.Contains(m.options.Seeds, m.options.Listen)
	if m.options.FirstStart && !mayCreate {
		if err := wait.For(ctx, keyDelay); err != nil {
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
		if err := wait.For(ctx, keyRetry); err != nil {
			return peer.Key{}, err
		}
	}
}
