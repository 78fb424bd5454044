package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Store records the accepted manifests in the platform's table and their bodies in
// its object store. It has no state of its own and is safe for concurrent use; any
// number of Stores may use one table.
type Store struct {
	table   storage.Table
	objects storage.Objects
}

// NewStore returns a Store over a table and an object store.
func NewStore(table storage.Table, objects storage.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Head returns the newest accepted manifest, with epoch zero if there is none.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// readHead returns the head and the version of its row, zero if there is no row.
func (s *Store) readHead(ctx context.Context) (Head, uint64, error) {
	row, err := s.table.Get(ctx, headKey)
	if errors.Is(err, storage.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, fmt.Errorf("config: read head: %w", err)
	}
	head, err := decodeHead(row)
	return head, row.Version, err
}

func (s *Store) readEpoch(ctx context.Context, epoch uint64) (Head, error) {
	row, err := s.table.Get(ctx, epochKey(epoch))
	if err != nil {
		return Head{}, fmt.Errorf("config: read epoch %d: %w", epoch, err)
	}
	return decodeHead(row)
}

// History returns up to limit accepted heads with epochs above after, in
// ascending order.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]Head, error) {
	rows, err := s.table.List(ctx, epochPrefix, epochKey(after), limit)
	if err != nil {
		return nil, fmt.Errorf("config: list epochs: %w", err)
	}
	heads := make([]Head, len(rows))
	for i, row := range rows {
		if heads[i], err = decodeHead(row); err != nil {
			return nil, err
		}
	}
	return heads, nil
}

// wallTime returns the current time in UTC, without a monotonic clock reading.
func wallTime() time.Time { return time.Now().UTC().Round(0) }
