package rollout

import "time"

// retiredKept bounds, for each shard, the versions without a rule whose
// evidence and stops are kept.
const retiredKept = 256

// SetVersions replaces the rules. The state of a rule with the same epoch is
// kept; a higher epoch starts anew; a lower one than before is ignored. A
// version that is no longer in the list is no longer bounded or stopped; to
// keep a stop, keep the rule. A rule with budget 0 has no bound but is tested.
func (t *Tracker) SetVersions(rules []VersionRule) {
	for i := range t.shards {
		t.setShard(&t.shards[i], rules)
	}
}

func (t *Tracker) setShard(s *shard, rules []VersionRule) {
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
	// Versions that left the list stay known by their stops and by their own
	// evidence, in case an outdated list brings them back at the same epoch.
	for key, e := range previous {
		if s.entries[key] == nil {
			s.retire(key, e)
		}
	}
}

func (t *Tracker) setRule(s *shard, previous *entry, rule VersionRule, now time.Time) {
	key := rule.Key()
	if previous != nil && previous.rule.Epoch >= rule.Epoch {
		s.entries[key] = previous
		return
	}
	e := newEntry(t.options.Host, rule, t.options)
	s.entries[key] = e
	if stop, ok := s.stops[key]; ok && stop.Epoch < rule.Epoch {
		delete(s.stops, key)
	}
	t.takeEarly(s, e, now)
}

// takeEarly merges the evidence that came before the rule.
func (t *Tracker) takeEarly(s *shard, e *entry, now time.Time) {
	key := e.rule.Key()
	for host, evidence := range s.early[key] {
		if evidence.Epoch != e.rule.Epoch {
			continue
		}
		if host == e.own.Host {
			e.own.merge(evidence)
		} else {
			e.merge(evidence)
		}
		t.mark(e, host)
		delete(s.early[key], host)
	}
	if len(s.early[key]) == 0 {
		delete(s.early, key)
	}
	e.total(now)
	t.judge(s, e, now)
}

// retire keeps an entry's evidence as if it had come early.
func (s *shard) retire(key Key, e *entry) {
	s.keepEarly(&e.own)
	for _, p := range e.peers {
		s.keepEarly(p)
	}
}

// keepEarly stores evidence without a rule, within retiredKept versions.
func (s *shard) keepEarly(evidence *Evidence) {
	key := evidence.Key()
	hosts := s.early[key]
	if hosts == nil {
		if len(s.early) >= retiredKept {
			s.dropOldestEarly()
		}
		hosts = make(map[string]*Evidence)
		s.early[key] = hosts
	}
	known := hosts[evidence.Host]
	switch {
	case known == nil || known.Epoch < evidence.Epoch:
		copied := evidence.clone()
		hosts[evidence.Host] = &copied
	case known.Epoch == evidence.Epoch:
		known.merge(evidence)
	}
}

func (s *shard) dropOldestEarly() {
	var oldest Key
	lowest := uint64(0)
	for key, hosts := range s.early {
		epoch := uint64(0)
		for _, evidence := range hosts {
			epoch = max(epoch, evidence.Epoch)
		}
		if lowest == 0 || epoch < lowest {
			oldest, lowest = key, epoch
		}
	}
	delete(s.early, oldest)
}
