// Package feed follows the tables of the platform's store, each with a watcher. A watcher reads
// a table's rows first and then their changes; it copes with outages, lost history and late
// answers.
//
// The rows that a watcher passes on never go back: the revisions of each row only rise. After a
// loss of history the watcher reads the whole table again.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// ErrHistoryLost means that the store no longer has the changes after the requested revision,
// or has been restored from a backup since that revision; the table must be read again.
var ErrHistoryLost = errors.New("feed: history lost")

// Row is one row of a table, or its removal.
type Row struct {
	Key  string
	Data []byte
	// Revision is the store's revision as of the row's last change.
	Revision storage.Revision
	// Deleted marks a removed row; Data is empty then.
	Deleted bool
}

// Page is one answer from the store: rows or changes of a table.
type Page struct {
	Rows []Row
	// Revision is the newest revision that the answer covers.
	Revision storage.Revision
	// Truncated reports that the table has more rows after the last one in the page, or more
	// changes.
	Truncated bool
	// Clock is the time of the store's monotonic clock when it answered.
	Clock time.Duration
}

// OnReceived is called with the size in bytes of each part of an answer when the part arrives.
type OnReceived func(bytes int)

// Source reads tables of the store. Its calls end when the context ends.
type Source interface {
	// List returns the rows whose keys are equal to or after from, as many as fit into one
	// page.
	List(ctx context.Context, table, from string, received OnReceived) (Page, error)
	// Changes returns the changes after the revision as soon as there are any; after the wait
	// it returns a page without changes. It returns ErrHistoryLost if the store no longer has
	// the changes.
	Changes(ctx context.Context, table string, since storage.Revision, wait time.Duration, received OnReceived) (Page, error)
}

// Handler receives the rows that a watcher reads. Its calls don't overlap.
type Handler interface {
	// Replace receives the whole table as of the revision. If the revision is of a later era
	// than the previous one, rows may be older than before or missing: those that were written
	// after the backup from which the store was restored.
	Replace(rows []Row, revision storage.Revision)
	// Change receives one changed or removed row.
	Change(row Row)
}
