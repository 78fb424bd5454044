package groupcommit

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/storage"
)

// probeConcurrency bounds the reads that one probe has at a time.
const probeConcurrency = 32

// resolve finds the conflicting transactions of a batch that conflicted: by
// reading their rows while the budget of reads lasts, else by splitting.
func (c *Committer) resolve(items []*pending) {
	if !c.probes.AllowN(c.options.Clock(), countConditions(items)) {
		c.split(items)
		return
	}
	rest := c.probe(items)
	switch len(rest) {
	case len(items):
		c.split(items)
	case 0:
	default:
		c.settlePart(rest)
	}
}

// probe gives storage.ErrConflict to each transaction of which a condition
// doesn't hold, and returns the others. The merged commit wrote nothing, and
// what is refused here isn't sent again, so nothing was or will be written.
func (c *Committer) probe(items []*pending) []*pending {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout)
	defer cancel()
	conflicts := make([]error, len(items))
	var group errgroup.Group
	group.SetLimit(probeConcurrency)
	for i, p := range items {
		group.Go(func() error {
			conflicts[i] = c.check(ctx, p.txn.Conditions)
			return nil
		})
	}
	_ = group.Wait()
	var rest []*pending
	for i, p := range items {
		if conflicts[i] == nil {
			rest = append(rest, p)
			continue
		}
		deliver(items[i:i+1], 0, conflicts[i])
	}
	return rest
}

// check returns storage.ErrConflict if a condition is known not to hold.
func (c *Committer) check(ctx context.Context, conditions []storage.Condition) error {
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

func countConditions(items []*pending) int {
	count := 0
	for _, p := range items {
		count += len(p.txn.Conditions)
	}
	return count
}
