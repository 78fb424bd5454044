package measure

import (
	"context"
	"sync/atomic"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// table counts the calls of a table in memory, and the bytes of the keys and
// values that they move.
type table struct {
	memory                        *memory.Table
	gets, lists, commits, touched atomic.Int64
}

func newTable() *table { return &table{memory: memory.New()} }

// Get implements storage.Table.
func (t *table) Get(ctx context.Context, key string) (storage.Row, error) {
	t.gets.Add(1)
	row, err := t.memory.Get(ctx, key)
	t.touched.Add(int64(len(row.Key) + len(row.Value)))
	return row, err
}

// List implements storage.Table.
func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.lists.Add(1)
	rows, err := t.memory.List(ctx, prefix, after, limit)
	for _, row := range rows {
		t.touched.Add(int64(len(row.Key) + len(row.Value)))
	}
	return rows, err
}

// Commit implements storage.Table.
func (t *table) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	t.commits.Add(1)
	for _, put := range txn.Puts {
		t.touched.Add(int64(len(put.Key) + len(put.Value)))
	}
	return t.memory.Commit(ctx, txn)
}

func (t *table) bytes() float64 { return float64(t.touched.Load()) }
