package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// entryChangesInterval is the interval of the log lines on changes of upstreams' entries.
const entryChangesInterval = time.Second

// entryChanges counts changes of upstreams' entries. A change is logged individually only for
// upstreams that this host has used: when a fleet starts, a line for every other one would make as
// many lines as there are hosts times upstreams. Attempts log the revision of the entry that they
// used.
type entryChanges struct {
	listed, restarted, leaving, removed atomic.Int64
}

// logLevel returns the level of log lines on the member's entry: info if this host's requests may
// depend on it, debug otherwise.
func (m *member) logLevel() zerolog.Level {
	if m.inFlight > 0 || m.usage != nil {
		return zerolog.InfoLevel
	}
	return zerolog.DebugLevel
}

// logEntryChanges logs the number of changes since the last call, if there were any.
func (f *Fleet) logEntryChanges() {
	t := &f.entryChanges
	listed, restarted, leaving, removed := t.listed.Swap(0), t.restarted.Swap(0), t.leaving.Swap(0), t.removed.Swap(0)
	if listed+restarted+leaving+removed == 0 {
		return
	}
	known := 0
	f.each(func(s *shard) { known += len(s.members) })
	f.log.Info().Str("event", "upstreams-changed").Int64("listed", listed).Int64("restarted", restarted).
		Int64("leaving", leaving).Int64("removed", removed).Int("known", known).Msg("")
}
