package rollout

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trackerShards is the number of parts of a Tracker with a lock of their own.
const trackerShards = 16

// Tracker holds the rules, the evidence and the stops on one host. It is safe
// for concurrent use; no method does I/O.
type Tracker struct {
	options Options
	hosts   atomic.Int64
	// changes numbers the changes of evidence, for ExportSince.
	changes atomic.Uint64
	shards  [trackerShards]shard
	// wanted has an entry while a part of a budget is to be claimed.
	wanted chan struct{}
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
	t := &Tracker{options: options, wanted: make(chan struct{}, 1)}
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
