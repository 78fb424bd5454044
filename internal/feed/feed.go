// Package feed follows one table of the platform's store: first its rows, then
// its changes, through outages, lost history and late answers.
//
// What a watcher hands on never goes back: each row is handed on with rising
// revisions, and after a loss of history the whole table is read again.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// ErrHistoryLost means that the changes since the asked revision are no longer
// kept, or that the store came back from a copy since; the table has to be read again.
var ErrHistoryLost = errors.New("feed: history lost")

// Row is one row of a table, or its removal.
type Row struct {
	Key  string
	Data []byte
	// Revision is the store's counter at the row's last change.
	Revision storage.Revision
	// Deleted says that the row was removed; Data is then empty.
	Deleted bool
}

// Page is an answer of the store.
type Page struct {
	Rows []Row
	// Revision is the newest that the answer takes in.
	Revision storage.Revision
	// Truncated says that there are more rows above the last one, or more changes.
	Truncated bool
	// Clock is the store's steady clock.
	Clock time.Duration
}

// Received is told of each part of an answer as it arrives, in bytes.
type Received func(bytes int)

// Source reads tables. Its calls end with the context.
type Source interface {
	// List returns the rows whose keys are not below from.
	List(ctx context.Context, table, from string, received Received) (Page, error)
	// Changes returns the changes after the revision, as soon as there are any
	// or the wait is over; ErrHistoryLost if they are no longer kept.
	Changes(ctx context.Context, table string, since storage.Revision, wait time.Duration, received Received) (Page, error)
}

// Handler takes what a watcher learns. Its calls don't overlap.
type Handler interface {
	// Replace takes the whole table as of the revision. In a later era than the last one
	// rows may be older than those before, or missing: they were written after the copy
	// that the store came back from.
	Replace(rows []Row, revision storage.Revision)
	// Change takes one changed or removed row.
	Change(row Row)
}
