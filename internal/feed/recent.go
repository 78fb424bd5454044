package feed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// minKeptRows is the number of latest changed rows that a host always keeps for other hosts.
	minKeptRows = 512
	// surplusRetention is how long a host that relays the table keeps changed rows beyond
	// minKeptRows, up to as many as the table has rows. If all upstreams start or terminate
	// within seconds, more than minKeptRows rows change, and hosts that report a moment late
	// still receive the changes instead of the whole table. More changed rows than the table has
	// rows would make a longer message than the whole table.
	surplusRetention = 10 * time.Second
)

// recentChanges holds a table's latest changes in the order of their revisions, and a copy of
// the table.
type recentChanges struct {
	mu      sync.Mutex
	batches []changeBatch
	// rowCount is the number of rows in the batches.
	rowCount int
	// The batches hold all changes after completeSince, up to revision.
	completeSince storage.Revision
	revision      storage.Revision
	hasTable      bool
	table         tableCopy
	// large holds the large rows. The batches and the table's changes hold the latest version of
	// each of them only.
	large largeRows
	// packCache holds the last result of packChanges.
	packCache packedChanges
}

// changeBatch holds the changed rows of one answer or update, and when they were received.
type changeBatch struct {
	rows []Row
	at   time.Time
}

// packedChanges holds changed rows in packed form.
type packedChanges struct {
	versions []rowVersion
	packed   []byte
}

// rowVersion identifies one version of a row.
type rowVersion struct {
	key      string
	revision storage.Revision
}

// reset replaces everything by a whole table. packed holds the same rows in packed form if
// another host sent them so, and is nil if they come from the store. If this host had the table before,
// the differences count as changes, so that other hosts need not receive the whole table.
func (r *recentChanges) reset(rows []Row, revision storage.Revision, packed []byte, relays bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasTable && revision.Era() == r.revision.Era() {
		changes := r.changesTo(rows, revision)
		r.revision = max(r.revision, revision)
		r.table = newTableCopy(rows, packed)
		r.addBatch(changeSet{rows: changes}, relays)
		return
	}
	r.batches, r.rowCount = nil, 0
	r.completeSince = revision
	r.revision = revision
	r.hasTable = true
	r.table = newTableCopy(rows, packed)
	if r.large == nil {
		r.large = make(largeRows)
	}
	r.large.reset(rows)
}

