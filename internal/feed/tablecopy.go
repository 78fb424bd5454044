package feed

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tableCopy is a compact copy of a whole table for other hosts: the packed rows, and the
// changes since they were packed. It is kept compact because every host has one for each table,
// although few hosts ever send it.
type tableCopy struct {
	packed []byte
	// changes holds the changes since packed was made, oldest first. changedBytes is their size
	// in bytes.
	changes      []rowBatch
	changedBytes int
	// packedRowCount is the number of rows in packed. changedKeys holds the hashes of the keys
	// that changed since.
	packedRowCount int
	changedKeys    map[uint64]struct{}
}

// rowBatch holds rows, in packed form if they are many.
type rowBatch struct {
	packed []byte
	rows   []Row
}

const (
	// maxUnpackedRows is the number of rows up to which a change is kept unpacked, since
	// packing wouldn't make it smaller.
	maxUnpackedRows = 4
	// minMergeBytes is the size in bytes up to which changes aren't merged into the packed
	// table. Larger changes are merged once they are as large as the packed table, so that the
	// work per change doesn't grow with the table.
	minMergeBytes = 16 << 10
)

// newTableCopy returns a copy of the table with the rows. packed holds the same rows in packed
// form, or is nil.
func newTableCopy(rows []Row, packed []byte) tableCopy {
	if packed == nil {
		packed = packSorted(slices.Clone(rows))
	}
	return tableCopy{packed: packed, packedRowCount: len(rows)}
}

// apply adds changed rows. packed holds the same rows in packed form, or is nil.
func (c *tableCopy) apply(rows []Row, packed []byte) {
	change := rowBatch{packed: packed}
	hasLarge := slices.ContainsFunc(rows, func(row Row) bool { return len(row.Data) >= minLargeRowBytes })
	switch {
	case packed != nil && !hasLarge:
		c.changedBytes += len(packed)
	case len(rows) <= maxUnpackedRows || hasLarge:
		change = rowBatch{rows: rows}
		for _, row := range rows {
			if len(row.Data) < minLargeRowBytes {
				c.changedBytes += len(row.Key) + len(row.Data)
			}
		}
		c.dropOlderVersions(rows)
	default:
		change.packed = pack(rows)
		c.changedBytes += len(change.packed)
	}
	c.changes = append(c.changes, change)
	if c.changedKeys == nil {
		c.changedKeys = make(map[uint64]struct{})
	}
	for _, row := range rows {
		c.changedKeys[xxhash.Sum64String(row.Key)] = struct{}{}
	}
	if c.changedBytes > max(minMergeBytes, len(c.packed)) {
		c.merge()
	}
}

// dropOlderVersions drops the versions of the large rows that were kept unpacked. The latest
// versions cost no memory, since the host has them anyway, and packing them at each change would
// cost more time than the rest of the change.
func (c *tableCopy) dropOlderVersions(rows []Row) {
	for _, row := range rows {
		if len(row.Data) < minLargeRowBytes {
			continue
		}
		for i, change := range c.changes {
			if slices.ContainsFunc(change.rows, func(old Row) bool { return old.Key == row.Key }) {
				c.changes[i].rows = slices.DeleteFunc(slices.Clone(change.rows), func(old Row) bool { return old.Key == row.Key })
			}
		}
	}
	c.changes = slices.DeleteFunc(c.changes, func(change rowBatch) bool { return change.packed == nil && len(change.rows) == 0 })
}

// maxRowCount returns an upper bound of the number of rows in the table.
func (c *tableCopy) maxRowCount() int { return c.packedRowCount + len(c.changedKeys) }

// snapshot returns all rows in packed form.
func (c *tableCopy) snapshot() []byte {
	if len(c.changes) > 0 || c.packed == nil {
		c.merge()
	}
	return c.packed
}

// merge applies the changes to the table and packs the result.
func (c *tableCopy) merge() {
	table := make(map[string]Row, c.maxRowCount())
	for _, change := range slices.Insert(c.changes, 0, rowBatch{packed: c.packed}) {
		for _, row := range change.unpacked() {
			if row.Deleted {
				delete(table, row.Key)
			} else {
				table[row.Key] = row
			}
		}
	}
	rows := slices.Collect(maps.Values(table))
	*c = tableCopy{packed: packSorted(rows), packedRowCount: len(rows)}
}

func (b *rowBatch) unpacked() []Row {
	if b.packed == nil {
		return b.rows
	}
	rows, _ := unpack(b.packed) // can't fail: packed by this host, or already unpacked once
	return rows
}

// packSorted packs the rows in the order of their keys, so that similar rows are adjacent.
func packSorted(rows []Row) []byte {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return pack(rows)
}
