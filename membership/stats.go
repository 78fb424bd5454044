package membership

// Stats holds the counters of a host since its start.
type Stats struct {
	// Rounds counts the rounds that this host ran, Exchanges counts the
	// messages that it sent to other hosts, and Failures counts the messages
	// without an answer.
	Rounds    uint64
	Exchanges uint64
	Failures  uint64
	// Pushes counts push messages sent.
	Pushes uint64
	// Syncs counts syncs that this host started.
	Syncs uint64
	// Suspected and DeclaredDown count the changes of members to Suspect and
	// to Down in this host's records, whichever host detected them.
	Suspected    uint64
	DeclaredDown uint64
	// Refuted counts the records of this host that other hosts sent and this
	// host refuted.
	Refuted uint64
	// Pauses counts the process pauses that this host detected.
	Pauses uint64
	// FactsDropped counts facts rejected because of MaxFacts.
	FactsDropped uint64
}

// countChange increments Suspected or DeclaredDown if a member has changed to
// Suspect or Down.
func (s *Stats) countChange(state State) {
	switch state {
	case Suspect:
		s.Suspected++
	case Down:
		s.DeclaredDown++
	}
}

// Stats returns the counters.
func (m *Membership) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}
