package exchange

import (
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

// Quarantine tracks the requests that end upstreams. Hosts send their sightings to their hub,
// and hubs exchange them with each other; the hubs that are seeds reach verdicts. Hosts receive
// the upstreams that ended, the suspects and the verdicts in return.
type Quarantine interface {
	// Sightings returns this host's sightings since the last call. RecentSightings returns its recent
	// ones, which a new hub needs.
	Sightings() Sightings
	RecentSightings() Sightings
	// AddSightings records other hosts' sightings and returns those that were new.
	AddSightings(Sightings) Sightings
	// Status returns what this host's followers are sent. ApplyStatus receives the hub's.
	Status() QuarantineStatus
	ApplyStatus(QuarantineStatus)
	// SetMakesVerdicts sets whether this host reaches verdicts itself: it does if it receives the
	// sightings of all other hosts, or of none.
	SetMakesVerdicts(bool)
}

// Sightings lists losses, and suspected requests that were answered.
type Sightings struct {
	Losses   Losses  `json:"losses,omitempty"`
	Answered Digests `json:"answered,omitempty"`
}

// IsZero reports whether there are no sightings; they are left out of messages then.
func (s Sightings) IsZero() bool { return len(s.Losses)+len(s.Answered) == 0 }

func (s *Sightings) add(o Sightings) {
	s.Losses = append(s.Losses, o.Losses...)
	s.Answered = append(s.Answered, o.Answered...)
}

// maxSightings bounds the sightings in one report, and those that a host keeps for its hub; the
// oldest are dropped first. When a third of 12,000 upstreams is lost, each of 440 hosts has
// about a hundred.
const maxSightings = 256

// bounded keeps the newest maxSightings of each kind.
func (s Sightings) bounded() Sightings {
	s.Losses = s.Losses[max(0, len(s.Losses)-maxSightings):]
	s.Answered = s.Answered[max(0, len(s.Answered)-maxSightings):]
	return s
}

// QuarantineStatus lists the upstreams that ended, the suspected requests and the verdicts.
type QuarantineStatus struct {
	Ended    Endings              `json:"ended,omitempty"`
	Suspects Suspects             `json:"suspects,omitempty"`
	Verdicts []quarantine.Verdict `json:"verdicts,omitempty"`
}

// IsZero reports whether there is nothing to send.
func (s QuarantineStatus) IsZero() bool { return len(s.Ended)+len(s.Suspects)+len(s.Verdicts) == 0 }

// recordSightings records the new ones among a host's or another hub's sightings.
func (h *hub) recordSightings(from string, s Sightings) {
	if h.quarantine == nil || s.IsZero() {
		return
	}
	if from != h.self { // the quarantine has this host's own already
		s = h.quarantine.AddSightings(s)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sightings.add(from, s, boottime.Now())
}

// sightingsSince returns the sightings after the sequence number, except those that came from
// the hub at the address.
func (h *hub) sightingsSince(number uint64, address string) (Sightings, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sightings.since(number, hubKey(address), boottime.Now())
}

// quarantineStatus returns what a follower is sent. Another hub is sent the verdicts only: it derives
// the rest from the sightings.
func (h *hub) quarantineStatus(to audience) QuarantineStatus {
	if h.quarantine == nil {
		return QuarantineStatus{}
	}
	s := h.quarantine.Status()
	if to == toHub {
		return QuarantineStatus{Verdicts: s.Verdicts}
	}
	return s
}

// applyQuarantineStatus passes a hub's status to the quarantine.
func (m *Member) applyQuarantineStatus(s QuarantineStatus) {
	if m.options.Quarantine != nil && !s.IsZero() {
		m.options.Quarantine.ApplyStatus(s)
	}
}

// collectSightings adds this host's sightings since the last report to those that its hub
// hasn't received yet.
func (m *Member) collectSightings() {
	if m.options.Quarantine != nil {
		m.unsentSightings.add(m.options.Quarantine.Sightings())
		m.unsentSightings = m.unsentSightings.bounded()
	}
}

// resendSightings makes the next report send all recent sightings to a new hub.
func (m *Member) resendSightings() {
	m.forwardedSightingsSeq = 0
	if m.options.Quarantine != nil {
		m.unsentSightings = m.options.Quarantine.RecentSightings().bounded()
	}
}

// updateJudging sets whether this host reaches verdicts. A host with a hub leaves that to the
// hub: the host has no data on the other requests that ran at the upstreams that ended.
func (m *Member) updateJudging() {
	if m.options.Quarantine != nil {
		m.options.Quarantine.SetMakesVerdicts(m.current == "" || m.current == m.options.Listen)
	}
}

// ReceivesVerdicts reports whether this host receives the verdicts of all others, through its hub or, for a
// seed, from the other seeds.
func (m *Member) ReceivesVerdicts() bool {
	if m.Hub() != m.options.Listen {
		return m.HubAnswered()
	}
	return m.seedsAnswered.Load()
}

// updateSeedsAnswered records whether all other seeds answered this host's last query. The
// caller holds the lock.
func (m *Member) updateSeedsAnswered() {
	answer := true
	for _, seed := range m.options.Seeds {
		if q := m.hubQueries[seed]; seed != m.options.Listen && (q == nil || !q.answered) {
			answer = false
		}
	}
	m.seedsAnswered.Store(answer)
}
