package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/draining"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Incarnation identifies a start of an upstream by its time in Unix milliseconds; 0 where the
// platform reports no start time and gives the upstream a new id at each start.
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
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Leaving is set if the upstream announced that it accepts no new requests.
	Leaving bool
	// ColdFor is the remaining time for which the upstream declared itself cold, counted from the
	// receipt of the entry.
	ColdFor time.Duration
	// Sequence numbers the upstream's entries; 0 where they aren't numbered.
	Sequence uint64
}

// Fleet holds this host's data on all upstreams. The data comes from the upstreams' entries in the
// store, from their answers and from other hosts. The upstreams of each service form a shard with a
// lock of its own.
type Fleet struct {
	// removalGrace is how long an upstream is still used after its entry was removed, since it still serves, and
	// since entries can expire while the store is unreachable and be written again later.
	removalGrace time.Duration
	// changedSince returns the earliest time at which the entry may have been removed whose removal is being
	// applied; nil if removals are applied as they are made.
	changedSince func() time.Time
	log          zerolog.Logger
	policy       *sendPolicy
	topology     zoneTopology
	// entryChanges counts the changes of entries that weren't logged yet.
	entryChanges entryChanges

	mu     sync.RWMutex
	shards map[string]*shard
}

// shard holds the upstreams of one service.
type shard struct {
	mu      sync.Mutex
	members map[string]*member
	// membersByAddress maps each address to the member that was last listed with it.
	membersByAddress map[string]*member
	// membersByHash maps the hashes that identify upstreams in messages between hosts to members.
	membersByHash map[exchange.IDHash]*member
	// membersByLease maps the ids that identify upstreams in leases to members. unreportedLimits
	// are the members whose rate limits have to be reported to the hub.
	membersByLease   map[ratelease.UpstreamID]*member
	unreportedLimits map[*member]struct{}
	// unreportedLeaving maps the members that stated to this host that they are leaving, and that
	// have to be reported to the hub, to the time of the statement. noticed are the members with a
	// noticeState.
	unreportedLeaving map[*member]time.Time
	noticed           map[*member]struct{}
	// inUse contains the members with requests of this host in flight. coldOrLimited contains those
	// that may be cold or rate-limited. Tasks that run several times a second visit only these
	// members.
	inUse         map[*member]struct{}
	coldOrLimited map[*member]struct{}
	// startCounts counts all members, and those with a start time.
	startCounts startCounts
	// remoteWork is the work in flight of the other hosts for each upstream, as of remoteWorkAt.
	remoteWork   exchange.Work
	remoteWorkAt time.Time
	// index finds members without a scan of all members. cachedPrompts tracks the prompt prefixes
	// that the members are assumed to have cached.
	index         memberIndex
	cachedPrompts *placement.CacheTracker[*member]
	// policy and topology are those of the fleet. coldBound bounds the requests to a cold upstream
	// of the service, and coldStart is how long an upstream is cold after its start; both are
	// declared by the operators.
	policy    *sendPolicy
	topology  *zoneTopology
	coldBound ratelease.ColdBound
	coldStart time.Duration
	// brittle is what the upstreams state about rejections. Its gain was updated last at brittleGainAt.
	brittle       notice.Brittle
	brittleGainAt time.Time
	// loadWatched is set while answers are counted by load, for which the hosts exchange the load of the upstreams.
	// loadLimit is the limit of a version that fails above some load.
	loadWatched bool
	loadLimit   versionLoadLimit
	// recentSlotLoad is the mean load by the upstreams' last reports to this host.
	recentSlotLoad recentLoad
	// runTimes are the times for which this host's requests are at the upstreams.
	runTimes notice.RunTimes
	// baseVersion is the version that serves requests while there is no roll-out; empty before the
	// first upstream is listed.
	baseVersion string
	// meanSlotLoad is the decayed mean, over all reports of upstreams, of the requests per slot.
	meanSlotLoad float64
	// servesPrompts is set if the upstreams are engines. prefillRates estimates the prefill rates
	// of their models. workByPriority is the decayed sum of the prefill times of new prompts for
	// each priority, meanPrefill the decayed mean prefill time of prompts that take at least half
	// that mean.
	servesPrompts bool
	// contended is set while an upstream stated within contendedRetention how long work takes on its
	// machine, which it shares; contendedAt is the time of the last statement.
	contended    bool
	contendedAt  time.Time
	prefillRates *placement.PrefillEstimator
	// remoteTimings are the prefill rates that other hosts measured, for models that this host
	// hasn't used yet.
	remoteTimings  exchange.Timings
	workByPriority [lowestPriority + 1]float64
	meanPrefill    time.Duration
	queueStats     queueStats
	engineStates   engineStates
	// sentPrefixes are the shared prefixes that this host sent, since its last report to the other
	// hosts, to upstreams that didn't have them cached by its own data.
	sentPrefixes exchange.SentPrefixes
	// rankAdmission distributes the requests that the rate limits permit among the ranks while the
	// limits are too low for all requests. permittedRate is the sum of this host's parts of the
	// upstreams' limits, in requests a second, as of permittedRateAt.
	rankAdmission   placement.RankAdmission
	permittedRate   float64
	permittedRateAt time.Time
	// meanRequestTime is the decayed mean of the time for which a request is in flight at its
	// upstream.
	meanRequestTime time.Duration
	// fetchRefusals is the number of engines that rejected the header for fetching since an engine
	// last accepted it. Nothing is fetched until fetchPausedUntil. fetchAccepted is set once an engine
	// accepted the header.
	fetchRefusals    int
	fetchAccepted    bool
	fetchPausedUntil time.Time
}

