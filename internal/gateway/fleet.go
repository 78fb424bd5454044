package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Incarnation is the start time of an upstream in Unix milliseconds; 0 where the platform gives
// each start a new id and reports no time.
type Incarnation int64

// Upstream describes one incarnation of an upstream by its entry in the store.
type Upstream struct {
	// ID and Incarnation together are unique for each start of the upstream.
	ID          string
	Incarnation Incarnation
	Service     string
	Address     string
	Zone        string
	Version     string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving is set if it accepts no new requests.
	Leaving bool
	// ColdFor is the remaining time for which the upstream declared itself cold.
	ColdFor time.Duration
	// Sequence numbers the upstream's entries; 0 where they aren't numbered.
	Sequence uint64
}

// Fleet holds this host's data on the upstreams, from the store's entries and from the upstreams'
// answers. The upstreams of each service are a shard under its own lock.
type Fleet struct {
	// removalGrace is how long an upstream whose entry was removed is still used. Entries can
	// expire while the store is unreachable and be restored later.
	removalGrace time.Duration
	log          zerolog.Logger
	policy       *sendPolicy
	topology     zoneTopology
	// entryChanges counts the changes that weren't logged yet.
	entryChanges entryChanges

	mu     sync.RWMutex
	shards map[string]*shard
}

// shard holds the upstreams of one service.
type shard struct {
	mu      sync.Mutex
	members map[string]*member
	// addresses maps each address to the member that was listed there last.
	addresses map[string]*member
	// names maps the members by their names in messages between hosts.
	names map[exchange.IDHash]*member
	// leases maps the members by their ids in leases. unreportedLimits are those whose rate limits
	// have to be reported to the hub.
	leases           map[ratelease.UpstreamID]*member
	unreportedLimits map[*member]struct{}
	// active are the members with requests of this host in flight, leased those that may be cold
	// or rate-limited. Periodic tasks that run several times a second visit these only.
	active map[*member]struct{}
	leased map[*member]struct{}
	// starts counts the members with a start time.
	starts startCounts
	// remoteWork is the other hosts' work in flight by upstream as of remoteWorkAt.
	remoteWork   exchange.Work
	remoteWorkAt time.Time
	// index finds members without a scan of all. cachedPrompts are the prompts that the members
	// are assumed to have cached.
	index         memberIndex
	cachedPrompts *placement.CacheTracker[*member]
	// policy is the fleet's. coldBound and coldStart are what the operators declared for the
	// service's cold upstreams.
	policy    *sendPolicy
	topology  *zoneTopology
	coldBound ratelease.Bound
	coldStart time.Duration
	// base is the version in service without a roll-out; empty before the first upstream is
	// listed.
	base string
	// meanLoad is the decayed mean of the loads per slot that the upstreams reported.
	meanLoad float64
	// servesPrompts is set if the upstreams are engines. rates are the prefill rates of their
	// models, workByPriority is the decayed work of new prompts by priority, meanPrefill the
	// decayed mean of the longer ones.
	servesPrompts bool
	rates         *placement.PrefillEstimator
	// remoteTimings are the other hosts' measurements for models that weren't used yet.
	remoteTimings  exchange.Timings
	workByPriority [lowestPriority + 1]float64
	meanPrefill    time.Duration
	queueStats     queueStats
	// sentPrefixes are the shared prefixes that upstreams were sent for the first time, as far as
	// this host knows, since the last report to the other hosts.
	sentPrefixes exchange.Reads
	// ration distributes rate limits that don't suffice by rank. supply is this host's part of the
	// limits, in requests a second, as of suppliedAt.
	ration     placement.RankAdmission
	supply     float64
	suppliedAt time.Time
	// meanRequestTime is the decayed mean of the times that requests spend at upstreams.
	meanRequestTime time.Duration
}

// NewFleet returns an empty fleet. An upstream whose entry was removed is used for removalGrace
// longer, unless it had announced that it leaves.
func NewFleet(removalGrace time.Duration, log zerolog.Logger) *Fleet {
	return &Fleet{removalGrace: removalGrace, log: log, policy: newSendPolicy(""), shards: make(map[string]*shard)}
}

