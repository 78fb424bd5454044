package claim

import (
	"context"

	"github.com/quetzalweir/quetzalweir/storage"
)

// row is a claim's row as read from the table.
type row struct {
	record
	// version is the version of the row; 0 if the row is absent.
	version uint64
}

// rowStore reads and writes claim rows.
type rowStore struct {
	table storage.Table
}

// read returns the row of key, or storage.ErrNotFound if it is absent.
func (r rowStore) read(ctx context.Context, key Key) (row, error) {
	found, err := r.table.Get(ctx, key.rowKey())
	if err != nil {
		return row{}, err
	}
	rec, err := decodeRecord(found.Value)
	return row{record: rec, version: found.Version}, err
}

// write stores rec if its row has the given version, where 0 means that the row is
// absent. It returns the row's new version.
func (r rowStore) write(ctx context.Context, rec record, version uint64) (uint64, error) {
	value, err := rec.encode()
	if err != nil {
		return 0, err
	}
	key := rec.rowKey()
	return r.table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
}