// NewFleet returns an empty fleet. After the removal of its entry an upstream is still used for
// removalGrace, unless it had announced that it is leaving.
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

func newShard(p *sendPolicy, t *zoneTopology) *shard {
	return &shard{
		policy: p, topology: t, members: make(map[string]*member), membersByAddress: make(map[string]*member),
		membersByHash: make(map[exchange.IDHash]*member), membersByLease: make(map[ratelease.UpstreamID]*member),
		inUse: make(map[*member]struct{}), coldOrLimited: make(map[*member]struct{}), unreportedLimits: make(map[*member]struct{}),
		unreportedLeaving: make(map[*member]time.Time), noticed: make(map[*member]struct{}),
		cachedPrompts: placement.NewCacheTracker[*member](placement.MaxCachedPrefixes), sentPrefixes: make(exchange.SentPrefixes), prefillRates: placement.NewPrefillEstimator(),
	}
}

// RemoveEntry records that an upstream's entry was removed. expiredInOutage is set if the entry may
// have expired because of an outage of the store.
func (f *Fleet) RemoveEntry(id string, revision storage.Revision, expiredInOutage bool) {
	f.eachShard(func(s *shard) {
		m := s.members[id]
		if m == nil || !m.removedAt.IsZero() {
			return
		}
		m.removedAt, m.expiredInOutage = boottime.Now(), expiredInOutage
		removal := draining.Removal{NotBefore: m.removedAt, ObservedAt: m.removedAt, ExpiredInOutage: expiredInOutage}
		if f.changedSince != nil {
			removal.NotBefore = f.changedSince()
		}
		m.usableUntil = removal.UsableUntil(f.removalGrace)
		f.entryChanges.removed.Add(1)
		f.log.WithLevel(m.logLevel()).Str("event", "upstream-removed").Str("upstream", id).Stringer("revision", revision).Bool("lapsed", expiredInOutage).Bool("leaving", m.Leaving).Int("in_flight", m.inFlight).
			Int64("listed_ms", m.removedAt.Sub(removal.NotBefore).Milliseconds()).Int64("usable_ms", max(0, m.usableUntil.Sub(m.removedAt)).Milliseconds()).Msg("")
	})
}

