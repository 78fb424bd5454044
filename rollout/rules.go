package rollout

import "time"

// maxVersionsWithoutRule bounds, for each shard, the number of versions for
// which evidence, and the number for which stops, are stored before a rule is
// set.
const maxVersionsWithoutRule = 256

// SetVersions replaces the rules. A rule with the same round keeps its state, a
// higher round starts with new state, and a lower round is ignored. A version
// without a rule in the new list has no exposure budget and isn't stopped; to
// keep a stop in force, keep the rule. A version with budget 0 is tested, but
// the number of its answers isn't limited.
func (t *Tracker) SetVersions(rules []VersionRule) {
	for i := range t.shards {
		t.setShardRules(&t.shards[i], rules)
	}
}

func (t *Tracker) setShardRules(s *shard, rules []VersionRule) {
	now := t.options.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.entries
	s.entries = make(map[Key]*entry)
	for _, rule := range rules {
		if t.shard(rule.Key()) == s {
			t.setRule(s, previous[rule.Key()], rule, now)
		}
	}
	// Stops and evidence of removed versions are retained, in case an outdated
	// list restores the version at the same round.
	for key, e := range previous {
		if s.entries[key] == nil {
			s.storeEvidenceOfRemovedRule(key, e)
		}
	}
}

func (t *Tracker) setRule(s *shard, previous *entry, rule VersionRule, now time.Time) {
	key := rule.Key()
	if previous != nil && previous.rule.Round >= rule.Round {
		s.entries[key] = previous
		return
	}
	e := newEntry(t.options.Host, rule, t.options)
	s.entries[key] = e
	if stop, ok := s.stops[key]; ok && stop.Round < rule.Round {
		delete(s.stops, key)
	}
	t.applyPendingEvidence(s, e, now)
}

// applyPendingEvidence merges the evidence that was received before the rule.
func (t *Tracker) applyPendingEvidence(s *shard, e *entry, now time.Time) {
	key := e.rule.Key()
	for host, evidence := range s.pendingEvidence[key] {
		if evidence.Round != e.rule.Round {
			continue
		}
		if host == e.own.Host {
			e.own.merge(evidence)
		} else {
			e.merge(evidence)
		}
		t.recordChange(e, host)
		delete(s.pendingEvidence[key], host)
	}
	if len(s.pendingEvidence[key]) == 0 {
		delete(s.pendingEvidence, key)
	}
	e.recomputeSums(now)
	t.evaluate(s, e, now)
}

// storeEvidenceOfRemovedRule stores the evidence of an entry whose rule was
// removed, as if it had been received before the rule.
func (s *shard) storeEvidenceOfRemovedRule(key Key, e *entry) {
	s.storePendingEvidence(&e.own)
	for _, p := range e.peers {
		s.storePendingEvidence(p)
	}
}

// storePendingEvidence stores evidence of a round for which this host has no
// rule, for at most maxVersionsWithoutRule versions.
func (s *shard) storePendingEvidence(evidence *Evidence) {
	key := evidence.Key()
	hosts := s.pendingEvidence[key]
	if hosts == nil {
		if len(s.pendingEvidence) >= maxVersionsWithoutRule {
			s.evictOldestPending()
		}
		hosts = make(map[string]*Evidence)
		s.pendingEvidence[key] = hosts
	}
	stored := hosts[evidence.Host]
	switch {
	case stored == nil || stored.Round < evidence.Round:
		copied := evidence.clone()
		hosts[evidence.Host] = &copied
	case stored.Round == evidence.Round:
		stored.merge(evidence)
	}
}

func (s *shard) evictOldestPending() {
	var oldest Key
	lowest := uint64(0)
	for key, hosts := range s.pendingEvidence {
		round := uint64(0)
		for _, evidence := range hosts {
			round = max(round, evidence.Round)
		}
		if lowest == 0 || round < lowest {
			oldest, lowest = key, round
		}
	}
	delete(s.pendingEvidence, oldest)
}
