package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// entryChangesInterval is the interval at which the number of changes of upstreams' entries is
// logged.
const entryChangesInterval = time.Second

// entryChanges counts changes of upstreams' entries. A single change is logged only for an upstream
// that this host has used: with a line for each upstream, the hosts together would log as many
// lines as there are hosts times upstreams when all upstreams start. The log line of an attempt
// contains the revision of the entry that it used.
type entryChanges struct {
	listed, restarted, leaving, removed atomic.Int64
}

// logLevel returns the level of log lines on the member's entry: info if this host has sent
// requests to the upstream, debug otherwise.
func (m *member) logLevel() zerolog.Level {
	if m.inFlight > 0 || m.usage != nil {
		return zerolog.InfoLevel
	}
	return zerolog.DebugLevel
}

// logEntryChanges logs the numbers of changes since the last call, if there were any.
func (f *Fleet) logEntryChanges() {
	changes := &f.entryChanges
	listed, restarted, leaving, removed := changes.listed.Swap(0), changes.restarted.Swap(0), changes.leaving.Swap(0), changes.removed.Swap(0)
	if listed+restarted+leaving+removed == 0 {
		return
	}
	known := 0
	f.eachShard(func(s *shard) { known += len(s.members) })
	f.log.Info().Str("event", "upstreams-changed").Int64("listed", listed).Int64("restarted", restarted).
		Int64("leaving", leaving).Int64("removed", removed).Int("known", known).Msg("")
}
