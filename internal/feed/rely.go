package feed

import (
	"context"
	"time"
)

// takeNews takes what another host told, as the store's word of the given time.
// It reports false if the store has to be asked for what is new.
func (w *Watcher) takeNews(news News, at time.Time) bool {
	switch {
	case news.Revision <= w.revision:
	case news.Complete && news.Since <= w.revision:
		var rows []Row
		for _, row := range news.Rows {
			if row.Revision > w.revision {
				rows = append(rows, row)
			}
		}
		w.take(rows, news.Revision)
	default:
		w.lag.note(news.Revision, w.sinceStart())
		return false
	}
	w.succeeded(max(1, w.sinceStart()-time.Since(at)))
	return true
}

// awaitNews waits for another host's next word, or until the last one is too old
// to rely on.
func (w *Watcher) awaitNews(ctx context.Context, at time.Time) error {
	w.options.Link.leave(w)
	timer := time.NewTimer(relayedAge - time.Since(at))
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
	timer := time.NewTimer(w.options.FirstWord)
	defer timer.Stop()
	for {
		if _, _, ok := w.relayed.fresh(); ok {
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
	w.log.Info().Str("event", event).Uint64("revision", w.revision).Msg("")
}
