package rollout

import (
	"slices"
	"time"
)

// Export returns all evidence that this host has, for other hosts to merge.
func (t *Tracker) Export() []Evidence {
	evidence, _ := t.ExportSince(0)
	return evidence
}

// ExportSince returns the evidence that changed after the mark, which an
// earlier call returned, and the mark for the next call.
func (t *Tracker) ExportSince(mark uint64) (evidence []Evidence, next uint64) {
	next = t.changes.Load()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			evidence = e.export(evidence, mark)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(evidence, compareEvidence)
	return evidence, next
}

// sentSegments is how many of the last periods ExportOwn sends: the earlier ones
// were sent when they were new.
const sentSegments = 2

// ExportOwn is ExportSince for this host's own evidence and its last periods
// only. It suits hosts that all exchange with each other; one that missed
// messages, or came late, needs Export from time to time.
func (t *Tracker) ExportOwn(mark uint64) (evidence []Evidence, next uint64) {
	all, next := t.ExportSince(mark)
	for i := range all {
		if all[i].Host == t.options.Host {
			all[i].keepSegments(sentSegments)
			evidence = append(evidence, all[i])
		}
	}
	return evidence, next
}

// Merge takes in evidence of other hosts. It may come repeatedly and out of
// order, and evidence about a rule that this host doesn't have yet is kept.
func (t *Tracker) Merge(evidence []Evidence) {
	now := t.options.Clock()
	touched := make(map[Key]bool)
	for i := range evidence {
		if t.mergeOne(&evidence[i]) {
			touched[evidence[i].Key()] = true
		}
	}
	for key := range touched {
		t.with(key, func(s *shard, e *entry, _ time.Time) {
			e.total(now)
			t.judge(s, e, now)
		}, nil)
	}
}

// mergeOne merges one record and says whether its sums must be recomputed.
func (t *Tracker) mergeOne(evidence *Evidence) bool {
	key := evidence.Key()
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	switch {
	case e == nil || evidence.Epoch > e.rule.Epoch:
		s.keepEarly(evidence)
		return false
	case evidence.Epoch < e.rule.Epoch || evidence.Host == e.own.Host:
		return false
	}
	if !e.merge(evidence) {
		return false
	}
	t.mark(e, evidence.Host)
	if e.transfer(evidence.Host) {
		t.mark(e, e.own.Host)
	}
	return true
}
