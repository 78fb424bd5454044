package session

import (
	"context"
	"encoding/json"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// sweepPage is the maximum number of rows that one Sweep call reads.
const sweepPage = 200

// Sweep reads one page of rows with keys greater than after and deletes the
// expired ones. It returns the key to continue from, which is empty at the end,
// and the number of deleted rows. Hosts may sweep concurrently: a row is deleted
// only if it still has the version that was read, so a row that a concurrent use
// extends is kept.
func (r *Registry) Sweep(ctx context.Context, after string) (next string, deleted int, err error) {
	rows, err := r.opts.Table.List(ctx, rowPrefix, after, sweepPage)
	if err != nil {
		return after, 0, err
	}
	txn := r.expiredRowsTxn(rows)
	if len(rows) == sweepPage {
		next = rows[len(rows)-1].Key
	}
	if len(txn.Deletes) == 0 {
		return next, 0, nil
	}
	if _, err := r.opts.Table.Commit(ctx, txn); err != nil {
		return next, 0, err
	}
	return next, len(txn.Deletes), nil
}

// Run sweeps one page per interval until ctx ends. Errors are ignored: the rows
// of a failed page are read again in the next pass.
func (r *Registry) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			after, _, _ = r.Sweep(ctx, after)
		}
	}
}

func (r *Registry) expiredRowsTxn(rows []storage.Row) storage.Txn {
	var txn storage.Txn
	now := r.opts.Clock()
	for _, row := range rows {
		var value record
		if json.Unmarshal(row.Value, &value) != nil || !value.expired(now) {
			continue
		}
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	return txn
}
