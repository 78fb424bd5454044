package feed

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// logFailed tells what a failed call was for and how far its answer came. An
// answer that was cut by the call's own time limit shows by its bytes; a host that
// can't get what another one told it of, by behind_ms.
func (w *Watcher) logFailed(c *storeCall, err error) {
	w.logCall(w.log.Warn(), "store-call-failed", c).Err(err).Msg("")
}

// logAbandoned tells of a call that was given up because another watcher found
// the store out of reach.
func (w *Watcher) logAbandoned(c *storeCall) {
	w.logCall(w.log.Info(), "store-call-abandoned", c).Msg("")
}

// largeAnswer is the size of an answer, in bytes, from which it is logged.
const largeAnswer = 16 << 10

// logLarge tells of a large answer, as it takes a part of the host's link.
func (w *Watcher) logLarge(c *storeCall, page Page) {
	if c.receivedBytes.Load() <= largeAnswer {
		return
	}
	w.logCall(w.log.Info(), "large-answer", c).Int("rows", len(page.Rows)).Stringer("newest", page.Revision).Msg("")
}

func (w *Watcher) logCall(e *zerolog.Event, event string, c *storeCall) *zerolog.Event {
	return e.Str("event", event).Str("call", c.kind).
		Int64("hold_ms", c.hold.Milliseconds()).Int64("limit_ms", c.within.Milliseconds()).
		Int64("took_ms", time.Since(c.started).Milliseconds()).Uint64("received_bytes", c.receivedBytes.Load()).
		Stringer("revision", w.revision).Stringer("told", storage.Revision(w.lag.told.Load())).Int64("behind_ms", w.Behind().Milliseconds())
}
