package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const poolShardCount = 64

// Options are the settings of a Pool.
type Options struct {
	// Host and Zone are this entry host's ID and availability zone.
	Host string
	Zone string
	// Clock returns the current time; nil means time.Now.
	Clock storage.Clock
	// Seed seeds the random selection, which makes it reproducible.
	Seed uint64
	// Selector is the chain that Choose uses; nil means NewSelector with the
	// pool's prefix index.
	Selector *Selector
	// Ejection configures when upstreams are ejected.
	Ejection Ejection
	// Subset limits the upstreams that this host sends to.
	Subset Subset
	// AbsentFor is how long an upstream must be absent from the host list for
	// its return to count as a new incarnation; 0 means DefaultAbsentFor.
	AbsentFor time.Duration
	// IndexBlocks is the maximum number of blocks per upstream in the prefix
	// index; 0 means DefaultIndexBlocks.
	IndexBlocks int
}

// DefaultAbsentFor is the default of Options.AbsentFor. It exceeds the lag of
// the host list, so that an outdated list can't end the leaving state of an
// upstream.
const DefaultAbsentFor = time.Minute

// Outcome is the result of a request at an upstream.
type Outcome struct {
	// Failed reports whether the request failed at the upstream.
	Failed bool
	// TimeToFirstToken is the time to the first token. It is 0 if there was
	// none.
	TimeToFirstToken time.Duration
	// Refused reports whether the upstream temporarily refused the request.
	Refused bool
	// Leaving reports whether the upstream answered that it takes no new
	// requests.
	Leaving bool
	// SentAt is when the request was sent. It is zero if that is unknown.
	SentAt time.Time
	// Withheld reports whether the request wasn't sent because the upstream stated
	// after Begin that it accepts none. It counts for nothing else.
	Withheld bool
}

// Pool holds the state of the upstreams that this host sends to. It is safe for
// concurrent use. Readers use immutable snapshots; each write takes the lock of
// the upstream's shard.
type Pool struct {
	options  Options
	selector *Selector
	index    *PrefixIndex
	shards   [poolShardCount]poolShard
	// members holds the entries of the listed upstreams; Update replaces it.
	members atomic.Pointer[[]*poolEntry]
	// updateMu serializes calls of Update.
	updateMu  sync.Mutex
	hostCount atomic.Int64
	random    randomSources
}

type poolShard struct {
	mu      sync.Mutex
	entries map[string]*poolEntry
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
		p.shards[i].entries = make(map[string]*poolEntry)
	}
	p.members.Store(new([]*poolEntry))
	p.random.seed(options.Seed)
	return p
}

// Index returns the pool's prefix index, to which callers report cache events
// and sent prompts.
func (p *Pool) Index() *PrefixIndex { return p.index }

// SetHosts sets the number of entry hosts that share the traffic. It is 1
// before the first call.
func (p *Pool) SetHosts(n int) { p.hostCount.Store(int64(max(1, n))) }

// SetSelector replaces the chain. It must be called before the pool is used.
func (p *Pool) SetSelector(s *Selector) { p.selector = s }

// View returns the current snapshots of the listed upstreams that this host sends
// to, in the order of their IDs. The caller owns the slice; the snapshots are
// shared.
func (p *Pool) View() []*Upstream {
	members := *p.members.Load()
	view := make([]*Upstream, len(members))
	for i, e := range members {
		view[i] = e.snapshot.Load()
	}
	return view
}

// Choose selects an upstream for the request; ok is false if there is none. It
// reserves no capacity; the caller must call Begin before it sends the request.
func (p *Pool) Choose(req *Request) (choice Choice, ok bool) {
	p.random.withSource(func(rnd *rand.Rand) {
		choice, ok = p.selector.Select(req, p.View(), p.options.Clock(), rnd)
	})
	return choice, ok
}

// Report applies an upstream's load report received at now. The report was taken
// load.AgeMs milliseconds before that. Reports taken before the last one are
// ignored.
func (p *Pool) Report(id string, load upstream.Load, now time.Time) {
	takenAt := now.Add(-time.Duration(load.AgeMs) * time.Millisecond)
	p.changeEntry(id, func(e *poolEntry) { e.applyReport(load, takenAt) })
}