// changesTo returns the changes that lead from this host's table to the given one as of the revision, in
// the order of their revisions. A removed row counts as removed at that revision. The caller holds r.mu.
func (r *recentChanges) changesTo(rows []Row, revision storage.Revision) []Row {
	var changes []Row
	listed := make(map[string]struct{}, len(rows))
	for _, row := range rows {
		listed[row.Key] = struct{}{}
		if row.Revision > r.revision {
			changes = append(changes, row)
		}
	}
	known, _ := unpack(r.table.snapshot()) // can't fail: packed by this host, or already unpacked once
	for _, row := range known {
		if _, ok := listed[row.Key]; !ok {
			changes = append(changes, Row{Key: row.Key, Revision: revision, Deleted: true})
		}
	}
	slices.SortStableFunc(changes, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// changeSet holds changed rows.
type changeSet struct {
	rows []Row
	// packed holds the same rows in packed form if another host sent them so; otherwise it is nil.
	packed []byte
	// deltas holds the deltas from which large rows were built.
	deltas []RowDelta
	source rowSource
}

// rowSource is where rows come from, as logged.
type rowSource string

const (
	fromStore rowSource = "store"
	fromHub   rowSource = "hub"
)

// deltaOf returns the delta that leads to the row's version, or nil.
func (c *changeSet) deltaOf(row Row) *RowDelta {
	for i := range c.deltas {
		if d := &c.deltas[i]; d.Key == row.Key && d.Revision == row.Revision {
			return d
		}
	}
	return nil
}

// add appends the changes up to the revision. relays reports whether this host relays the table
// to other hosts.
func (r *recentChanges) add(changes changeSet, revision storage.Revision, relays bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
	rows := changes.rows
	if len(rows) == 0 {
		return
	}
	r.table.apply(rows, changes.packed)
	r.addBatch(changes, relays)
}

// addBatch appends the changes to the batches. The caller holds r.mu.
func (r *recentChanges) addBatch(changes changeSet, relays bool) {
	if len(changes.rows) == 0 {
		return
	}
	for _, row := range changes.rows {
		if r.large[row.Key] != nil {
			r.dropVersions(row.Key)
		}
		r.large.change(row, changes.deltaOf(row))
	}
	rows := r.withoutReplaced(changes.rows)
	r.batches = append(r.batches, changeBatch{rows: rows, at: boottime.Now()})
	r.rowCount += len(rows)
	r.trim(relays)
}

// withoutReplaced returns the rows without those versions of large rows that a later one of them replaces.
// The caller holds r.mu.
func (r *recentChanges) withoutReplaced(rows []Row) []Row {
	newest := make(map[string]int)
	for i, row := range rows {
		if r.large[row.Key] != nil {
			newest[row.Key] = i
		}
	}
	kept := make([]Row, 0, len(rows))
	for i, row := range rows {
		if last, large := newest[row.Key]; !large || last == i {
			kept = append(kept, row)
		}
	}
	return kept
}

// dropVersions drops the versions of a large row from the batches.
func (r *recentChanges) dropVersions(key string) {
	for i := range r.batches {
		batch := &r.batches[i]
		if !slices.ContainsFunc(batch.rows, func(row Row) bool { return row.Key == key }) {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(batch.rows), func(row Row) bool { return row.Key == key })
		r.rowCount -= len(batch.rows) - len(kept)
		batch.rows = kept
	}
	r.batches = slices.DeleteFunc(r.batches, func(batch changeBatch) bool { return len(batch.rows) == 0 })
}

// missingSince returns for how long this host has had a change that a host with the table as of the
// revision doesn't have, or 0 if it has none.
func (r *recentChanges) missingSince(revision storage.Revision) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, batch := range r.batches {
		if n := len(batch.rows); n > 0 && batch.rows[n-1].Revision > revision {
			return boottime.Since(batch.at)
		}
	}
	return 0
}

// trim drops the oldest changed rows that need not be kept.
func (r *recentChanges) trim(relays bool) {
	for len(r.batches) > 0 && r.rowCount > minKeptRows {
		first := &r.batches[0]
		surplus := r.rowCount - minKeptRows
		if relays && boottime.Since(first.at) <= surplusRetention {
			surplus = r.rowCount - max(minKeptRows, r.table.maxRowCount())
		}
		if surplus <= 0 {
			return
		}
		surplus = min(surplus, len(first.rows))
		r.completeSince = first.rows[surplus-1].Revision
		r.rowCount -= surplus
		first.rows = first.rows[surplus:]
		if len(first.rows) == 0 {
			r.batches = r.batches[1:]
		}
	}
}

// updateSince returns the update with the changes after the revision, with deltas of large rows
// if withDeltas is set. If some of these changes were dropped, Complete is false in the update. ok
// is false before the first listing.
func (r *recentChanges) updateSince(revision storage.Revision, withDeltas bool) (update Update, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update = Update{Since: revision, Revision: r.revision}
	if !r.hasTable || revision < r.completeSince {
		return update, r.hasTable
	}
	// Since is the last change that the host has: hosts that lack the same changes get the same
	// update, although they called the store at different revisions.
	update.Since = r.completeSince
	size := 0
	for _, batch := range r.batches {
		for _, row := range batch.rows {
			if row.Revision <= revision {
				update.Since = max(update.Since, row.Revision)
				continue
			}
			if deltas, found := r.deltasOf(row, revision); withDeltas && found {
				update.Deltas = append(update.Deltas, deltas...)
				continue
			}
			size += len(row.Key) + len(row.Data)
			update.Rows = append(update.Rows, row)
		}
	}
	update.Complete = true
	if size >= minPackedBytes {
		update.Packed, update.Rows = r.packChanges(update.Rows), nil
	}
	return update, true
}

// deltasOf returns the deltas that lead to the row from the version that a host with the table as
// of the revision has. The caller holds r.mu.
func (r *recentChanges) deltasOf(row Row, revision storage.Revision) (deltas []RowDelta, ok bool) {
	versions := r.large[row.Key]
	if versions == nil || versions.latest.Revision != row.Revision {
		return nil, false
	}
	return versions.since(revision)
}

// largeRowBytes returns the size in bytes of the latest versions of all large rows.
func (r *recentChanges) largeRowBytes() (size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, versions := range r.large {
		size += len(versions.latest.Data)
	}
	return size
}

// build returns the latest versions of the rows that the deltas lead to.
func (r *recentChanges) build(deltas []RowDelta) ([]Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large.build(deltas)
}

// packChanges packs the changed rows. Since most hosts lack the same rows, it keeps the last result for
// the next ones. Hosts that lack the same changes can need different rows, as a difference can be applied
// by those only that have the version that it was made from. The caller holds r.mu.
func (r *recentChanges) packChanges(rows []Row) []byte {
	versions := make([]rowVersion, len(rows))
	for i, row := range rows {
		versions[i] = rowVersion{row.Key, row.Revision}
	}
	if r.packCache.packed == nil || !slices.Equal(r.packCache.versions, versions) {
		r.packCache = packedChanges{versions: versions, packed: pack(rows)}
	}
	return r.packCache.packed
}

// snapshot returns the whole table in packed form and its revision. The table is packed at most
// once after each change. ok is false before the first listing.
func (r *recentChanges) snapshot() (packed []byte, revision storage.Revision, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasTable {
		return nil, 0, false
	}
	return r.table.snapshot(), r.revision, true
}
