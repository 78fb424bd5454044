package feed

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// listing is a reading of the whole table, page by page.
type listing struct {
	rows []Row
	// revision is that of the first page, where the watcher goes on: changes made
	// between two pages come again with Changes.
	revision storage.Revision
	// answered is when the store gave the first page, in time since the watcher's
	// start; 0 before that.
	answered time.Duration
	// from is the least key that wasn't read yet.
	from string
}

// add takes the next page. One of another era than those before begins the listing anew: its
// rows don't belong together with theirs.
func (l *listing) add(page Page, at time.Duration) (last bool) {
	if l.answered != 0 && page.Revision.Era() != l.revision.Era() {
		*l = listing{}
		return false
	}
	if l.answered == 0 {
		l.revision, l.answered = page.Revision, at
	}
	l.rows = append(l.rows, page.Rows...)
	if !page.Truncated || len(page.Rows) == 0 {
		return true
	}
	l.from = page.Rows[len(page.Rows)-1].Key + "\x00"
	return false
}

// list reads the whole table. All pages together count as one reading. A page that
// fails is asked for again; the ones before it are kept. Begun anew, a table of many
// pages is never had while the store turns some calls away: of 60 pages that fail one
// time in ten, all succeed one time in 500.
func (w *Watcher) list(ctx context.Context) error {
	for {
		page, at, err := w.listPage(ctx, w.reading.from)
		if err != nil {
			return err
		}
		if w.reading.add(page, at) {
			break
		}
		if handed, err := w.handedOn(ctx); handed || err != nil {
			return err
		}
	}
	read := w.reading
	w.reading = listing{}
	if read.revision < w.revision {
		w.log.Warn().Str("event", "old-listing").Stringer("revision", read.revision).Stringer("known", w.revision).Msg("")
		return errOldListing
	}
	w.replace(read.rows, read.revision, nil)
	w.succeeded(read.answered)
	return w.pauseAfterChange(ctx)
}

// replace hands the whole table on; packed are the rows as another host packed them, nil if
// they come from the store.
func (w *Watcher) replace(rows []Row, revision storage.Revision, packed []byte) {
	if w.revision != 0 && revision.Era() > w.revision.Era() {
		w.log.Warn().Str("event", "store-era").Uint64("era", revision.Era()).Stringer("revision", revision).Stringer("known", w.revision).Msg("")
	}
	w.handler.Replace(rows, revision)
	w.revision = revision
	w.lag.reached(revision)
	w.listed = true
	w.recent.reset(rows, revision, packed)
}

// errOldListing means that a listing was older than what is known.
var errOldListing = errors.New("feed: listing older than known changes")

func (w *Watcher) listPage(ctx context.Context, from string) (Page, time.Duration, error) {
	return w.call(ctx, &storeCall{kind: "list", within: listTimeout,
		do: func(ctx context.Context, received Received) (Page, error) {
			return w.source.List(ctx, w.table, from, received)
		}})
}
