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

// Incarnation is the start of an upstream, in Unix milliseconds; 0 where the platform
// gives each start an id of its own and tells no time.
type Incarnation int64

// Upstream is one incarnation of an upstream as the store lists it.
type Upstream struct {
	// ID and Incarnation together are different for each start of the upstream.
	ID          string
	Incarnation Incarnation
	Service     string
	Address     string
	Zone        string
	Version     string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving says that it takes no new work.
	Leaving bool
	// ColdFor is how much longer the upstream said that it is cold.
	ColdFor time.Duration
	// Sequence numbers its entries; 0 where they aren't numbered.
	Sequence uint64
}

// Fleet keeps what this host knows of the upstreams: the store's list and what
// their answers show. Each service's upstreams are a shard under its own lock.
type Fleet struct {
	// removalGrace is how long an upstream whose entry vanished is still used.
	// Entries can lapse while the store is out of reach and come back.
	removalGrace time.Duration
	log          zerolog.Logger
	access       *access
	geography    geography
	// tally counts the changes that the log wasn't told of yet.
	tally tally

	mu     sync.RWMutex
	shards map[string]*shard
}

// shard holds the upstreams of one service.
type shard struct {
	mu      sync.Mutex
	members map[string]*member
	// addresses are the members that were listed last at each address.
	addresses map[string]*member
	// names are the members by what hosts call them to each other.
	names map[exchange.Name]*member
	// leases are the members by what stands for them in leases, limitNews those of whose
	// limits the hub is to be told.
	leases    map[ratelease.Upstream]*member
	limitNews map[*member]struct{}
	// active are the members that have requests of this host, leased those that may be cold
	// or limited: what is done a few times a second looks at these alone.
	active map[*member]struct{}
	leased map[*member]struct{}
	// starts counts the members that told their start.
	starts starts
	// others is what the other hosts' requests in flight ask of the upstreams, as of
	// othersAt.
	others   exchange.Work
	othersAt time.Time
	// roster finds members without a look at all of them, kept are the prompts that they are
	// believed to keep.
	roster roster
	kept   *placement.Kept[*member]
	// access is the fleet's; bound and coldStart are what the operators declared of the
	// service's cold upstreams.
	access    *access
	geography *geography
	bound     ratelease.Bound
	coldStart time.Duration
	// base is the version in service without a roll-out; empty before the first
	// upstream is listed.
	base string
	// typicalLoad is the decayed mean of the loads per slot that the upstreams
	// reported.
	typicalLoad float64
	// prompts says that the upstreams are engines. rates are how fast their models read,
	// urgency is the decayed work of new prompts by priority, meanReading the decayed mean
	// of the longer ones.
	prompts bool
	rates   *placement.Rates
	// heard is what other hosts told of models' paces and wasn't asked for yet.
	heard       exchange.Timings
	urgency     [leastUrgent + 1]float64
	meanReading time.Duration
	waits       waits
	// reads are the shared parts that upstreams were sent for the first time, as far as
	// this host knows, since the other hosts were told.
	reads exchange.Reads
	// ration shares limits that don't suffice; supply is what this host may send of them, in
	// requests a second, as of suppliedAt.
	ration     placement.Ration
	supply     float64
	suppliedAt time.Time
	// meanHeld is the decayed mean of the times for which upstreams have requests.
	meanHeld time.Duration
}

// NewFleet returns an empty fleet. An upstream whose entry was removed is used for
// removalGrace longer; one that said that it leaves is not.
func NewFleet(removalGrace time.Duration, log zerolog.Logger) *Fleet {
	return &Fleet{removalGrace: removalGrace, log: log, access: newAccess(""), shards: make(map[string]*shard)}
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
		f.shards[service] = newShard(f.access, &f.geography)
	}
	return f.shards[service]
}

func newShard(a *access, g *geography) *shard {
	return &shard{
		access: a, geography: g, members: make(map[string]*member), addresses: make(map[string]*member),
		names: make(map[exchange.Name]*member), leases: make(map[ratelease.Upstream]*member),
		active: make(map[*member]struct{}), leased: make(map[*member]struct{}), limitNews: make(map[*member]struct{}),
		kept: placement.NewKept[*member](placement.MaxKept), reads: make(exchange.Reads), rates: placement.NewRates(),
	}
}

