package memory

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.Table = (*Table)(nil)

// Table is a linearizable transactional table. One lock orders all calls: each
// takes effect at one moment between its start and its return.
type Table struct {
	mu       sync.RWMutex
	revision uint64
	rows     map[string]storage.Row
	// keys holds the keys of rows in ascending order.
	keys []string
}

// NewTable returns an empty table at revision zero.
func NewTable() *Table {
	return &Table{rows: make(map[string]storage.Row)}
}

// Get implements storage.Table. The caller owns the returned value.
func (t *Table) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := checkContext(ctx); err != nil {
		return storage.Row{}, err
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[key]
	if !ok {
		return storage.Row{}, fmt.Errorf("get %q: %w", key, storage.ErrNotFound)
	}
	return copyRow(row), nil
}

// List implements storage.Table. It returns no rows for a limit of zero or less.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if err := checkContext(ctx); err != nil {
		return nil, err
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var rows []storage.Row
	for _, key := range t.keys[t.firstIndex(prefix, after):] {
		if len(rows) >= limit || !strings.HasPrefix(key, prefix) {
			break
		}
		rows = append(rows, copyRow(t.rows[key]))
	}
	return rows, nil
}

// firstIndex returns the index of the first key that is above after and not
// below prefix.
func (t *Table) firstIndex(prefix, after string) int {
	if after < prefix {
		i, _ := slices.BinarySearch(t.keys, prefix)
		return i
	}
	i, found := slices.BinarySearch(t.keys, after)
	if found {
		i++
	}
	return i
}

// Commit implements storage.Table. Puts are applied in their order, then
// deletes. Each successful commit gets a new revision.
func (t *Table) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	if err := checkContext(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkConditions(txn.Conditions); err != nil {
		return 0, err
	}
	t.revision++
	for _, put := range txn.Puts {
		t.put(put)
	}
	for _, key := range txn.Deletes {
		t.remove(key)
	}
	return t.revision, nil
}

func (t *Table) checkConditions(conditions []storage.Condition) error {
	for _, c := range conditions {
		// An absent row has version zero, which is how a condition requires
		// absence.
		version := t.rows[c.Key].Version
		if version != c.Version {
			return fmt.Errorf("commit: %q has version %d, want %d: %w", c.Key, version, c.Version, storage.ErrConflict)
		}
	}
	return nil
}

func (t *Table) put(put storage.Put) {
	i, found := slices.BinarySearch(t.keys, put.Key)
	if !found {
		t.keys = slices.Insert(t.keys, i, put.Key)
	}
	t.rows[put.Key] = storage.Row{
		Key:     put.Key,
		Value:   bytes.Clone(put.Value),
		Version: t.revision,
	}
}

func (t *Table) remove(key string) {
	i, found := slices.BinarySearch(t.keys, key)
	if !found {
		return
	}
	t.keys = slices.Delete(t.keys, i, i+1)
	delete(t.rows, key)
}

func copyRow(row storage.Row) storage.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
