package exchange

import (
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

// Quarantine is what a host keeps of requests that end upstreams. Hosts tell their hub
// what they saw, and hubs tell each other; those hubs that are seeds judge. Back come the
// upstreams that ended, the suspects and the verdicts.
type Quarantine interface {
	// Sightings are what this host saw since the last call, Recent what it saw lately:
	// a new hub is told that.
	Sightings() Sightings
	Recent() Sightings
	// Take takes what others saw and returns what of it was new.
	Take(Sightings) Sightings
	// Standing is what this host's followers are told, TakeStanding takes the hub's.
	Standing() Standing
	TakeStanding(Standing)
	// Judges says whether this host judges by what it knows: it hears from all others, or
	// from none.
	Judges(bool)
}

// Sightings are losses, and suspects that were answered.
type Sightings struct {
	Losses   Losses  `json:"losses,omitempty"`
	Answered Digests `json:"answered,omitempty"`
}

// IsZero says whether there are none; such are left out of messages.
func (s Sightings) IsZero() bool { return len(s.Losses)+len(s.Answered) == 0 }

func (s *Sightings) add(o Sightings) {
	s.Losses = append(s.Losses, o.Losses...)
	s.Answered = append(s.Answered, o.Answered...)
}

// maxSightings bounds the sightings in one report and what a host keeps for its hub: the
// oldest go first. When a third of 12,000 upstreams is lost, a host of 440 has about a
// hundred.
const maxSightings = 256

// bounded keeps the newest.
func (s Sightings) bounded() Sightings {
	s.Losses = s.Losses[max(0, len(s.Losses)-maxSightings):]
	s.Answered = s.Answered[max(0, len(s.Answered)-maxSightings):]
	return s
}

// Standing is what is known of upstreams that ended and of the requests to blame.
type Standing struct {
	Ended    Endings              `json:"ended,omitempty"`
	Suspects Suspects             `json:"suspects,omitempty"`
	Verdicts []quarantine.Verdict `json:"verdicts,omitempty"`
}

// IsZero says whether there is nothing to tell.
func (s Standing) IsZero() bool { return len(s.Ended)+len(s.Suspects)+len(s.Verdicts) == 0 }

// takeSightings keeps what a host or another hub told, as far as it was new.
func (h *hub) takeSightings(from string, s Sightings) {
	if h.quarantine == nil || s.IsZero() {
		return
	}
	if from != h.self { // this host knows its own
		s = h.quarantine.Take(s)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sightings.add(from, s, boottime.Now())
}

// sightingsSince is what this hub was told after a number by others than the hub at the
// address.
func (h *hub) sightingsSince(number uint64, address string) (Sightings, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sightings.since(number, hubKey(address), boottime.Now())
}

// standing is what a follower is told, or another hub, which knows all but the verdicts
// by itself.
func (h *hub) standing(who audience) Standing {
	if h.quarantine == nil {
		return Standing{}
	}
	s := h.quarantine.Standing()
	if who == toHub {
		return Standing{Verdicts: s.Verdicts}
	}
	return s
}

// takeStanding takes what a hub told.
func (m *Member) takeStanding(s Standing) {
	if m.options.Quarantine != nil && !s.IsZero() {
		m.options.Quarantine.TakeStanding(s)
	}
}

// noteSightings adds what this host saw since the last report to what its hub wasn't told.
func (m *Member) noteSightings() {
	if m.options.Quarantine != nil {
		m.unseen.add(m.options.Quarantine.Sightings())
		m.unseen = m.unseen.bounded()
	}
}

// tellAnew has the next report tell a new hub all that this host saw lately.
func (m *Member) tellAnew() {
	m.toldSightings = 0
	if m.options.Quarantine != nil {
		m.unseen = m.options.Quarantine.Recent().bounded()
	}
}

// noteRole tells the quarantine whether this host judges. Hosts with a hub leave that to
// it: they don't know what else ran at the upstreams that ended.
func (m *Member) noteRole() {
	if m.options.Quarantine != nil {
		m.options.Quarantine.Judges(m.current == "" || m.current == m.options.Listen)
	}
}

// Told says whether the verdicts of all others reach this host over its hub, or over the
// other seeds if it is one.
func (m *Member) Told() bool {
	if m.Hub() != m.options.Listen {
		return m.Heard()
	}
	return m.seedsAnswer.Load()
}

// noteSeeds notes whether all other seeds answered this host's last question. The lock is
// held.
func (m *Member) noteSeeds() {
	answer := true
	for _, seed := range m.options.Seeds {
		if q := m.others[seed]; seed != m.options.Listen && (q == nil || !q.answered) {
			answer = false
		}
	}
	m.seedsAnswer.Store(answer)
}
