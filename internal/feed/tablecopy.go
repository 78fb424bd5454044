package feed

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tableCopy is a whole table for other hosts: packed, with the changes since. Each host has one,
// and few ever hand it on.
type tableCopy struct {
	packed []byte
	// changes are the changes since, the oldest first, also packed but for a few rows each;
	// changedBytes is their size.
	changes      []packedRows
	changedBytes int
	// rows is the number of rows in the packed table, changed are the hashes of the keys that
	// changed since.
	rows    int
	changed map[uint64]struct{}
}

// packedRows are rows, packed where they are more than a few.
type packedRows struct {
	packed []byte
	rows   []Row
}

const (
	// fewRows are kept as they are: packing so few makes them no smaller.
	fewRows = 4
	// leastFold is the size of changes, in bytes, up to which they aren't packed with the
	// table. Above that they are once they are as large as the table: then the work for
	// each change stays the same however large the table is.
	leastFold = 16 << 10
)

// newTableCopy returns the copy of a table; packed are its rows packed, nil if they aren't yet.
func newTableCopy(rows []Row, packed []byte) tableCopy {
	if packed == nil {
		packed = packSorted(slices.Clone(rows))
	}
	return tableCopy{packed: packed, rows: len(rows)}
}

// apply takes in changes; packed are the same, nil if they aren't packed yet.
func (c *tableCopy) apply(rows []Row, packed []byte) {
	change := packedRows{packed: packed}
	switch {
	case packed != nil:
		c.changedBytes += len(packed)
	case len(rows) <= fewRows:
		change.rows = rows
		for _, row := range rows {
			c.changedBytes += len(row.Key) + len(row.Data)
		}
	default:
		change.packed = pack(rows)
		c.changedBytes += len(change.packed)
	}
	c.changes = append(c.changes, change)
	if c.changed == nil {
		c.changed = make(map[uint64]struct{})
	}
	for _, row := range rows {
		c.changed[xxhash.Sum64String(row.Key)] = struct{}{}
	}
	if c.changedBytes > max(leastFold, len(c.packed)) {
		c.fold()
	}
}

// most is the number of rows that the table has at most.
func (c *tableCopy) most() int { return c.rows + len(c.changed) }

// whole returns all rows, packed.
func (c *tableCopy) whole() []byte {
	if len(c.changes) > 0 || c.packed == nil {
		c.fold()
	}
	return c.packed
}

// fold packs the changes with the table.
func (c *tableCopy) fold() {
	table := make(map[string]Row, c.most())
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
	rows, _ := unpack(p.packed) // packed here, or taken as a whole before
	return rows
}

// packSorted packs the rows in the order of their keys: alike ones stand together.
func packSorted(rows []Row) []byte {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return pack(rows)
}
