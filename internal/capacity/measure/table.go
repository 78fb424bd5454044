package measure

import (
	"context"
	"sync/atomic"

	"github.com/quetzalweir/quetzalweir/platform"
	"github.com/quetzalweir/quetzalweir/platform/memory"
)

// table counts the calls of a table in memory, and the bytes of the keys and
// values that they move.
type table struct {
	memory                        *memory.Table
	gets, lists, commits, touched atomic.Int64
}

func newTable() *table { return &table{memory: memory.New()} }

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, key string) (platform.Row, error) {
	t.gets.Add(1)
	row, err := t.memory.Get(ctx, key)
	t.touched.Add(int64(len(row.Key) + len(row.Value)))
	return row, err
}

// List implements platform.Table.
func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.lists.Add(1)
	rows, err := t.memory.List(ctx, prefix, after, limit)
	for _, row := range rows {
		t.touched.Add(int64(len(row.Key) + len(row.Value)))
	}
	return rows, err
}

// Commit implements platform.Table.
func (t *table) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	t.commits.Add(1)
	for _, put := range txn.Puts {
		t.touched.Add(int64(len(put.Key) + len(put.Value)))
	}
	return t.memory.Commit(ctx, txn)
}

func (t *table) bytes() float64 { return float64(t.touched.Load()) }
