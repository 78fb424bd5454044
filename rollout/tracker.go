package rollout

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trackerShards is the number of shards of a Tracker, each with its own lock.
const trackerShards = 16

// Tracker holds the rules, the evidence and the stops on one host. It is safe
// for concurrent use; no method but ClaimGrants does I/O.
type Tracker struct {
	options Options
	hosts   atomic.Int64
	// lastChange is the number of the last change of evidence, for ExportSince.
	lastChange atomic.Uint64
	shards     [trackerShards]shard
	// grantNeeded has a buffer of one element, which is sent when this host
	// needs a further part of a budget.
	grantNeeded chan struct{}
}

// shard holds the state of the versions whose keys hash to it.
type shard struct {
	mu      sync.Mutex
	entries map[Key]*entry
	stops   map[Key]Stop
	// pendingEvidence holds, by version and host, the evidence of rounds for
	// which this host has no rule.
	pendingEvidence map[Key]map[string]*Evidence
}

// New returns a Tracker without rules, which allows every version.
func New(options Options) *Tracker {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	t := &Tracker{options: options, grantNeeded: make(chan struct{}, 1)}
	t.hosts.Store(1)
	for i := range t.shards {
		t.shards[i] = shard{
			entries:         make(map[Key]*entry),
			stops:           make(map[Key]Stop),
			pendingEvidence: make(map[Key]map[string]*Evidence),
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

// SetHosts sets the number of entry hosts, at least 1. The pacing bounds are
// divided by it and, unless Options.GrantedOnly is set, the budgets too: a host
// computes its part of a budget once, when it first uses the rule, and later
// calls of SetHosts don't change it. The sum of the parts then stays within the
// budget only if no more than n hosts take part in the round, a restarted host
// counted again. With Options.GrantedOnly the sum always stays within it.
func (t *Tracker) SetHosts(n int) {
	t.hosts.Store(int64(max(1, n)))
}

func (t *Tracker) hostCount() int { return int(t.hosts.Load()) }

// evaluate runs the tests unless the version is stopped, and stores the stop if
// a limit is violated.
func (t *Tracker) evaluate(s *shard, e *entry, now time.Time) {
	if _, stopped := s.stopped(e.rule.Key()); stopped {
		return
	}
	if stop, violated := e.runTests(now); violated {
		s.addStop(stop)
	}
}

// recordChange records that a host's evidence changed, for ExportSince.
func (t *Tracker) recordChange(e *entry, host string) {
	e.lastChanges[host] = t.lastChange.Add(1)
}

// withEntry locks the version's shard and calls f with the version's entry, or
// noRule, which may be nil, if the version has no rule.
func (t *Tracker) withEntry(key Key, f func(s *shard, e *entry, now time.Time), noRule func(s *shard)) {
	now := t.options.Clock()
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil {
		f(s, e, now)
		return
	}
	if noRule != nil {
		noRule(s)
	}
}
