package exchange

import (
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

// Quarantine tracks poison requests, which terminate upstreams. Hosts send their sightings to
// their hub, and hubs exchange sightings with each other. The hubs that are seeds make the
// verdicts. In return, each hub sends its followers the terminated upstreams, the suspects and
// the verdicts.
type Quarantine interface {
	// Sightings returns this host's sightings since the last call. RecentSightings returns all
	// recent sightings of this host; a new hub is sent them, since the previous hub may not
	// have passed them on.
	Sightings() Sightings
	RecentSightings() Sightings
	// AddSightings adds the sightings of other hosts and returns those that were new.
	AddSightings(Sightings) Sightings
	// Status returns the status that this host's hub sends to its followers. ApplyStatus
	// processes the status that another hub sent.
	Status() QuarantineStatus
	ApplyStatus(QuarantineStatus)
	// SetMakesVerdicts sets whether this host makes verdicts itself. It makes them if it
	// receives the sightings of all other hosts, or if it has no hub and receives none.
	SetMakesVerdicts(bool)
}

// Sightings lists losses of requests, and survivals, which are suspects that were answered.
type Sightings struct {
	Losses   Losses  `json:"losses,omitempty"`
	Answered Digests `json:"answered,omitempty"`
}

// IsZero reports whether there are no sightings; messages leave them out then.
func (s Sightings) IsZero() bool { return len(s.Losses)+len(s.Answered) == 0 }

func (s *Sightings) add(o Sightings) {
	s.Losses = append(s.Losses, o.Losses...)
	s.Answered = append(s.Answered, o.Answered...)
}

// maxSightings bounds the losses, and separately the survivals, that a host keeps for its hub;
// the oldest are dropped first. It also bounds the entries of a sighting log in one message.
// When a third of 12,000 upstreams is lost, each of 440 hosts has about a hundred losses.
const maxSightings = 256

// bounded returns the newest maxSightings losses and the newest maxSightings survivals.
func (s Sightings) bounded() Sightings {
	s.Losses = s.Losses[max(0, len(s.Losses)-maxSightings):]
	s.Answered = s.Answered[max(0, len(s.Answered)-maxSightings):]
	return s
}

// QuarantineStatus lists the terminated upstreams, the suspects and the verdicts that a hub
// sends its followers.
type QuarantineStatus struct {
	Terminated Terminations         `json:"ended,omitempty"`
	Suspects   Suspects             `json:"suspects,omitempty"`
	Verdicts   []quarantine.Verdict `json:"verdicts,omitempty"`
}

// IsZero reports whether all three lists are empty; messages leave them out then.
func (s QuarantineStatus) IsZero() bool {
	return len(s.Terminated)+len(s.Suspects)+len(s.Verdicts) == 0
}

// recordSightings passes the sightings of a host or another hub to the quarantine, and adds
// those that were new to the log for other hubs.
func (h *hub) recordSightings(from string, s Sightings) {
	if h.quarantine == nil || s.IsZero() {
		return
	}
	if from != h.self { // the quarantine already has this host's own sightings
		s = h.quarantine.AddSightings(s)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sightings.add(from, s, boottime.Now())
}

// sightingsSince returns the entries of the sighting log after the sequence number, except
// those from the hub at hubAddress, and the sequence number of the last one considered.
func (h *hub) sightingsSince(seq uint64, hubAddress string) (Sightings, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sightings.since(seq, hubKey(hubAddress), boottime.Now())
}

// quarantineStatus returns the status that the audience is sent. Another hub is sent the
// verdicts only, since it derives the rest from the sightings.
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

// deliverQuarantineStatus passes a hub's status to the quarantine.
func (m *Member) deliverQuarantineStatus(s QuarantineStatus) {
	if m.options.Quarantine != nil && !s.IsZero() {
		m.options.Quarantine.ApplyStatus(s)
	}
}

// collectSightings adds this host's sightings since the last report to unsentSightings.
func (m *Member) collectSightings() {
	if m.options.Quarantine != nil {
		m.unsentSightings.add(m.options.Quarantine.Sightings())
		m.unsentSightings = m.unsentSightings.bounded()
	}
}

// requeueSightings makes the next report hold all recent sightings of this host, for a hub that
// it hasn't reported to before.
func (m *Member) requeueSightings() {
	m.forwardedSightingSeq = 0
	if m.options.Quarantine != nil {
		m.unsentSightings = m.options.Quarantine.RecentSightings().bounded()
	}
}

// updateMakesVerdicts sets whether this host makes verdicts. A host that reports to another host
// leaves the verdicts to that hub, since it has no data about the requests of other hosts that
// ran at the terminated upstreams.
func (m *Member) updateMakesVerdicts() {
	if m.options.Quarantine != nil {
		m.options.Quarantine.SetMakesVerdicts(m.hubAddress == "" || m.hubAddress == m.options.Listen)
	}
}

// ReceivesVerdicts reports whether this host receives the verdicts of all other hosts, from its
// hub or, for a seed that is its own hub, from the other seeds.
func (m *Member) ReceivesVerdicts() bool {
	if m.Hub() != m.options.Listen {
		return m.HubAnswered()
	}
	return m.seedsAnswered.Load()
}

// updateSeedsAnswered records whether all other seeds answered this host's last query. The
// caller holds the lock.
func (m *Member) updateSeedsAnswered() {
	allAnswered := true
	for _, seed := range m.options.Seeds {
		if q := m.seedQueries[seed]; seed != m.options.Listen && (q == nil || !q.answered) {
			allAnswered = false
		}
	}
	m.seedsAnswered.Store(allAnswered)
}
