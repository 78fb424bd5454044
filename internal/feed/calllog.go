package feed

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// logFailed logs a failed call. received_bytes shows whether a part of the answer had arrived
// before the call's timeout, and behind_ms whether the host is unable to read changes that
// another host announced.
func (w *Watcher) logFailed(c *storeCall, err error) {
	w.logCall(w.log.Warn(), "store-call-failed", c).Err(err).Msg("")
}

// logAbandoned logs a call that was canceled because another watcher's call had shown that the
// store is unreachable.
func (w *Watcher) logAbandoned(c *storeCall) {
	w.logCall(w.log.Info(), "store-call-abandoned", c).Msg("")
}

// largeAnswer is the size in bytes above which an answer is logged.
const largeAnswer = 16 << 10

// logLarge logs a large answer, since receiving it occupies the host's network link.
func (w *Watcher) logLarge(c *storeCall, page Page) {
	if c.receivedBytes.Load() <= largeAnswer {
		return
	}
	w.logCall(w.log.Info(), "large-answer", c).Int("rows", len(page.Rows)).Stringer("newest", page.Revision).Msg("")
}

// logLargeRow logs a change of a large row before it takes effect: where it comes from, how many
// deltas it was built from, and for how long another host is known to have had it.
func (w *Watcher) logLargeRow(row Row, source rowSource, deltas int) {
	if len(row.Data) < minLargeRowBytes {
		return
	}
	w.log.Info().Str("event", "large-row").Str("source", string(source)).Str("key", row.Key).Stringer("revision", row.Revision).
		Int("bytes", len(row.Data)).Int("deltas", deltas).Int64("behind_ms", w.Lag().Milliseconds()).Msg("")
}

func (w *Watcher) logCall(e *zerolog.Event, event string, c *storeCall) *zerolog.Event {
	return e.Str("event", event).Str("call", c.kind).
		Int64("hold_ms", c.hold.Milliseconds()).Int64("limit_ms", c.firstPartTimeout.Milliseconds()).
		Int64("took_ms", time.Since(c.started).Milliseconds()).Uint64("received_bytes", c.receivedBytes.Load()).
		Stringer("revision", w.revision).Stringer("told", storage.Revision(w.lag.target.Load())).Int64("behind_ms", w.Lag().Milliseconds())
}
