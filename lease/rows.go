package lease

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/storage"
)

// row is a lease's row as read from the table. Version 0 means that the row is
// absent.
type row struct {
	record
	version uint64
}

// rowStore reads and writes lease rows.
type rowStore struct {
	table storage.Table
}

func (r rowStore) read(ctx context.Context, name string) (row, error) {
	found, err := r.table.Get(ctx, rowPrefix+name)
	if errors.Is(err, storage.ErrNotFound) {
		return row{}, nil
	}
	if err != nil {
		return row{}, err
	}
	rec, err := decodeRecord(found.Value)
	return row{record: rec, version: found.Version}, err
}

// write stores rec if the row has the given version, and returns the row's new
// version. If the outcome of the commit is unknown, write reads the row to
// determine the outcome.
func (r rowStore) write(ctx context.Context, name string, rec record, version uint64) (uint64, error) {
	value, err := rec.encode()
	if err != nil {
		return 0, err
	}
	key := rowPrefix + name
	revision, err := r.table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if err == nil || errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrConflict) {
		return revision, err
	}
	found, readErr := r.read(ctx, name)
	if readErr != nil {
		return 0, err
	}
	if found.isSameWrite(rec) {
		return found.version, nil
	}
	return 0, err
}
