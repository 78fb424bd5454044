package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// tallyInterval is the time between two lines on changes of upstreams' entries.
const tallyInterval = time.Second

// tally counts changes of upstreams' entries. Each is logged by itself for upstreams that this
// host has used; a line for each of the others would be as many as there are hosts times
// upstreams when a fleet starts. Attempts name the revision of the entry that they went by.
type tally struct {
	listed, restarted, leaving, removed atomic.Int64
}

// level is that of log lines on the member's entry: this host's requests may depend on it, or
// not.
func (m *member) level() zerolog.Level {
	if m.inFlight > 0 || m.usage != nil {
		return zerolog.InfoLevel
	}
	return zerolog.DebugLevel
}

// logTally tells of the changes since the last call, if there were any.
func (f *Fleet) logTally() {
	t := &f.tally
	listed, restarted, leaving, removed := t.listed.Swap(0), t.restarted.Swap(0), t.leaving.Swap(0), t.removed.Swap(0)
	if listed+restarted+leaving+removed == 0 {
		return
	}
	known := 0
	f.each(func(s *shard) { known += len(s.members) })
	f.log.Info().Str("event", "upstreams-changed").Int64("listed", listed).Int64("restarted", restarted).
		Int64("leaving", leaving).Int64("removed", removed).Int("known", known).Msg("")
}
