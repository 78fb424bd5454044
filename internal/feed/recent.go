package feed

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// minRecentRows is how many changed rows are always kept for other hosts.
	minRecentRows = 512
	// recentMaxAge is how long a host that others rely on keeps further changes, up to the
	// number of rows in the table. When all upstreams start or end within seconds, hosts that
	// report a moment late can still be sent the changes; beyond that number the whole table is
	// the shorter message.
	recentMaxAge = 10 * time.Second
)

// recent holds a table's latest changes in the order of their revisions.
type recent struct {
	mu      sync.Mutex
	batches []changeBatch
	// rowCount counts the rows in the batches.
	rowCount int
	// floor is the revision after which the rows are complete, revision the newest that they
	// cover.
	floor    storage.Revision
	revision storage.Revision
	hasTable bool
	table    tableCopy
	// changes caches the packed rows after one revision, for several hosts.
	changes packedChanges
}

// changeBatch holds the rows of one answer.
type changeBatch struct {
	rows []Row
	at   time.Time
}

// packedChanges holds the changes after one revision up to another.
type packedChanges struct {
	since, revision storage.Revision
	packed          []byte
}

// reset starts again with a whole table. packed holds the rows as another host packed them, nil
// if they come from the store.
func (r *recent) reset(rows []Row, revision storage.Revision, packed []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches, r.rowCount = nil, 0
	r.floor = revision
	r.revision = revision
	r.hasTable = true
	r.table = newTableCopy(rows, packed)
}

// add appends the changes up to the revision. packed holds the same rows, nil if they aren't
// packed. relays reports whether other hosts rely on this one.
func (r *recent) add(rows []Row, packed []byte, revision storage.Revision, relays bool) {
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

// trim drops the oldest rows beyond the limits.
func (r *recent) trim(relays bool) {
	for len(r.batches) > 0 && r.rowCount > minRecentRows {
		first := &r.batches[0]
		surplus := r.rowCount - minRecentRows
		if relays && boottime.Since(first.at) <= recentMaxAge {
			surplus = r.rowCount - max(minRecentRows, r.table.maxRows())
		}
		if surplus <= 0 {
			return
		}
		surplus = min(surplus, len(first.rows))
		r.floor = first.rows[surplus-1].Revision
		r.rowCount -= surplus
		first.rows = first.rows[surplus:]
		if len(first.rows) == 0 {
			r.batches = r.batches[1:]
		}
	}
}

// since returns the changes after the revision. ok is false before the first listing.
func (r *recent) since(revision storage.Revision) (n Update, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = Update{Since: revision, Revision: r.revision}
	if !r.hasTable || revision < r.floor {
		return n, r.hasTable
	}
	size := 0
	for _, batch := range r.batches {
		for _, row := range batch.rows {
			if row.Revision <= revision {
				continue
			}
			size += len(row.Key) + len(row.Data)
			n.Rows = append(n.Rows, row)
		}
	}
	n.Complete = true
	if size >= minPackedBytes {
		n.Packed, n.Rows = r.packChanges(revision, n.Rows), nil
	}
	return n, true
}

// packChanges packs the changes after a revision. Most hosts are at the same revision, so the
// last result serves many of them. The caller holds r.mu.
func (r *recent) packChanges(since storage.Revision, rows []Row) []byte {
	c := &r.changes
	if c.packed == nil || c.since != since || c.revision != r.revision {
		*c = packedChanges{since: since, revision: r.revision, packed: pack(rows)}
	}
	return c.packed
}

// whole returns the table, packed once for each change of it.
func (r *recent) whole() (packed []byte, revision storage.Revision, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasTable {
		return nil, 0, false
	}
	return r.table.whole(), r.revision, true
}
