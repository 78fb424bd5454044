package gateway

import (
	"strconv"
	"strings"
	"time"
	"unique"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

// ApplyEntry applies an upstream's entry of the given revision. If the upstream restarted, the
// state of its former incarnation is dropped: its cached prompts, its failures and its announcement
// that it is leaving. An entry of a former incarnation that arrives late is ignored. Within an
// incarnation, an upstream that is leaving stays so.
func (f *Fleet) ApplyEntry(u Upstream, revision storage.Revision) {
	u.internStrings()
	f.withdrawFromOtherServices(u, revision)
	s := f.shard(u.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[u.ID]
	switch {
	case m == nil:
		s.markReplaced(&u, f.log)
		m = s.add(&u)
		f.entryChanges.listed.Add(1)
		f.logEntry(zerolog.DebugLevel, "upstream-listed", &u, revision).Msg("")
	case u.Incarnation < m.Incarnation:
		f.logEntry(zerolog.InfoLevel, "upstream-entry-late", &u, revision).Int64("known", int64(m.Incarnation)).Msg("")
		return
	case u.Incarnation > m.Incarnation:
		f.entryChanges.restarted.Add(1)
		f.logEntry(m.logLevel(), "upstream-restarted", &u, revision).Int64("former", int64(m.Incarnation)).Int("in_flight", m.inFlight).Msg("")
		m = s.add(&u)
	}
	if !m.removedAt.IsZero() && !m.expiredInOutage && u.Sequence > 0 && u.Sequence <= m.Sequence {
		// A store that was restored from a backup lists upstreams that have terminated since the backup.
		f.logEntry(zerolog.InfoLevel, "upstream-entry-old", &u, revision).Uint64("sequence", u.Sequence).Uint64("known_sequence", m.Sequence).Msg("")
		return
	}
	entryLeaving := u.Leaving
	u.Leaving = m.Leaving // stays so within an incarnation
	if m.Zone != u.Zone {
		s.index.stale = true
	}
	if m.Address != u.Address {
		s.setAddress(m, u.Address)
	}
	m.Upstream, m.revision = u, revision
	if entryLeaving && !m.Leaving {
		f.entryChanges.leaving.Add(1)
		m.setLeaving(leavingSourceEntry, m.logLevel(), f.log)
	}
	m.removedAt, m.usableUntil, m.expiredInOutage = time.Time{}, time.Time{}, false
	m.withdrawn = false
	m.updatedAt = boottime.Now()
	m.markCold(u.ColdFor, coldReasonEntry, f.log)
}

// internStrings replaces strings that are equal for thousands of upstreams by shared copies, to
// save memory.
func (u *Upstream) internStrings() {
	for _, text := range []*string{&u.Service, &u.Zone, &u.Version} {
		*text = unique.Make(*text).Value()
	}
}

func (f *Fleet) logEntry(level zerolog.Level, event string, u *Upstream, revision storage.Revision) *zerolog.Event {
	return f.log.WithLevel(level).Str("event", event).Str("upstream", u.ID).Str("service", u.Service).
		Str("address", u.Address).Str("zone", u.Zone).Str("version", u.Version).Int64("incarnation", int64(u.Incarnation)).
		Bool("leaving", u.Leaving).Stringer("revision", revision)
}

// add adds a member without any state. It replaces a member with the same id, if there is one. The
// caller holds the shard's lock.
func (s *shard) add(u *Upstream) *member {
	if former := s.members[u.ID]; former != nil {
		s.unindex(former)
	}
	m := &member{Upstream: *u, shard: s, idHash: u.exchangeHash(), leaseID: ratelease.NewUpstreamID(u.incarnationID()), listedAt: boottime.Now()}
	m.Leaving = false
	s.members[u.ID] = m
	s.startCounts.count(u, 1)
	s.membersByHash[m.idHash] = m
	s.membersByLease[m.leaseID] = m
	s.setAddress(m, m.Address)
	s.index.added = append(s.index.added, m)
	return m
}

// incarnationID returns the id of the incarnation in messages between hosts. It differs between the
// incarnations of an upstream, so that the work and the cached parts of a former incarnation aren't
// attributed to this one.
func (u *Upstream) incarnationID() string {
	if u.Incarnation == 0 {
		return u.ID
	}
	return u.ID + "/" + strconv.FormatInt(int64(u.Incarnation), 10)
}

// exchangeHash returns the hash of the incarnation's id, which identifies it in messages between
// hosts.
func (u *Upstream) exchangeHash() exchange.IDHash { return exchange.HashID(u.incarnationID()) }

// guardUpstream returns the incarnation as package guard identifies it.
func (u *Upstream) guardUpstream() guard.Upstream {
	return guard.Upstream{ID: u.ID, Service: u.Service, Address: u.Address, Incarnation: quarantine.Incarnation(u.exchangeHash())}
}

// withdrawFromOtherServices withdraws the members of other services that have the upstream's id,
// since an upstream serves only the service in its newest entry.
func (f *Fleet) withdrawFromOtherServices(u Upstream, revision storage.Revision) {
	own := f.shard(u.Service)
	f.eachShard(func(s *shard) {
		if m := s.members[u.ID]; s != own && m != nil && m.Incarnation <= u.Incarnation {
			m.withdraw(f.log, revision)
		}
	})
}

// withdraw excludes the member from new requests until it has a usable entry again. The caller
// holds the shard's lock.
func (m *member) withdraw(log zerolog.Logger, revision storage.Revision) {
	if m.withdrawn {
		return
	}
	m.withdrawn = true
	log.Warn().Str("event", "upstream-withdrawn").Str("upstream", m.ID).Str("service", m.Service).Stringer("revision", revision).Msg("")
}

// sameListingWindow is the time within which the entries of one listing of the table are applied.
// If two upstreams in one listing have the same address, it isn't known which of them listens
// there.
const sameListingWindow = 500 * time.Millisecond

// markReplaced excludes the upstream that was listed before with the address of a new upstream from
// requests. Only one upstream listens at an address, and the entry of a terminated upstream
// remains for seconds. The caller holds the shard's lock.
func (s *shard) markReplaced(u *Upstream, log zerolog.Logger) {
	former := s.membersByAddress[u.Address]
	if former == nil || former.replaced || boottime.Since(former.listedAt) <= sameListingWindow {
		return
	}
	former.replaced = true
	log.WithLevel(former.logLevel()).Str("event", "upstream-replaced").Str("upstream", former.ID).Str("by", u.ID).Str("address", u.Address).Msg("")
}

// setAddress records the member as the last one listed with the address instead of with m.Address.
// If address is empty, it only removes the record of m.Address. The caller holds the shard's lock.
func (s *shard) setAddress(m *member, address string) {
	if s.membersByAddress[m.Address] == m {
		delete(s.membersByAddress, m.Address)
	}
	if address != "" {
		s.membersByAddress[address] = m
	}
}

// terminatedEjection is how long a terminated upstream is ejected. Its entry expires within that
// time.
const terminatedEjection = 4 * time.Second

// ejectTerminated ejects an upstream whose process terminated, as this or another host detected.
// Without this, each host would detect the termination only by failed requests of its own.
func (f *Fleet) ejectTerminated(idHash exchange.IDHash) {
	f.eachShard(func(s *shard) {
		if m := s.membersByHash[idHash]; m != nil {
			now := boottime.Now()
			m.ensureUsage().ejectedUntil = now.Add(terminatedEjection)
			if s.brittle.Active(now) {
				m.logBrittleEnd(now, f.log)
			}
		}
	})
}

// chosenMember returns the member of the chosen upstream. It is nil if the member was deleted since
// the choice, or if the upstream restarted, since the request's result doesn't apply to the new
// incarnation. The caller holds the shard's lock.
func (s *shard) chosenMember(c *choice) *member {
	m := s.members[c.upstream.ID]
	if m == nil || m.Incarnation != c.upstream.Incarnation {
		return nil
	}
	return m
}

// startCounts holds the number of upstreams in total and of those with a start time.
type startCounts struct{ withStart, total int }

// count adds n to the total and, if the upstream has a start time, to withStart.
func (c *startCounts) count(u *Upstream, n int) {
	c.total += n
	if u.Incarnation != 0 {
		c.withStart += n
	}
}

// mostHaveStart reports whether most upstreams have a start time.
func (c startCounts) mostHaveStart() bool { return 2*c.withStart > c.total }

// startCounts returns the counts over the upstreams of all services.
func (f *Fleet) startCounts() startCounts {
	var c startCounts
	f.eachShard(func(s *shard) {
		c.withStart += s.startCounts.withStart
		c.total += s.startCounts.total
	})
	return c
}

// incarnationPrefix begins the label that connHost puts before an address.
const incarnationPrefix = "start-"

// connHost returns the host name under which the transport pools the upstream's connections: a
// label that identifies the incarnation, followed by the address. The label keeps connections to a
// former incarnation, on which no response may ever arrive, from being used for this one, since the
// transport distinguishes connections by this name alone.
func (u *Upstream) connHost() string {
	if u.Incarnation == 0 {
		return u.Address
	}
	return incarnationPrefix + strconv.FormatInt(int64(u.Incarnation), 10) + "." + u.Address
}

// dialAddress returns the address to dial for a host name that connHost returned.
func dialAddress(host string) string {
	if !strings.HasPrefix(host, incarnationPrefix) {
		return host
	}
	_, address, _ := strings.Cut(host, ".")
	return address
}
