package feed

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// logFailed logs a failed call with its kind and how much of its answer arrived. received_bytes
// shows an answer that was cut off by the call's own timeout, and behind_ms a host that can't
// read changes that another host announced.
func (w *Watcher) logFailed(c *storeCall, err error) {
	w.logCall(w.log.Warn(), "store-call-failed", c).Err(err).Msg("")
}

// logAbandoned logs a call that was canceled because another watcher found the store
// unreachable.
func (w *Watcher) logAbandoned(c *storeCall) {
	w.logCall(w.log.Info(), "store-call-abandoned", c).Msg("")
}

// largeAnswer is the size of an answer, in bytes, from which it is logged.
const largeAnswer = 16 << 10

// logLarge logs a large answer, as it takes up a part of the host's link.
func (w *Watcher) logLarge(c *storeCall, page Page) {
	if c.receivedBytes.Load() <= largeAnswer {
		return
	}
	w.logCall(w.log.Info(), "large-answer", c).Int("rows", len(page.Rows)).Stringer("newest", page.Revision).Msg("")
}

func (w *Watcher) logCall(e *zerolog.Event, event string, c *storeCall) *zerolog.Event {
	return e.Str("event", event).Str("call", c.kind).
		Int64("hold_ms", c.hold.Milliseconds()).Int64("limit_ms", c.firstPartTimeout.Milliseconds()).
		Int64("took_ms", time.Since(c.started).Milliseconds()).Uint64("received_bytes", c.receivedBytes.Load()).
		Stringer("revision", w.revision).Stringer("told", storage.Revision(w.lag.target.Load())).Int64("behind_ms", w.Lag().Milliseconds())
}
