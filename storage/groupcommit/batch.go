package groupcommit

import "github.com/quetzalweir/quetzalweir/storage"

// batch collects transactions to commit as one: they touch different rows, and
// together they stay within maxOps and maxBytes.
type batch struct {
	items     []*pendingTxn
	keys      map[string]struct{}
	opCount   int
	byteCount int
	maxOps    int
	maxBytes  int
}

func newBatch(maxOps, maxBytes int) *batch {
	return &batch{keys: make(map[string]struct{}), maxOps: maxOps, maxBytes: maxBytes}
}

// add adds p. It returns false, without adding p, if p shares a row with a
// transaction of the batch or would exceed a limit. The first transaction is
// added whatever its size.
func (b *batch) add(p *pendingTxn) bool {
	if len(b.items) > 0 && !b.fits(p) {
		return false
	}
	for key := range p.keys {
		b.keys[key] = struct{}{}
	}
	b.items = append(b.items, p)
	b.opCount += p.ops()
	b.byteCount += p.byteCount
	return true
}

func (b *batch) fits(p *pendingTxn) bool {
	if b.opCount+p.ops() > b.maxOps || b.byteCount+p.byteCount > b.maxBytes {
		return false
	}
	for key := range p.keys {
		if _, taken := b.keys[key]; taken {
			return false
		}
	}
	return true
}

// merge returns one transaction made of several that touch different rows.
func merge(items []*pendingTxn) storage.Txn {
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
