package feed

import (
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
	// packCache holds the last result of packChanges, for further hosts with the same revision.
	packCache packedChanges
}

// changeBatch holds the changed rows of one answer or update, and when they were received.
type changeBatch struct {
	rows []Row
	at   time.Time
}

// packedChanges holds the packed changes after since, up to revision.
type packedChanges struct {
	since, revision storage.Revision
	packed          []byte
}

// reset replaces everything by a whole table. packed holds the same rows in packed form if
// another host sent them so, and is nil if they come from the store.
func (r *recentChanges) reset(rows []Row, revision storage.Revision, packed []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches, r.rowCount = nil, 0
	r.completeSince = revision
	r.revision = revision
	r.hasTable = true
	r.table = newTableCopy(rows, packed)
}

// add appends the changes up to the revision. packed holds the same rows in packed form, or is
// nil. relays reports whether this host relays the table to other hosts.
func (r *recentChanges) add(rows []Row, packed []byte, revision storage.Revision, relays bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
	if len(rows) == 0 {
		return
	}
	r.table.apply(rows, packed)
	r.batches = append(r.batches, changeBatch{rows: rows, at: boottime.Now()})
	r.rowCount += len(rows)
	r.trim(relays)
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

// updateSince returns the update with the changes after the revision. If some of these changes
// were dropped, Complete is false in the update. ok is false before the first listing.
func (r *recentChanges) updateSince(revision storage.Revision) (update Update, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update = Update{Since: revision, Revision: r.revision}
	if !r.hasTable || revision < r.completeSince {
		return update, r.hasTable
	}
	size := 0
	for _, batch := range r.batches {
		for _, row := range batch.rows {
			if row.Revision <= revision {
				continue
			}
			size += len(row.Key) + len(row.Data)
			update.Rows = append(update.Rows, row)
		}
	}
	update.Complete = true
	if size >= minPackedBytes {
		update.Packed, update.Rows = r.packChanges(revision, update.Rows), nil
	}
	return update, true
}

// packChanges packs the changes after a revision. Since most hosts have the same revision, it
// keeps the last result for the next ones. The caller holds r.mu.
func (r *recentChanges) packChanges(since storage.Revision, rows []Row) []byte {
	cache := &r.packCache
	if cache.packed == nil || cache.since != since || cache.revision != r.revision {
		*cache = packedChanges{since: since, revision: r.revision, packed: pack(rows)}
	}
	return cache.packed
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
