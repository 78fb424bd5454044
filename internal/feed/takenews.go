package feed

import (
	"context"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// takeNews takes what another host told, as the store's word of the given time.
// It reports false if the store has to be asked for what is new.
func (w *Watcher) takeNews(news News, at time.Time) bool {
	switch {
	case !w.listed && (!news.Whole || news.Revision < w.revision):
		return false // after lost history the table is wanted, and never an older one
	case w.listed && news.Revision <= w.revision:
	case news.Whole, news.Complete && news.Since <= w.revision:
		if !w.takeRows(news) {
			return false
		}
	default:
		w.lag.note(news.Revision, w.sinceStart())
		return false
	}
	w.succeeded(max(1, w.sinceStart()-boottime.Since(at)))
	return true
}

// takeRows takes the whole table, or its changes, from another host.
func (w *Watcher) takeRows(news News) bool {
	rows := news.Rows
	if news.Packed != nil {
		var err error
		if rows, err = unpack(news.Packed); err != nil {
			w.log.Error().Str("event", "news-unreadable").Stringer("revision", news.Revision).Int("bytes", len(news.Packed)).Err(err).Msg("")
			return false
		}
	}
	if news.Whole {
		w.log.Info().Str("event", "table-handed-on").Stringer("revision", news.Revision).Int("rows", len(rows)).Int("bytes", len(news.Packed)).Msg("")
		w.reading = listing{}
		w.replace(rows, news.Revision, news.Packed)
		return true
	}
	fresh := slices.DeleteFunc(slices.Clone(rows), func(row Row) bool { return row.Revision <= w.revision })
	packed := news.Packed
	if len(fresh) < len(rows) {
		packed = nil // an older row must not come after a newer one
	}
	w.take(fresh, packed, news.Revision)
	return true
}

// begin gets the whole table: from another host if one hands it on soon, or from the
// store. A fleet that starts at once would read the store's tables as often as it has
// hosts otherwise.
func (w *Watcher) begin(ctx context.Context) error {
	if !w.began && w.options.FirstTable > 0 {
		w.began = true
		if err := w.awaitWord(ctx, w.options.FirstTable); err != nil {
			return err
		}
	}
	if w.takeFresh() {
		return nil
	}
	return w.list(ctx)
}

// takeFresh takes another host's word, if there is one that is fresh and will do.
func (w *Watcher) takeFresh() bool {
	news, at, ok := w.freshNews()
	return ok && w.takeNews(news, at)
}

// largeTableWait is how long a host whose table has many pages waits for another one to
// hand it on, if that one answers: a fleet of 300 hosts that starts at once has its hubs
// named, and a table of 3,000 rows on all of them, within a second. Reading such a table
// takes half a second on a link of 20 Mbit/s, and all hosts' bytes from the store.
const largeTableWait = time.Second

// handedOn waits once, after the first of a table's pages, for another host to hand the
// whole table on.
func (w *Watcher) handedOn(ctx context.Context) (bool, error) {
	if w.waitedLarge || w.options.HubAnswers == nil || !w.options.HubAnswers() {
		return false, nil
	}
	w.waitedLarge = true
	if err := w.awaitWord(ctx, largeTableWait); err != nil {
		return false, err
	}
	return w.takeFresh(), nil
}

// awaitWord waits for a fresh word, or until it is known that none will come, for the
// span at most.
func (w *Watcher) awaitWord(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	for {
		if _, _, ok := w.freshNews(); ok || w.relayed.vain() {
			return nil
		}
		select {
		case <-w.relayed.wake:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitNews waits for another host's next word, or until the last one is too old
// to rely on.
func (w *Watcher) awaitNews(ctx context.Context, at time.Time) error {
	w.options.Link.leave(w)
	timer := time.NewTimer(w.reliedAge() - boottime.Since(at))
	defer timer.Stop()
	select {
	case <-w.relayed.wake:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitFirstWord waits once for another host's word: a call of the watcher's own
// would wait for the next change, although the hub's answer spares it.
func (w *Watcher) awaitFirstWord(ctx context.Context) error {
	if w.waited || w.options.FirstWord <= 0 || w.relays() {
		return nil
	}
	w.waited = true
	return w.awaitWord(ctx, w.options.FirstWord)
}

// noteRelying logs when the watcher begins and ceases to rely on another host.
func (w *Watcher) noteRelying(rely bool) {
	if rely == w.relying {
		return
	}
	w.relying = rely
	event := "relay-lost"
	if rely {
		event = "relay-used"
	}
	w.log.Info().Str("event", event).Stringer("revision", w.revision).Msg("")
}