// lapseGrace is how long an upstream is used whose entry vanished in an outage of the store:
// entries lapse then though their upstreams live, and are back about two seconds after
// the store. Without it a service had no upstream for the last half second of these.
const lapseGrace = 2200 * time.Millisecond

// Remove notes that an upstream's entry vanished; lapsed says that it may have done so
// because of an outage of the store.
func (f *Fleet) Remove(id string, revision storage.Revision, lapsed bool) {
	f.each(func(s *shard) {
		m := s.members[id]
		if m == nil || !m.removedAt.IsZero() {
			return
		}
		m.removedAt = boottime.Now()
		m.lapsed = lapsed
		f.tally.removed.Add(1)
		f.log.WithLevel(m.level()).Str("event", "upstream-removed").Str("upstream", id).Stringer("revision", revision).Bool("lapsed", lapsed).Int("in_flight", m.inFlight).Msg("")
	})
}

// entry returns what the upstream's entry of the revision says, if that is in use.
func (f *Fleet) entry(id string, revision storage.Revision) (u Upstream, ok bool) {
	f.each(func(s *shard) {
		if m := s.members[id]; m != nil && m.revision == revision && m.removedAt.IsZero() && !m.withdrawn {
			u, ok = m.Upstream, true
		}
	})
	return u, ok
}

// Keep removes all upstreams that aren't in the list.
func (f *Fleet) Keep(listed map[string]bool, revision storage.Revision, lapsed bool) {
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

// Withdraw notes that an upstream's entry no longer names one to use. It gets no new
// request until its entry does again.
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

// forgetAfter is how long a removed upstream's record is kept for requests
// that are still in flight there.
const forgetAfter = time.Minute

// Sweep drops the records of upstreams that are gone for good.
func (f *Fleet) Sweep(now time.Time) {
	f.each(func(s *shard) {
		for id, m := range s.members {
			if !m.removedAt.IsZero() && now.Sub(m.removedAt) > forgetAfter && m.inFlight == 0 {
				s.forget(m)
				delete(s.members, id)
			}
		}
	})
}

// Known says whether any upstream is listed.
func (f *Fleet) Known() bool {
	known := false
	f.each(func(s *shard) { known = known || len(s.members) > 0 })
	return known
}

// opens says whether this host may send a request to an upstream of its homes whose version
// fits now.
func (f *Fleet) opens(service string, at homes, fits func(version string) bool) bool {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, looked := boottime.Now(), 0
	for _, m := range s.members {
		if !at.allow(m.Zone) {
			continue
		}
		if fits(m.Version) && m.open(now, f.removalGrace) {
			return true
		}
		if looked++; looked == opensProbes {
			break
		}
	}
	return false
}

// opensProbes bounds the upstreams that are looked at for an open one, in no order: of
// thousands that start at once, looking at all takes longer than a request has.
const opensProbes = 256

// serves says whether the service has an upstream in the homes that takes work and whose
// version fits.
func (f *Fleet) serves(service string, at homes, fits func(version string) bool) bool {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serves(at, fits, f.removalGrace)
}

func (s *shard) serves(at homes, fits func(version string) bool, grace time.Duration) bool {
	now := boottime.Now()
	for _, m := range s.members {
		if at.allow(m.Zone) && fits(m.Version) && m.takesWork(now, grace) {
			return true
		}
	}
	return false
}

// count is the number of upstreams of a version that take work.
func (f *Fleet) count(service, version string) int {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	n := 0
	for _, m := range s.members {
		if m.Version == version && m.takesWork(now, f.removalGrace) {
			n++
		}
	}
	return n
}

// Base is the version in service: the most frequent one when it is first asked
// for, until no upstream of it takes work; then the most frequent of the others.
// It is empty if none is left.
func (f *Fleet) Base(service string) string {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.base != "" && s.serves(homes{}, func(version string) bool { return version == s.base }, f.removalGrace) {
		return s.base
	}
	now := boottime.Now()
	counts := make(map[string]int)
	best := ""
	for _, m := range s.members {
		if !m.takesWork(now, f.removalGrace) {
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
