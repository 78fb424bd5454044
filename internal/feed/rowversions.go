package feed

import (
	"errors"
	"fmt"
	"slices"

	"github.com/quetzalweir/quetzalweir/internal/bytedelta"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// minLargeRowBytes is the size in bytes from which a row counts as large. Of large rows a host
	// keeps the latest version only, and sends other hosts the difference between versions.
	minLargeRowBytes = 4 << 10
	// maxRowDeltas is the number of deltas that a host keeps of a large row. They may take up to
	// maxDeltaFraction of the row's own size, since a longer update is no smaller than the row.
	maxRowDeltas     = 16
	maxDeltaFraction = 0.25
)

// errMissingVersion means that a host doesn't have the version of a row that a delta was made from.
var errMissingVersion = errors.New("feed: the version that the delta was made from is missing")

// RowDelta is the compressed difference between two successive versions of a large row.
type RowDelta struct {
	Key string
	// Base and Revision are the revisions of the two versions.
	Base     storage.Revision
	Revision storage.Revision
	Delta    []byte
}

// rowVersions holds the latest version of a large row, and the deltas that lead to it from
// earlier ones.
type rowVersions struct {
	latest Row
	// deltas are in the order of their revisions. Each one's base is the previous one's revision.
	deltas     []RowDelta
	deltaBytes int
}

// largeRows holds the large rows of a table by key.
type largeRows map[string]*rowVersions

// reset replaces all rows by those of a whole table.
func (l largeRows) reset(rows []Row) {
	previous := make(largeRows, len(l))
	for key, versions := range l {
		previous[key] = versions
	}
	clear(l)
	for _, row := range rows {
		if len(row.Data) < minLargeRowBytes {
			continue
		}
		if versions := previous[row.Key]; versions != nil && versions.latest.Revision == row.Revision {
			l[row.Key] = versions
			continue
		}
		l[row.Key] = &rowVersions{latest: row}
	}
}

// change records a changed row. delta is the difference from the latest version if another host
// sent it, or nil.
func (l largeRows) change(row Row, delta *RowDelta) {
	versions := l[row.Key]
	switch {
	case len(row.Data) < minLargeRowBytes:
		delete(l, row.Key)
	case versions == nil:
		l[row.Key] = &rowVersions{latest: row}
	default:
		versions.advance(row, delta)
	}
}

// advance makes the row the latest version.
func (v *rowVersions) advance(row Row, delta *RowDelta) {
	if delta == nil || delta.Base != v.latest.Revision || delta.Revision != row.Revision {
		encoded := compress(bytedelta.Encode(v.latest.Data, row.Data))
		delta = &RowDelta{Key: row.Key, Base: v.latest.Revision, Revision: row.Revision, Delta: encoded}
	}
	v.latest = row
	v.deltas = append(v.deltas, *delta)
	v.deltaBytes += len(delta.Delta)
	for len(v.deltas) > maxRowDeltas || float64(v.deltaBytes) > maxDeltaFraction*float64(len(row.Data)) {
		v.deltaBytes -= len(v.deltas[0].Delta)
		v.deltas = slices.Delete(v.deltas, 0, 1)
		if len(v.deltas) == 0 {
			return
		}
	}
}

// since returns the deltas for a host that has the table as of the revision. ok is false if the
// host's version is older than all deltas.
func (v *rowVersions) since(revision storage.Revision) (deltas []RowDelta, ok bool) {
	for i := len(v.deltas) - 1; i >= 0; i-- {
		if v.deltas[i].Base <= revision {
			return v.deltas[i:], true
		}
	}
	return nil, false
}

// build returns the latest version of each row that the deltas lead to. Deltas of versions that the
// host already has are ignored.
func (l largeRows) build(deltas []RowDelta) ([]Row, error) {
	rows := make(map[string]Row)
	for _, d := range deltas {
		row, started := rows[d.Key]
		if !started {
			if versions := l[d.Key]; versions != nil {
				row = versions.latest
			}
		}
		switch {
		case row.Revision >= d.Revision:
			continue
		case row.Revision != d.Base || len(row.Data) == 0:
			return nil, fmt.Errorf("%w: %q has revision %v, not %v", errMissingVersion, d.Key, row.Revision, d.Base)
		}
		delta, err := decompress(d.Delta)
		if err != nil {
			return nil, err
		}
		data, err := bytedelta.Apply(row.Data, delta, maxTableBytes)
		if err != nil {
			return nil, fmt.Errorf("feed: version %v of %q: %w", d.Revision, d.Key, err)
		}
		rows[d.Key] = Row{Key: d.Key, Data: data, Revision: d.Revision}
	}
	built := make([]Row, 0, len(rows))
	for _, row := range rows {
		built = append(built, row)
	}
	return built, nil
}
