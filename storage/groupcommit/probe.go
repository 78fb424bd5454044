package groupcommit

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/storage"
)

// maxConcurrentReads bounds the transactions of one batch whose rows are read at
// a time.
const maxConcurrentReads = 32

// resolveConflict finds the conflicting transactions of a batch whose commit
// failed on a condition, and commits the others. It reads the rows of the
// conditions while ReadsPerSecond allows it; otherwise it splits the batch.
func (c *Committer) resolveConflict(items []*pendingTxn) {
	if !c.readLimiter.AllowN(c.options.Clock(), countConditions(items)) {
		c.split(items)
		return
	}
	remaining := c.probeConditions(items)
	switch len(remaining) {
	case len(items):
		c.split(items)
	case 0:
	default:
		c.commitPart(remaining)
	}
}

// probeConditions reads the rows of all conditions. It delivers
// storage.ErrConflict to each transaction with a condition that doesn't hold,
// and returns the others. The merged commit wrote nothing, and the transactions
// that fail here aren't sent again, so they had no effect and will have none.
func (c *Committer) probeConditions(items []*pendingTxn) []*pendingTxn {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout)
	defer cancel()
	conflicts := make([]error, len(items))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, p := range items {
		group.Go(func() error {
			conflicts[i] = c.checkConditions(ctx, p.txn.Conditions)
			return nil
		})
	}
	_ = group.Wait()
	var remaining []*pendingTxn
	for i, p := range items {
		if conflicts[i] == nil {
			remaining = append(remaining, p)
			continue
		}
		deliver(items[i:i+1], 0, conflicts[i])
	}
	return remaining
}

// checkConditions returns storage.ErrConflict if a condition is known not to
// hold. A row that can't be read counts as no conflict.
func (c *Committer) checkConditions(ctx context.Context, conditions []storage.Condition) error {
	for _, condition := range conditions {
		c.reads.Add(1)
		row, err := c.table.Get(ctx, condition.Key)
		if err != nil && !errors.Is(err, storage.ErrNotFound) {
			continue
		}
		if row.Version != condition.Version {
			return storage.ErrConflict
		}
	}
	return nil
}

func countConditions(items []*pendingTxn) int {
	count := 0
	for _, p := range items {
		count += len(p.txn.Conditions)
	}
	return count
}
