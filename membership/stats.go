package membership

// Stats counts what a host did since its start.
type Stats struct {
	// Rounds is the number of rounds, Exchanges of messages sent and Failures
	// of those without an answer.
	Rounds    uint64
	Exchanges uint64
	Failures  uint64
	// Pushes counts messages that brought news at once.
	Pushes uint64
	// Syncs counts comparisons of records.
	Syncs uint64
	// Suspected and Declared count members that became Suspect and Down here.
	Suspected uint64
	Declared  uint64
	// Refuted counts what others said of this host and it refuted.
	Refuted uint64
	// Thawed counts the freezes that this host noticed.
	Thawed uint64
	// FactsDropped counts facts over the bound.
	FactsDropped uint64
}

// count counts a member's change of state.
func (s *Stats) count(state State) {
	switch state {
	case Suspect:
		s.Suspected++
	case Down:
		s.Declared++
	}
}

// Stats returns the counts.
func (m *Membership) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}
