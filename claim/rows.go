package claim

import (
	"context"

	"github.com/quetzalweir/quetzalweir/storage"
)

// row is a claim's row as read from the table.
type row struct {
	record
	// version is the row's version; zero if the row is absent.
	version uint64
}

// rows reads and writes claim rows.
type rows struct {
	table storage.Table
}

// read returns the row of key; an absent one gives storage.ErrNotFound.
func (r rows) read(ctx context.Context, key Key) (row, error) {
	found, err := r.table.Get(ctx, key.row())
	if err != nil {
		return row{}, err
	}
	rec, err := decodeRecord(found.Value)
	return row{record: rec, version: found.Version}, err
}

// write puts rec if its row still has the version; zero stands for absent.
func (r rows) write(ctx context.Context, rec record, version uint64) (uint64, error) {
	value, err := rec.encode()
	if err != nil {
		return 0, err
	}
	key := rec.row()
	return r.table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
}
