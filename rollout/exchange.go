package rollout

import (
	"slices"
	"time"
)

// Export returns all evidence, of this host and of others, for the rules that
// this host has. Other hosts pass it to Merge.
func (t *Tracker) Export() []Evidence {
	evidence, _ := t.ExportSince(0)
	return evidence
}

// ExportSince returns the evidence that changed after the change number since,
// which an earlier call returned as next, and the number for the next call.
func (t *Tracker) ExportSince(since uint64) (evidence []Evidence, next uint64) {
	next = t.lastChange.Load()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			evidence = e.export(evidence, since)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(evidence, compareEvidence)
	return evidence, next
}

// ownExportSegments is the number of last segments that ExportOwn includes: the
// earlier ones were exported when they were current.
const ownExportSegments = 2

// ExportOwn is ExportSince restricted to this host's own evidence and to the
// last segments of it. Its result suffices if every host sends it to every
// other host. A host that missed messages or joined late also needs the result
// of Export from time to time.
func (t *Tracker) ExportOwn(since uint64) (evidence []Evidence, next uint64) {
	changed, next := t.ExportSince(since)
	for i := range changed {
		if changed[i].Host == t.options.Host {
			changed[i].keepLastSegments(ownExportSegments)
			evidence = append(evidence, changed[i])
		}
	}
	return evidence, next
}

// Merge merges evidence that other hosts exported. The same evidence may be
// merged repeatedly, and older evidence after newer. Evidence for a rule that
// this host doesn't have yet is stored until the rule is set.
func (t *Tracker) Merge(evidence []Evidence) {
	now := t.options.Clock()
	changedKeys := make(map[Key]bool)
	for i := range evidence {
		if t.mergeRecord(&evidence[i]) {
			changedKeys[evidence[i].Key()] = true
		}
	}
	for key := range changedKeys {
		t.withEntry(key, func(s *shard, e *entry, _ time.Time) {
			e.recomputeSums(now)
			t.evaluate(s, e, now)
		}, nil)
	}
}

// mergeRecord merges one record and reports whether the version's sums must be
// recomputed.
func (t *Tracker) mergeRecord(evidence *Evidence) bool {
	key := evidence.Key()
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	switch {
	case e == nil || evidence.Round > e.rule.Round:
		s.storePendingEvidence(evidence)
		return false
	case evidence.Round < e.rule.Round || evidence.Host == e.own.Host:
		return false
	}
	if !e.merge(evidence) {
		return false
	}
	t.recordChange(e, evidence.Host)
	if e.transfer(evidence.Host) {
		t.recordChange(e, e.own.Host)
	}
	return true
}
