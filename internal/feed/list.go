package feed

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// listing is the state of reading a whole table page by page.
type listing struct {
	rows []Row
	// revision is the revision of the first page. The watcher follows the changes from there, so
	// that Changes also returns the changes that were made between two pages.
	revision storage.Revision
	// answeredAt is when the store answered with the first page, as the time since the
	// watcher's start; 0 before that.
	answeredAt time.Duration
	// nextKey is the lowest key that hasn't been read yet.
	nextKey string
}

// add appends the next page and reports whether it was the last one. If the page is of another
// era than the previous ones, the listing starts again, since the rows of two eras aren't
// consistent.
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

// list reads the whole table. All pages together count as one answer from the store, as of the
// first page. A page that fails is requested again, and the previous pages are kept. If each
// failure restarted the listing, a table of many pages might never be read while the store
// rejects some calls: if one call in ten fails, all calls for 60 pages succeed only one time in
// 500.
func (w *Watcher) list(ctx context.Context) error {
	for {
		page, at, err := w.listPage(ctx, w.partialListing.nextKey)
		if err != nil {
			return err
		}
		if w.partialListing.add(page, at) {
			break
		}
		if received, err := w.awaitSnapshot(ctx); received || err != nil {
			return err
		}
	}
	listed := w.partialListing
	w.partialListing = listing{}
	if listed.revision < w.revision {
		w.log.Warn().Str("event", "old-listing").Stringer("revision", listed.revision).Stringer("known", w.revision).Msg("")
		return errOldListing
	}
	w.changedSince = w.lastAnswer()
	w.replace(listed.rows, listed.revision, nil)
	w.recordSuccess(listed.answeredAt)
	return w.pauseAfterChange(ctx, listed.answeredAt)
}

// replace passes the whole table to the handler. packed holds the same rows in packed form if
// another host sent them so, and is nil if they come from the store.
func (w *Watcher) replace(rows []Row, revision storage.Revision, packed []byte) {
	if w.revision != 0 && revision.Era() > w.revision.Era() {
		w.log.Warn().Str("event", "store-era").Uint64("era", revision.Era()).Stringer("revision", revision).Stringer("known", w.revision).Msg("")
	}
	w.revision = revision
	w.recent.reset(rows, revision, packed, w.relays())
	w.handler.Replace(rows, revision)
	w.hasTable.Store(true)
	w.lag.advance(revision)
}

// errOldListing means that a listing was older than the rows that the watcher already has.
var errOldListing = errors.New("feed: listing is older than the changes already received")

func (w *Watcher) listPage(ctx context.Context, from string) (Page, time.Duration, error) {
	return w.call(ctx, &storeCall{kind: "list", firstPartTimeout: listTimeout,
		do: func(ctx context.Context, received OnReceived) (Page, error) {
			return w.source.List(ctx, w.table, from, received)
		}})
}
