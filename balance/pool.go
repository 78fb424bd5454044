package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const poolShards = 64

// Options are the settings of a Pool.
type Options struct {
	// Host and Zone are this entry host's ID and availability zone.
	Host string
	Zone string
	// Clock is the source of time; nil means time.Now.
	Clock storage.Clock
	// Seed makes the random choices repeatable.
	Seed uint64
	// Selector is the chain; nil means NewSelector with the pool's index.
	Selector *Selector
	// Ejection says when upstreams are ejected.
	Ejection Ejection
	// Subset bounds which upstreams this host sends to.
	Subset Subset
	// AbsentFor is how long an upstream must be absent from the host list
	// before its return counts as a new incarnation; 0 means
	// DefaultAbsentFor.
	AbsentFor time.Duration
	// IndexBlocks bounds the prefix index for each upstream; 0 means
	// DefaultIndexBlocks.
	IndexBlocks int
}

// DefaultAbsentFor is the default of Options.AbsentFor. It is longer than the
// host list lags, so that an outdated list can't revive a leaving upstream.
const DefaultAbsentFor = time.Minute

// Outcome is how a request ended at an upstream.
type Outcome struct {
	// Err says that the upstream failed the request.
	Err bool
	// FirstToken is the time to the first token; 0 if there was none.
	FirstToken time.Duration
	// Refused says that the upstream didn't take the request now.
	Refused bool
	// Leaving says that the upstream answered that it takes no new work.
	Leaving bool
}

// Pool keeps the state of the upstreams that this host sends to. It is safe
// for concurrent use. Readers see immutable snapshots; each write takes the
// lock of the upstream's shard.
type Pool struct {
	options  Options
	selector *Selector
	index    *PrefixIndex
	shards   [poolShards]poolShard
	// members lists the entries in the host list; replaced by Update.
	members atomic.Pointer[[]*entry]
	// updating serialises Update.
	updating sync.Mutex
	hosts    atomic.Int64
	random   randomSources
}

type poolShard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.AbsentFor == 0 {
		options.AbsentFor = DefaultAbsentFor
	}
	p := &Pool{options: options}
	p.index = NewPrefixIndex(options.IndexBlocks, options.Clock)
	p.selector = options.Selector
	if p.selector == nil {
		p.selector = NewSelector(p.index)
	}
	for i := range p.shards {
		p.shards[i].entries = make(map[string]*entry)
	}
	p.members.Store(new([]*entry))
	p.random.seed(options.Seed)
	return p
}

// Index returns the pool's prefix index, for cache events and prompts sent.
func (p *Pool) Index() *PrefixIndex { return p.index }

// SetHosts sets the number of entry hosts that share the traffic; 1 before the
// first call.
func (p *Pool) SetHosts(n int) { p.hosts.Store(int64(max(1, n))) }

// SetSelector replaces the chain. It is called before the pool is used.
func (p *Pool) SetSelector(s *Selector) { p.selector = s }

// View returns the current snapshots of all members in the order of the host
// list. The slice is the caller's; the snapshots are shared.
func (p *Pool) View() []*Upstream {
	members := *p.members.Load()
	view := make([]*Upstream, len(members))
	for i, e := range members {
		view[i] = e.snapshot.Load()
	}
	return view
}

// Choose selects an upstream for the request. It doesn't reserve anything;
// the caller follows with Begin.
func (p *Pool) Choose(req *Request) (choice Choice, ok bool) {
	p.random.use(func(rnd *rand.Rand) {
		choice, ok = p.selector.Select(req, p.View(), p.options.Clock(), rnd)
	})
	return choice, ok
}

// Report takes in an upstream's load report, taken at the time now. Reports
// older than the latest one are ignored.
func (p *Pool) Report(id string, load upstream.Load, now time.Time) {
	takenAt := now.Add(-time.Duration(load.AgeMs) * time.Millisecond)
	p.change(id, func(e *entry) { e.report(load, takenAt) })
}

// SetLeaving records that the upstream leaves, as a fact with a version that
// rises with time, for example the table's revision; 0 stands for this host's
// own observation. It returns whether the fact was new, and so worth passing
// on.
//
// Leaving is sticky: no host list and no report undoes it. It ends when the
// upstream was absent from the host list for AbsentFor and then returns, which
// is a new incarnation. A fact with a version that the earlier incarnation
// already had doesn't apply to the new one; facts older than AbsentFor must
// not be passed on. A fact may come before the list that names the upstream;
// one that comes when the upstream was absent for AbsentFor is taken to be of
// the incarnation to come, whether the entry of the last one still stands or not.
func (p *Pool) SetLeaving(id string, version uint64) bool {
	shard := p.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e := shard.entries[id]
	if e == nil {
		e = &entry{absentSince: p.options.Clock()}
		shard.entries[id] = e
	}
	if now := p.options.Clock(); e.isOver(now, p.options.AbsentFor) {
		e.renew()
		e.absentSince = now
		p.index.Forget(id)
	}
	changed := e.leave(version)
	e.publish()
	return changed
}

// Begin counts a request as in flight. It returns false, and counts nothing,
// if the upstream is unknown or leaving by now: the request must not be sent.
func (p *Pool) Begin(id string) bool {
	begun := false
	p.change(id, func(e *entry) { begun = e.begin(p.options.Clock()) })
	return begun
}

// End takes in how a request ended that Begin counted.
func (p *Pool) End(id string, outcome Outcome) {
	p.change(id, func(e *entry) {
		e.end(outcome, p.options.Clock(), p.options.Ejection, p.jitter())
	})
}

// jitter returns a random number from 0 to 1.
func (p *Pool) jitter() (jitter float64) {
	p.random.use(func(rnd *rand.Rand) { jitter = rnd.Float64() })
	return jitter
}

// change runs f on the entry under its shard's lock and publishes the result.
func (p *Pool) change(id string, f func(e *entry)) {
	shard := p.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e := shard.entries[id]
	if e == nil {
		return
	}
	e.state.Hosts = int(p.hosts.Load())
	f(e)
	e.publish()
}

func (p *Pool) shard(id string) *poolShard {
	return &p.shards[rendezvous("", id)%poolShards]
}
