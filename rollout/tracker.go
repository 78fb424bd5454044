package rollout

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	trackerShards = 16
	// retiredKept bounds, for each shard, the versions without a rule whose
	// evidence and stops are kept.
	retiredKept = 256
)

// Tracker holds the rules, the evidence and the stops on one host. It is safe
// for concurrent use; no method does I/O.
type Tracker struct {
	options Options
	hosts   atomic.Int64
	// changes numbers the changes of evidence, for ExportSince.
	changes atomic.Uint64
	shards  [trackerShards]shard
}

// shard holds the versions whose keys hash to it.
type shard struct {
	mu      sync.Mutex
	entries map[Key]*entry
	stops   map[Key]Stop
	// early is evidence of epochs that this host has no rule for yet.
	early map[Key]map[string]*Evidence
}

// New returns a Tracker without rules, which permits every version.
func New(options Options) *Tracker {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	t := &Tracker{options: options}
	t.hosts.Store(1)
	for i := range t.shards {
		t.shards[i] = shard{
			entries: make(map[Key]*entry),
			stops:   make(map[Key]Stop),
			early:   make(map[Key]map[string]*Evidence),
		}
	}
	return t
}

func (t *Tracker) shard(key Key) *shard {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key.Model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key.Version)
	return &t.shards[d.Sum64()%trackerShards]
}

// SetHosts sets the number of entry hosts, at least 1. It divides the pace
// and, unless Options.Granted is set, the budgets: a host takes its part of a
// budget once, when it first uses the rule, and later numbers don't change
// it. That keeps the sum within the budget only if no more than n incarnations
// of hosts take part in the epoch. With Options.Granted it always holds.
func (t *Tracker) SetHosts(n int) {
	t.hosts.Store(int64(max(1, n)))
}

func (t *Tracker) hostCount() int { return int(t.hosts.Load()) }

// Take takes one answer of the version from the exposure budget. It returns
// false if the version is stopped, this host's part of the budget is spent, or
// too many answers are under way without evidence; the request must then go
// to another version. It always returns true for a version without a rule, and
// for one that is cleared and not stopped.
func (t *Tracker) Take(model, version string) bool {
	return t.take(Key{model, version}, true)
}

// TakeBound is Take for a request that can't go to another version, such as
// one of a session that is bound to this one: too many answers under way are
// no reason to refuse it.
func (t *Tracker) TakeBound(model, version string) bool {
	return t.take(Key{model, version}, false)
}

func (t *Tracker) take(key Key, paced bool) bool {
	taken := false
	t.with(key, func(s *shard, e *entry, now time.Time) {
		if _, stopped := s.stopped(e.rule.Key()); stopped {
			return
		}
		t.claimShare(e)
		before := e.own.weight()
		taken = e.take(now, t.hostCount(), paced)
		if e.own.weight() != before {
			t.mark(e, e.own.Host)
		}
	}, func(s *shard) {
		taken = true
	})
	return taken
}

// Return gives back an answer that was taken and never sent to an upstream.
func (t *Tracker) Return(model, version string) {
	t.with(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		e.giveBack()
		t.mark(e, e.own.Host)
	}, nil)
}

// Abandon ends an answer that was taken, may have run, and shows nothing of the
// version, for example because the caller left. It stays counted against the
// budget.
func (t *Tracker) Abandon(model, version string) {
	t.with(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		e.abandon()
		t.mark(e, e.own.Host)
	}, nil)
}

// Observe takes in what an answer showed. Each answer taken ends with one call
// of Observe, Abandon or Return.
func (t *Tracker) Observe(model, version string, outcome Outcome) {
	t.with(Key{model, version}, func(s *shard, e *entry, now time.Time) {
		e.settle()
		t.count(s, e, outcomeCounters(outcome, e.rule.MaxLatencyMs), now)
	}, nil)
}

// Rate takes in a rating that came after the answer was observed.
func (t *Tracker) Rate(model, version string, rating float64) {
	t.with(Key{model, version}, func(s *shard, e *entry, now time.Time) {
		var delta Counters
		delta.rate(ratingBucket(rating), 1)
		t.count(s, e, &delta, now)
	}, nil)
}

func (t *Tracker) count(s *shard, e *entry, delta *Counters, now time.Time) {
	e.count(delta, now)
	t.mark(e, e.own.Host)
	t.judge(s, e, now)
}

// outcomeCounters turns an outcome into counters of one answer.
func outcomeCounters(outcome Outcome, maxLatencyMs int) *Counters {
	c := &Counters{Answers: 1}
	if outcome.Err {
		c.Errors = 1
	}
	if outcome.FirstToken > 0 {
		c.Timed = 1
	}
	limit := time.Duration(maxLatencyMs) * time.Millisecond
	if limit > 0 && outcome.FirstToken > limit {
		c.Slow = 1
	}
	if outcome.Rated {
		c.rate(ratingBucket(outcome.Rating), 1)
	}
	return c
}

func ratingBucket(rating float64) int {
	return min(RatingBuckets-1, max(0, int(rating*RatingBuckets)))
}

// Cleared says whether the evidence showed that the version keeps its limits.
// A version without a rule counts as cleared. A cleared version can still be
// stopped.
func (t *Tracker) Cleared(model, version string) bool {
	cleared := false
	t.with(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		cleared = e.cleared
	}, func(*shard) {
		cleared = true
	})
	return cleared
}

// claimShare takes the host's part of the budget, once for each epoch, where
// parts aren't granted.
func (t *Tracker) claimShare(e *entry) {
	if t.options.Granted || e.own.Granted > 0 || e.rule.Budget <= 0 {
		return
	}
	e.own.Granted = uint64(e.rule.Budget / t.hostCount())
}

// judge runs the tests and records a stop.
func (t *Tracker) judge(s *shard, e *entry, now time.Time) {
	if _, stopped := s.stopped(e.rule.Key()); stopped {
		return
	}
	if stop, bad := e.verdict(now); bad {
		s.addStop(stop)
	}
}

// mark notes that a host's evidence changed.
func (t *Tracker) mark(e *entry, host string) {
	e.changed[host] = t.changes.Add(1)
}

// with runs f on the entry of a version that has a rule, and otherwise none.
func (t *Tracker) with(key Key, f func(s *shard, e *entry, now time.Time), none func(s *shard)) {
	now := t.options.Clock()
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil {
		f(s, e, now)
		return
	}
	if none != nil {
		none(s)
	}
}

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
