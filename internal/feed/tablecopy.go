package feed

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tableCopy is a whole table for other hosts: the packed rows, and the changes since. It is
// kept compact, as each host has one and few ever send it.
type tableCopy struct {
	packed []byte
	// changes holds the changes since, the oldest first, packed unless a change has only a few
	// rows. changedBytes is their size.
	changes      []packedRows
	changedBytes int
	// rows is the number of rows in the packed table. changedKeys holds the hashes of the keys
	// that changed since.
	rows        int
	changedKeys map[uint64]struct{}
}

// packedRows holds rows, packed if they are more than a few.
type packedRows struct {
	packed []byte
	rows   []Row
}

const (
	// maxUnpackedRows is the number of rows up to which a change is kept unpacked: packing
	// wouldn't make it smaller.
	maxUnpackedRows = 4
	// minMergeBytes is the size of changes, in bytes, up to which they aren't merged into the
	// table. Above that they are merged once they are as large as the table, so that the work
	// for each change doesn't grow with the table.
	minMergeBytes = 16 << 10
)

// newTableCopy returns the copy of a table. packed holds its rows packed, nil if they aren't
// yet.
func newTableCopy(rows []Row, packed []byte) tableCopy {
	if packed == nil {
		packed = packSorted(slices.Clone(rows))
	}
	return tableCopy{packed: packed, rows: len(rows)}
}

// apply adds changes. packed holds the same rows, nil if they aren't packed yet.
func (c *tableCopy) apply(rows []Row, packed []byte) {
	change := packedRows{packed: packed}
	switch {
	case packed != nil:
		c.changedBytes += len(packed)
	case len(rows) <= maxUnpackedRows:
		change.rows = rows
		for _, row := range rows {
			c.changedBytes += len(row.Key) + len(row.Data)
		}
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

// maxRows returns an upper bound of the number of rows in the table.
func (c *tableCopy) maxRows() int { return c.rows + len(c.changedKeys) }

// whole returns all rows, packed.
func (c *tableCopy) whole() []byte {
	if len(c.changes) > 0 || c.packed == nil {
		c.merge()
	}
	return c.packed
}

// merge packs the changes together with the table.
func (c *tableCopy) merge() {
	table := make(map[string]Row, c.maxRows())
	for _, change := range slices.Insert(c.changes, 0, packedRows{packed: c.packed}) {
		for _, row := range change.unpacked() {
			if row.Deleted {
				delete(table, row.Key)
			} else {
				table[row.Key] = row
			}
		}
	}
	rows := slices.Collect(maps.Values(table))
	*c = tableCopy{packed: packSorted(rows), rows: len(rows)}
}

func (p *packedRows) unpacked() []Row {
	if p.packed == nil {
		return p.rows
	}
	rows, _ := unpack(p.packed) // packed by this host, or unpacked before
	return rows
}

// packSorted packs the rows in the order of their keys, so that similar rows are adjacent.
func packSorted(rows []Row) []byte {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return pack(rows)
}