// SetLeaving applies a leaving fact: it marks the upstream as leaving. The
// versions of an upstream's leaving facts must increase over time, like the
// table's revision; version 0 stands for this host's own observation. SetLeaving
// reports whether the state changed, in which case callers forward the fact to
// other hosts.
//
// The leaving state ends only with the incarnation, that is, when the upstream
// returns after an absence from the host list of at least AbsentFor; no host list
// and no report ends it earlier. A version that was received for the earlier
// incarnation doesn't apply to the new one, and callers must not forward facts
// older than AbsentFor. A fact may arrive before the host list that contains the
// upstream. A fact that arrives after an absence of AbsentFor applies to the next
// incarnation, whether or not the entry of the previous one still exists.
func (p *Pool) SetLeaving(id string, version uint64) bool {
	shard := p.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e := shard.entries[id]
	if e == nil {
		e = &poolEntry{absentSince: p.options.Clock()}
		shard.entries[id] = e
	}
	if now := p.options.Clock(); e.incarnationEnded(now, p.options.AbsentFor) {
		e.reset()
		e.absentSince = now
		p.index.Forget(id)
	}
	changed := e.markLeaving(version)
	e.publish()
	return changed
}

// SetBackoff records that the upstream accepts no requests of this host for the
// duration, and reports whether it backed off before.
func (p *Pool) SetBackoff(id string, d time.Duration) (before bool) {
	p.changeEntry(id, func(e *poolEntry) {
		now := p.options.Clock()
		before = !e.state.Backoff.IsOver(now)
		e.state.Backoff.Extend(d, now)
	})
	return before
}

// MaySend reports whether a request that Begin counted may still be sent: the
// upstream is still in the host list and hasn't stated since that it is leaving or
// accepts no requests.
func (p *Pool) MaySend(id string) bool {
	permitted := true
	p.changeEntry(id, func(e *poolEntry) {
		permitted = e.getsRequests() && !e.state.Backoff.Active(p.options.Clock())
	})
	return permitted
}

// BackoffWait returns the time until the first of the upstreams that could serve
// the request, without those in Exclude, accepts one; ok is false unless all of them back off.
func (p *Pool) BackoffWait(req *Request) (wait time.Duration, ok bool) {
	now := p.options.Clock()
	list := LeavingFilter{}.Filter(req, VersionFilter{}.Filter(req, p.View(), now), now)
	for _, u := range (ExcludedFilter{}).Filter(req, list, now) {
		w := u.Backoff.Wait(now)
		if w == 0 {
			return 0, false
		}
		if !ok || w < wait {
			wait, ok = w, true
		}
	}
	return wait, ok
}

// Begin counts a request as in flight. If the upstream is unknown, absent from the
// host list or leaving, or backs off, it returns false and the request must not be
// sent.
func (p *Pool) Begin(id string) bool {
	begun := false
	p.changeEntry(id, func(e *poolEntry) { begun = e.begin(p.options.Clock()) })
	return begun
}

// End records the outcome of a request that Begin counted, and reports whether it
// ended the upstream's backoff.
func (p *Pool) End(id string, outcome Outcome) (backoffEnded bool) {
	p.changeEntry(id, func(e *poolEntry) {
		backoffEnded = e.end(outcome, p.options.Clock(), p.options.Ejection, p.jitter())
	})
	return backoffEnded
}

// jitter returns a random number from 0 to 1.
func (p *Pool) jitter() (jitter float64) {
	p.random.withSource(func(rnd *rand.Rand) { jitter = rnd.Float64() })
	return jitter
}

// changeEntry calls f with the upstream's entry under the lock of its shard,
// and publishes the changed state. It does nothing if there is no entry.
func (p *Pool) changeEntry(id string, f func(e *poolEntry)) {
	shard := p.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e := shard.entries[id]
	if e == nil {
		return
	}
	e.state.Hosts = int(p.hostCount.Load())
	f(e)
	e.publish()
}

func (p *Pool) shard(id string) *poolShard {
	return &p.shards[rendezvous("", id)%poolShardCount]
}
