package groupcommit

import "github.com/quetzalweir/quetzalweir/storage"

// batch collects transactions that may be committed as one.
type batch struct {
	items    []*pending
	keys     map[string]struct{}
	ops      int
	bytes    int
	maxOps   int
	maxBytes int
}

func newBatch(maxOps, maxBytes int) *batch {
	return &batch{keys: make(map[string]struct{}), maxOps: maxOps, maxBytes: maxBytes}
}

// add takes p in and reports false if it shares a row with an earlier one or
// doesn't fit. The first one always fits.
func (b *batch) add(p *pending) bool {
	if len(b.items) > 0 && !b.fits(p) {
		return false
	}
	for key := range p.keys {
		b.keys[key] = struct{}{}
	}
	b.items = append(b.items, p)
	b.ops += p.ops()
	b.bytes += p.bytes
	return true
}

func (b *batch) fits(p *pending) bool {
	if b.ops+p.ops() > b.maxOps || b.bytes+p.bytes > b.maxBytes {
		return false
	}
	for key := range p.keys {
		if _, taken := b.keys[key]; taken {
			return false
		}
	}
	return true
}

// merge joins transactions that touch different rows.
func merge(items []*pending) storage.Txn {
	if len(items) == 1 {
		return items[0].txn
	}
	var merged storage.Txn
	for _, p := range items {
		merged.Conditions = append(merged.Conditions, p.txn.Conditions...)
		merged.Puts = append(merged.Puts, p.txn.Puts...)
		merged.Deletes = append(merged.Deletes, p.txn.Deletes...)
	}
	return merged
}
