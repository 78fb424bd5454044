package feed

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// recentRows is how many changed rows are kept for others at any time.
	recentRows = 512
	// recentTime is how long a host that others rely on keeps further ones, up to as many as
	// the table has: when all upstreams start or end within seconds, hosts that hear of them
	// a moment late are still told the changes, and with more the whole table is the shorter
	// message.
	recentTime = 10 * time.Second
)

// recent keeps a table's latest changes in the order of their revisions.
type recent struct {
	mu      sync.Mutex
	batches []changeBatch
	// kept counts the rows in the batches.
	kept int
	// floor is the revision after which the rows are complete, revision the
	// newest that they take in.
	floor    storage.Revision
	revision storage.Revision
	listed   bool
	table    tableCopy
	// changes are the rows after a revision, packed the same for other hosts.
	changes packedChanges
}

// changeBatch are the rows of one answer.
type changeBatch struct {
	rows []Row
	at   time.Time
}

// packedChanges are the changes after one revision up to another.
type packedChanges struct {
	since, revision storage.Revision
	packed          []byte
}

// reset begins anew with a whole table; packed are the rows as another host packed them, nil
// if they come from the store.
func (r *recent) reset(rows []Row, revision storage.Revision, packed []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches, r.kept = nil, 0
	r.floor = revision
	r.revision = revision
	r.listed = true
	r.table = newTableCopy(rows, packed)
}

// add takes in changes up to the revision; packed are the same, nil if they aren't packed.
// Relays says whether others rely on this host.
func (r *recent) add(rows []Row, packed []byte, revision storage.Revision, relays bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
	if len(rows) == 0 {
		return
	}
	r.table.apply(rows, packed)
	r.batches = append(r.batches, changeBatch{rows: rows, at: boottime.Now()})
	r.kept += len(rows)
	r.dropOld(relays)
}

// dropOld forgets the rows that are too many.
func (r *recent) dropOld(relays bool) {
	for len(r.batches) > 0 && r.kept > recentRows {
		first := &r.batches[0]
		over := r.kept - recentRows
		if relays && boottime.Since(first.at) <= recentTime {
			over = r.kept - max(recentRows, r.table.most())
		}
		if over <= 0 {
			return
		}
		over = min(over, len(first.rows))
		r.floor = first.rows[over-1].Revision
		r.kept -= over
		first.rows = first.rows[over:]
		if len(first.rows) == 0 {
			r.batches = r.batches[1:]
		}
	}
}

// since returns the changes after the revision; ok is false before the first
// listing.
func (r *recent) since(revision storage.Revision) (n News, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = News{Since: revision, Revision: r.revision}
	if !r.listed || revision < r.floor {
		return n, r.listed
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
	if size >= packFrom {
		n.Packed, n.Rows = r.packChanges(revision, n.Rows), nil
	}
	return n, true
}

// packChanges packs the changes after a revision. Most hosts know the same one, so the last
// packing does for many. r.mu is held.
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
	if !r.listed {
		return nil, 0, false
	}
	return r.table.whole(), r.revision, true
}
