package exchange

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// LeavingUpstream is an upstream that stated in an answer, Age ago, that it is leaving. Its entry
// may not contain that: the store can be unavailable.
type LeavingUpstream struct {
	Upstream ratelease.UpstreamID
	Age      time.Duration
}

// LeavingUpstreams is a list of leaving upstreams on the wire.
type LeavingUpstreams []LeavingUpstream

const (
	// LeavingLifetime is how long another host's report that an upstream is leaving counts. An
	// upstream that leaves has terminated by then. After a wrong report, hosts send it requests
	// again.
	LeavingLifetime = time.Minute
	// leavingEntrySize is the size of an encoded entry in bytes, before base64: the upstream, and
	// the age in milliseconds, which is below LeavingLifetime.
	leavingEntrySize = 8 + 2
	// maxLeavingUpstreams bounds the entries in one message, so that a host receives at most 6 KB of
	// them a second. maxLoggedLeaving bounds those that a hub keeps for later messages.
	maxLeavingUpstreams = 64
	maxLoggedLeaving    = 1024
)

// MarshalJSON implements json.Marshaler.
func (l LeavingUpstreams) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, leavingEntrySize*len(l))
	for _, u := range l {
		packed = binary.BigEndian.AppendUint64(packed, uint64(u.Upstream))
		packed = binary.BigEndian.AppendUint16(packed, uint16(min(math.MaxUint16, max(0, u.Age.Milliseconds()))))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *LeavingUpstreams) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, leavingEntrySize)
	if err != nil {
		return err
	}
	*l = make(LeavingUpstreams, 0, len(packed)/leavingEntrySize)
	for entry := range slices.Chunk(packed, leavingEntrySize) {
		*l = append(*l, LeavingUpstream{
			Upstream: ratelease.UpstreamID(binary.BigEndian.Uint64(entry)),
			Age:      time.Duration(binary.BigEndian.Uint16(entry[8:])) * time.Millisecond,
		})
	}
	return nil
}

// leavingLog holds the leaving upstreams that hosts and other hubs reported, each once.
type leavingLog struct{ relayLog[loggedLeaving] }

// loggedLeaving is an upstream that stated at the given time that it is leaving. from is the host
// that reported it or, if fromHub is set, the address of the hub that passed it on.
type loggedLeaving struct {
	upstream ratelease.UpstreamID
	at       time.Time
	from     string
	fromHub  bool
}

func (l *loggedLeaving) expired(now time.Time) bool { return now.Sub(l.at) >= LeavingLifetime }

// add appends the upstreams that the log doesn't hold, and drops the expired entries.
func (l *leavingLog) add(from string, fromHub bool, list []LeavingUpstream, now time.Time) {
	l.entries = slices.DeleteFunc(l.entries, func(e relayed[loggedLeaving]) bool { return e.value.expired(now) })
	for _, u := range list {
		known := slices.ContainsFunc(l.entries, func(e relayed[loggedLeaving]) bool { return e.value.upstream == u.Upstream })
		if !known && u.Age < LeavingLifetime {
			l.relayLog.add(loggedLeaving{upstream: u.Upstream, at: now.Add(-u.Age), from: from, fromHub: fromHub})
		}
	}
	l.trim(maxLoggedLeaving)
}

// since returns the entries after the sequence number that came from hosts other than self, oldest
// first and at most maxLeavingUpstreams, and the number of the last entry that it considered.
func (l *leavingLog) since(seq uint64, self string, to audience, now time.Time) ([]LeavingUpstream, uint64) {
	entries, last := l.relayLog.since(seq, maxLeavingUpstreams, func(e loggedLeaving) bool {
		return e.from != self && (to != toHub || !e.fromHub) && !e.expired(now)
	})
	list := make([]LeavingUpstream, len(entries))
	for i, e := range entries {
		list[i] = LeavingUpstream{Upstream: e.upstream, Age: now.Sub(e.at)}
	}
	return list, last
}

// recordLeaving stores the leaving upstreams that a host or another hub reported.
func (h *hub) recordLeaving(from string, fromHub bool, list []LeavingUpstream) {
	if len(list) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving.add(from, fromHub, list, boottime.Now())
}

// leavingSince returns the leaving upstreams after the sequence number for a receiver, and the
// sequence number from which the next message continues.
func (h *hub) leavingSince(seq uint64, self string, to audience) ([]LeavingUpstream, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving.since(seq, self, to, boottime.Now())
}

// nextLeaving returns the leaving upstreams that the hub hasn't received yet, at most
// maxLeavingUpstreams.
func (m *Member) nextLeaving() []LeavingUpstream {
	if m.options.Leaving == nil {
		return nil
	}
	m.unsentLeaving = append(m.unsentLeaving, m.options.Leaving()...)
	return m.unsentLeaving[:min(maxLeavingUpstreams, len(m.unsentLeaving))]
}

// deliverLeaving passes leaving upstreams that other hosts reported to OnLeaving.
func (m *Member) deliverLeaving(list []LeavingUpstream) {
	if m.options.OnLeaving != nil && len(list) > 0 {
		m.options.OnLeaving(list)
	}
}

// deliverOwnHubLeaving passes the new entries of the log of this host's own hub to OnLeaving.
func (m *Member) deliverOwnHubLeaving() {
	var list []LeavingUpstream
	list, m.ownHubLeavingSeq = m.ownHub.leavingSince(m.ownHubLeavingSeq, m.options.Host, toHost)
	m.deliverLeaving(list)
}

var (
	_ json.Marshaler   = LeavingUpstreams{}
	_ json.Unmarshaler = (*LeavingUpstreams)(nil)
)
