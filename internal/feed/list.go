package feed

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// listing is a read of the whole table, page by page, that is in progress.
type listing struct {
	rows []Row
	// revision is that of the first page, from which the watcher continues: Changes returns the
	// changes made between two pages again.
	revision storage.Revision
	// answeredAt is when the store answered with the first page, as the time since the
	// watcher's start; 0 before that.
	answeredAt time.Duration
	// nextKey is the least key that hasn't been read yet.
	nextKey string
}

// add appends the next page and reports whether it was the last. A page of another era than the
// previous ones restarts the listing, since its rows are inconsistent with theirs.
func (l *listing) add(page Page, at time.Duration) (last bool) {
	if l.answeredAt != 0 && page.Revision.Era() != l.revision.Era() {
		*l = listing{}
		return false
	}
	if l.answeredAt == 0 {
		l.revision, l.answeredAt = page.Revision, at
	}
	l.rows = append(l.rows, page.Rows...)
	if !page.Truncated || len(page.Rows) == 0 {
		return true
	}
	l.nextKey = page.Rows[len(page.Rows)-1].Key + "\x00"
	return false
}

// list reads the whole table. All pages together count as one read. A page that fails is
// requested again, and the previous ones are kept. If each failure restarted the listing, a
// table of many pages might never be read while the store rejects some calls: of 60 pages that
// fail one time in ten, all succeed one time in 500.
func (w *Watcher) list(ctx context.Context) error {
	for {
		page, at, err := w.listPage(ctx, w.partial.nextKey)
		if err != nil {
			return err
		}
		if w.partial.add(page, at) {
			break
		}
		if received, err := w.awaitWholeTable(ctx); received || err != nil {
			return err
		}
	}
	complete := w.partial
	w.partial = listing{}
	if complete.revision < w.revision {
		w.log.Warn().Str("event", "old-listing").Stringer("revision", complete.revision).Stringer("known", w.revision).Msg("")
		return errOldListing
	}
	w.replace(complete.rows, complete.revision, nil)
	w.recordSuccess(complete.answeredAt)
	return w.pauseAfterChange(ctx)
}

// replace passes the whole table to the handler. packed holds the rows as another host packed
// them, nil if they come from the store.
func (w *Watcher) replace(rows []Row, revision storage.Revision, packed []byte) {
	if w.revision != 0 && revision.Era() > w.revision.Era() {
		w.log.Warn().Str("event", "store-era").Uint64("era", revision.Era()).Stringer("revision", revision).Stringer("known", w.revision).Msg("")
	}
	w.handler.Replace(rows, revision)
	w.revision = revision
	w.lag.advance(revision)
	w.hasTable = true
	w.recent.reset(rows, revision, packed)
}

// errOldListing means that a listing was older than the rows that the watcher already has.
var errOldListing = errors.New("feed: listing is older than the changes already received")

func (w *Watcher) listPage(ctx context.Context, from string) (Page, time.Duration, error) {
	return w.call(ctx, &storeCall{kind: "list", firstPartTimeout: listTimeout,
		do: func(ctx context.Context, received Received) (Page, error) {
			return w.source.List(ctx, w.table, from, received)
		}})
}
