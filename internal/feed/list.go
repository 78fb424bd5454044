package feed

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

// list reads the whole table. All pages together count as one reading; changes
// made between two of them come again with Changes, since the revision of the
// first page is where the watcher goes on.
func (w *Watcher) list(ctx context.Context) error {
	var rows []Row
	revision, answered := uint64(0), time.Duration(0)
	from := ""
	for {
		page, at, err := w.listPage(ctx, from)
		if err != nil {
			return err
		}
		if answered == 0 {
			revision, answered = page.Revision, at
		}
		rows = append(rows, page.Rows...)
		if !page.Truncated || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	if revision < w.revision {
		w.log.Warn().Str("event", "old-listing").Uint64("revision", revision).Uint64("known", w.revision).Msg("")
		return errOldListing
	}
	w.handler.Replace(rows)
	w.revision = revision
	w.lag.reached(revision)
	w.listed = true
	w.recent.reset(revision)
	w.succeeded(answered)
	return wait.For(ctx, w.gather())
}

// errOldListing means that a listing was older than what is known.
var errOldListing = errors.New("feed: listing older than known changes")

func (w *Watcher) listPage(ctx context.Context, from string) (Page, time.Duration, error) {
	return w.call(ctx, &storeCall{kind: "list", within: listTimeout,
		do: func(ctx context.Context, received Received) (Page, error) {
			return w.source.List(ctx, w.table, from, received)
		}})
}