// currentEntry returns the upstream's entry. ok is false if the entry that the fleet uses has
// another revision.
func (f *Fleet) currentEntry(id string, revision storage.Revision) (u Upstream, ok bool) {
	f.eachShard(func(s *shard) {
		if m := s.members[id]; m != nil && m.revision == revision && m.removedAt.IsZero() && !m.withdrawn {
			u, ok = m.Upstream, true
		}
	})
	return u, ok
}

// RemoveUnlistedEntries records that the entries of all upstreams that aren't in the list were
// removed.
func (f *Fleet) RemoveUnlistedEntries(listed map[string]bool, revision storage.Revision, expiredInOutage bool) {
	var gone []string
	f.eachShard(func(s *shard) {
		for id := range s.members {
			if !listed[id] {
				gone = append(gone, id)
			}
		}
	})
	for _, id := range gone {
		f.RemoveEntry(id, revision, expiredInOutage)
	}
}

// WithdrawUpstream records that an upstream's entry can't be used. The upstream gets no new
// requests until it has a usable entry.
func (f *Fleet) WithdrawUpstream(id string, revision storage.Revision) {
	f.eachShard(func(s *shard) {
		if m := s.members[id]; m != nil {
			m.withdraw(f.log, revision)
		}
	})
}

func (f *Fleet) eachShard(do func(s *shard)) {
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

// DeleteOldRecords deletes the records of upstreams whose entries were removed longer than
// recordRetention ago and that have no requests in flight.
func (f *Fleet) DeleteOldRecords(now time.Time) {
	f.eachShard(func(s *shard) {
		for id, m := range s.members {
			if !m.removedAt.IsZero() && now.Sub(m.removedAt) > recordRetention && m.inFlight == 0 {
				s.unindex(m)
				delete(s.members, id)
			}
		}
	})
}

// HasUpstreams reports whether the fleet has a record of any upstream.
func (f *Fleet) HasUpstreams() bool {
	known := false
	f.eachShard(func(s *shard) { known = known || len(s.members) > 0 })
	return known
}

// hasAvailable reports whether this host may now send a request to an upstream that is in the
// regions and whose version matches.
func (f *Fleet) hasAvailable(service string, regions regionConstraint, matches func(version string) bool) bool {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, probed := boottime.Now(), 0
	for _, m := range s.members {
		if !regions.allows(m.Zone) {
			continue
		}
		if matches(m.Version) && m.acceptsRequests(now) {
			return true
		}
		if probed++; probed == maxAvailableProbes {
			break
		}
	}
	return false
}

// maxAvailableProbes bounds the number of upstreams that hasAvailable checks, in no particular
// order. When thousands of upstreams start at once, checking all would take longer than a request
// can wait.
const maxAvailableProbes = 256

// hasInService reports whether an upstream of the service that is in the regions and whose version
// matches is in service.
func (f *Fleet) hasInService(service string, regions regionConstraint, matches func(version string) bool) bool {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasInService(regions, matches)
}

func (s *shard) hasInService(regions regionConstraint, matches func(version string) bool) bool {
	now := boottime.Now()
	for _, m := range s.members {
		if regions.allows(m.Zone) && matches(m.Version) && m.inService(now) {
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
		if m.Version == version && m.inService(now) {
			n++
		}
	}
	return n
}

// BaseVersion returns the version that serves requests while there is no roll-out; empty if no
// upstream is in service. The first call chooses the version with the most upstreams. Another one
// is chosen, in the same way, only when no upstream of the chosen version is in service.
func (f *Fleet) BaseVersion(service string) string {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.baseVersion != "" && s.hasInService(regionConstraint{}, func(version string) bool { return version == s.baseVersion }) {
		return s.baseVersion
	}
	now := boottime.Now()
	counts := make(map[string]int)
	best := ""
	for _, m := range s.members {
		if !m.inService(now) {
			continue
		}
		counts[m.Version]++
		if counts[m.Version] > counts[best] || counts[m.Version] == counts[best] && m.Version < best {
			best = m.Version
		}
	}
	if best != "" {
		s.baseVersion = best
	}
	return best
}