func (f *Fleet) shard(service string) *shard {
	f.mu.RLock()
	s := f.shards[service]
	f.mu.RUnlock()
	if s != nil {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shards[service] == nil {
		f.shards[service] = newShard(f.policy, &f.topology)
	}
	return f.shards[service]
}

func newShard(a *sendPolicy, g *zoneTopology) *shard {
	return &shard{
		policy: a, topology: g, members: make(map[string]*member), addresses: make(map[string]*member),
		names: make(map[exchange.IDHash]*member), leases: make(map[ratelease.UpstreamID]*member),
		active: make(map[*member]struct{}), leased: make(map[*member]struct{}), unreportedLimits: make(map[*member]struct{}),
		cachedPrompts: placement.NewCacheTracker[*member](placement.MaxCachedPrefixes), sentPrefixes: make(exchange.Reads), rates: placement.NewPrefillEstimator(),
	}
}

// lapseGrace is how long an upstream is used whose entry was removed during an outage of the
// store: entries expire then although their upstreams are alive, and are restored about two
// seconds after the store. With a shorter grace a service had no upstream for the last half second
// of these.
const lapseGrace = 2200 * time.Millisecond

// Remove records that an upstream's entry was removed. lapsed is set if the entry may have expired
// because of an outage of the store.
func (f *Fleet) Remove(id string, revision storage.Revision, lapsed bool) {
	f.each(func(s *shard) {
		m := s.members[id]
		if m == nil || !m.removedAt.IsZero() {
			return
		}
		m.removedAt = boottime.Now()
		m.lapsed = lapsed
		f.entryChanges.removed.Add(1)
		f.log.WithLevel(m.logLevel()).Str("event", "upstream-removed").Str("upstream", id).Stringer("revision", revision).Bool("lapsed", lapsed).Int("in_flight", m.inFlight).Msg("")
	})
}

// entry returns the content of the upstream's entry at the revision if that is in use.
func (f *Fleet) entry(id string, revision storage.Revision) (u Upstream, ok bool) {
	f.each(func(s *shard) {
		if m := s.members[id]; m != nil && m.revision == revision && m.removedAt.IsZero() && !m.withdrawn {
			u, ok = m.Upstream, true
		}
	})
	return u, ok
}

// RemoveUnlisted removes all upstreams that aren't in the list.
func (f *Fleet) RemoveUnlisted(listed map[string]bool, revision storage.Revision, lapsed bool) {
	var gone []string
	f.each(func(s *shard) {
		for id := range s.members {
			if !listed[id] {
				gone = append(gone, id)
			}
		}
	})
	for _, id := range gone {
		f.Remove(id, revision, lapsed)
	}
}

// Withdraw records that an upstream's entry no longer describes a usable one. The upstream gets no
// new requests until its entry does again.
func (f *Fleet) Withdraw(id string, revision storage.Revision) {
	f.each(func(s *shard) {
		if m := s.members[id]; m != nil {
			m.withdraw(f.log, revision)
		}
	})
}

func (f *Fleet) each(do func(s *shard)) {
	f.eachService(func(_ string, s *shard) { do(s) })
}

func (f *Fleet) eachService(do func(service string, s *shard)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for service, s := range f.shards {
		s.mu.Lock()
		do(service, s)
		s.mu.Unlock()
	}
}

// recordRetention is how long a removed upstream's record is kept for requests that are still in
// flight there.
const recordRetention = time.Minute

// Sweep deletes the records of upstreams that were removed longer than recordRetention ago.
func (f *Fleet) Sweep(now time.Time) {
	f.each(func(s *shard) {
		for id, m := range s.members {
			if !m.removedAt.IsZero() && now.Sub(m.removedAt) > recordRetention && m.inFlight == 0 {
				s.unindex(m)
				delete(s.members, id)
			}
		}
	})
}

// HasUpstreams reports whether any upstream is listed.
func (f *Fleet) HasUpstreams() bool {
	known := false
	f.each(func(s *shard) { known = known || len(s.members) > 0 })
	return known
}

// hasAvailable reports whether this host may now send a request to an upstream in the regions
// whose version matches.
func (f *Fleet) hasAvailable(service string, regions regionConstraint, matches func(version string) bool) bool {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, probed := boottime.Now(), 0
	for _, m := range s.members {
		if !regions.allows(m.Zone) {
			continue
		}
		if matches(m.Version) && m.acceptsRequests(now, f.removalGrace) {
			return true
		}
		if probed++; probed == maxAvailableProbes {
			break
		}
	}
	return false
}

// maxAvailableProbes bounds the upstreams that hasAvailable checks, in no particular order: when
// thousands start at once, checking all takes longer than a request has.
const maxAvailableProbes = 256

// hasInService reports whether the service has an upstream in service in the regions whose version
// matches.
func (f *Fleet) hasInService(service string, regions regionConstraint, matches func(version string) bool) bool {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasInService(regions, matches, f.removalGrace)
}

func (s *shard) hasInService(regions regionConstraint, matches func(version string) bool, grace time.Duration) bool {
	now := boottime.Now()
	for _, m := range s.members {
		if regions.allows(m.Zone) && matches(m.Version) && m.inService(now, grace) {
			return true
		}
	}
	return false
}

// countVersion returns the number of upstreams of a version that are in service.
func (f *Fleet) countVersion(service, version string) int {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	n := 0
	for _, m := range s.members {
		if m.Version == version && m.inService(now, f.removalGrace) {
			n++
		}
	}
	return n
}

// Base returns the version in service: the most frequent one at the first call, until no upstream
// of it is in service; then the most frequent of the others. It is empty if there is none.
func (f *Fleet) Base(service string) string {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.base != "" && s.hasInService(regionConstraint{}, func(version string) bool { return version == s.base }, f.removalGrace) {
		return s.base
	}
	now := boottime.Now()
	counts := make(map[string]int)
	best := ""
	for _, m := range s.members {
		if !m.inService(now, f.removalGrace) {
			continue
		}
		counts[m.Version]++
		if counts[m.Version] > counts[best] || counts[m.Version] == counts[best] && m.Version < best {
			best = m.Version
		}
	}
	if best != "" {
		s.base = best
	}
	return best
}
