package feed

import (
	"maps"
	"slices"
	"strings"
)

// tableCopy is a whole table for other hosts: packed, with the rows that changed since. Most
// hosts never hand it on; as rows one by one it was a third of their memory.
type tableCopy struct {
	packed []byte
	// rows counts those that are packed.
	rows int
	// changed are the newest rows of the keys that changed since.
	changed map[string]Row
}

// foldPart of the packed rows is the number of changed ones from which all are packed anew.
const foldPart = 8

// newTableCopy returns the copy of a table; packed are its rows packed, nil if they aren't yet.
func newTableCopy(rows []Row, packed []byte) tableCopy {
	if packed == nil {
		packed = packSorted(slices.Clone(rows))
	}
	return tableCopy{packed: packed, rows: len(rows), changed: make(map[string]Row)}
}

// most is the number of rows that the table has at most.
func (c *tableCopy) most() int { return c.rows + len(c.changed) }

// apply takes in changes.
func (c *tableCopy) apply(rows []Row) {
	if c.changed == nil {
		c.changed = make(map[string]Row)
	}
	for _, row := range rows {
		c.changed[row.Key] = row
	}
	if len(c.changed) > max(recentRows, c.rows/foldPart) {
		c.fold()
	}
}

// whole returns all rows, packed.
func (c *tableCopy) whole() []byte {
	if len(c.changed) > 0 || c.packed == nil {
		c.fold()
	}
	return c.packed
}

// fold packs the changed rows with the others.
func (c *tableCopy) fold() {
	rows := slices.Collect(maps.Values(c.changed))
	if c.packed != nil {
		// What was packed here, or taken as a table, is known to be whole.
		known, _ := unpack(c.packed)
		rows = append(rows, slices.DeleteFunc(known, func(row Row) bool { _, changed := c.changed[row.Key]; return changed })...)
	}
	rows = slices.DeleteFunc(rows, func(row Row) bool { return row.Deleted })
	*c = newTableCopy(rows, nil)
}

// packSorted packs the rows in the order of their keys: alike ones stand together.
func packSorted(rows []Row) []byte {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return pack(rows)
}
