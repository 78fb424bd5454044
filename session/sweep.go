package session

import (
	"context"
	"encoding/json"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// sweepPage is the number of rows that one sweep step reads.
const sweepPage = 200

// Sweep deletes expired rows among one page of rows whose keys are above
// after. It returns the key to go on from, empty at the end, and how many rows
// it deleted. Any host may sweep at any time: a row is deleted only at the
// version that was read, so a use that prolongs it wins.
func (r *Registry) Sweep(ctx context.Context, after string) (next string, deleted int, err error) {
	rows, err := r.opts.Table.List(ctx, rowPrefix, after, sweepPage)
	if err != nil {
		return after, 0, err
	}
	txn := r.expiredRows(rows)
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

// Run sweeps one page each interval until ctx ends. A failed step is passed
// over: its rows come up again in the next round.
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

func (r *Registry) expiredRows(rows []storage.Row) storage.Txn {
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
