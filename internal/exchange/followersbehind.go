package exchange

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

const (
	// behindLogInterval is the time between two log lines on followers that are behind.
	behindLogInterval = time.Second
	// minLoggedLag is the time from which a follower that lacks a change is logged. It covers a few
	// exchanges and the processing of a large document.
	minLoggedLag = 1500 * time.Millisecond
)

// FollowersBehind describes the hosts that report to this one and lack a change that it has.
type FollowersBehind struct {
	// Hosts is their number, and Longest is for how long Host has lacked a change.
	Hosts   int
	Host    string
	Longest time.Duration
}

// FollowersBehind returns which hosts that report to this one lack a change of the table. Hosts
// that this one relays no changes to aren't counted.
func (m *Member) FollowersBehind(table string) FollowersBehind {
	return m.ownHub.followersBehind(table)
}

func (h *hub) followersBehind(table string) FollowersBehind {
	watcher := h.tables[table]
	if watcher == nil || !h.relays() {
		return FollowersBehind{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	var behind FollowersBehind
	for host, received := range h.reports {
		revision, ok := received.report.Revisions[table]
		if received.fromHub || host == h.self || !ok {
			continue
		}
		lag := watcher.MissingSince(revision)
		if lag == 0 {
			continue
		}
		behind.Hosts++
		if lag > behind.Longest {
			behind.Longest, behind.Host = lag, host
		}
	}
	return behind
}

// logFollowersBehind logs, at most once per behindLogInterval, the followers that lack a change for
// minLoggedLag or longer.
func (m *Member) logFollowersBehind() {
	now := boottime.Now()
	if now.Sub(m.behindLoggedAt) < behindLogInterval {
		return
	}
	m.behindLoggedAt = now
	for table := range m.options.Tables {
		behind := m.FollowersBehind(table)
		if behind.Longest < minLoggedLag {
			continue
		}
		m.log.Warn().Str("event", "followers-behind").Str("table", table).Int("hosts", behind.Hosts).Str("host", behind.Host).
			Int64("longest_ms", behind.Longest.Milliseconds()).Stringer("revision", m.options.Tables[table].Revision()).Msg("")
	}
}
