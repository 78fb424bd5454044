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

// Set applies an upstream's entry at a revision of the store. An upstream that restarted has none
// of the state of its former incarnation: cached prompts, failures and leaving are reset. A late
// entry of a former incarnation is ignored. Within an incarnation, leaving is final.
func (f *Fleet) Set(u Upstream, revision storage.Revision) {
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
	if !m.removedAt.IsZero() && !m.lapsed && u.Sequence > 0 && u.Sequence <= m.Sequence {
		// A store that was restored from a backup lists upstreams that are gone.
		f.logEntry(zerolog.InfoLevel, "upstream-entry-old", &u, revision).Uint64("sequence", u.Sequence).Uint64("known_sequence", m.Sequence).Msg("")
		return
	}
	if u.Leaving && !m.Leaving {
		f.entryChanges.leaving.Add(1)
		f.log.WithLevel(m.logLevel()).Str("event", "upstream-leaving").Str("upstream", u.ID).Stringer("revision", revision).Int("in_flight", m.inFlight).Msg("")
	}
	leaving := m.Leaving || u.Leaving
	if m.Zone != u.Zone {
		s.index.stale = true
	}
	if m.Address != u.Address {
		s.setAddress(m, u.Address)
	}
	m.Upstream, m.revision = u, revision
	m.Leaving = leaving
	m.removedAt, m.lapsed = time.Time{}, false
	m.withdrawn = false
	m.updatedAt = boottime.Now()
	m.markCold(u.ColdFor, coldEntry, f.log)
}

// internStrings interns the strings that thousands of upstreams have in common, to save memory.
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

// add adds a member without any state in place of a former one of the same id. The caller holds
// the shard's lock.
func (s *shard) add(u *Upstream) *member {
	if former := s.members[u.ID]; former != nil {
		s.unindex(former)
	}
	m := &member{Upstream: *u, shard: s, name: u.exchangeName(), lease: ratelease.NewUpstreamID(u.incarnationID()), listedAt: boottime.Now()}
	m.Leaving = false
	s.members[u.ID] = m
	s.starts.count(u, 1)
	s.names[m.name] = m
	s.leases[m.lease] = m
	s.setAddress(m, m.Address)
	s.index.added = append(s.index.added, m)
	return m
}

// incarnationID identifies the incarnation in messages between hosts, so that the work and the
// cached parts of a former one aren't attributed to this one.
func (u *Upstream) incarnationID() string {
	if u.Incarnation == 0 {
		return u.ID
	}
	return u.ID + "/" + strconv.FormatInt(int64(u.Incarnation), 10)
}

// exchangeName returns the name of the incarnation in messages between hosts.
func (u *Upstream) exchangeName() exchange.IDHash { return exchange.HashID(u.incarnationID()) }

// guardUpstream returns the incarnation as package guard identifies it.
func (u *Upstream) guardUpstream() guard.Upstream {
	return guard.Upstream{ID: u.ID, Service: u.Service, Address: u.Address, Incarnation: quarantine.Incarnation(u.exchangeName())}
}

// withdrawFromOtherServices withdraws members of other services with the upstream's id: an
// upstream serves one service, the one in its newest entry.
func (f *Fleet) withdrawFromOtherServices(u Upstream, revision storage.Revision) {
	own := f.shard(u.Service)
	f.each(func(s *shard) {
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

// sameListingWindow is the time within which the entries of one listing are applied. If two
// upstreams in one listing have the same address, it isn't known which one is there.
const sameListingWindow = 500 * time.Millisecond

// markReplaced excludes the upstream that had the address of a new one: each address belongs to
// one upstream, and the entry of one that ended remains for seconds. The caller holds the shard's
// lock.
func (s *shard) markReplaced(u *Upstream, log zerolog.Logger) {
	former := s.addresses[u.Address]
	if former == nil || former.replaced || boottime.Since(former.listedAt) <= sameListingWindow {
		return
	}
	former.replaced = true
	log.WithLevel(former.logLevel()).Str("event", "upstream-replaced").Str("upstream", former.ID).Str("by", u.ID).Str("address", u.Address).Msg("")
}

// setAddress records the member as the last one listed at the address, and removes it from its
// former address. An empty address only removes it. The caller holds the shard's lock.
func (s *shard) setAddress(m *member, address string) {
	if s.addresses[m.Address] == m {
		delete(s.addresses, m.Address)
	}
	if address != "" {
		s.addresses[address] = m
	}
}

// endedEjection is how long an upstream that ended is avoided: its entry expires within that time.
const endedEjection = 4 * time.Second

// ejectEnded ejects an upstream whose process another host found to have ended. Otherwise each
// host would detect that by failed requests of its own.
func (f *Fleet) ejectEnded(name exchange.IDHash) {
	f.each(func(s *shard) {
		if m := s.names[name]; m != nil {
			m.ensureUsage().ejectedUntil = boottime.Now().Add(endedEjection)
		}
	})
}

// chosenMember returns the member that the choice was made of. It is nil if the member was removed
// or the upstream restarted since: the request's result doesn't apply to the new incarnation. The
// caller holds the shard's lock.
func (s *shard) chosenMember(c *choice) *member {
	m := s.members[c.upstream.ID]
	if m == nil || m.Incarnation != c.upstream.Incarnation {
		return nil
	}
	return m
}

// startCounts counts upstreams in total and those with a start time.
type startCounts struct{ withStart, total int }

// count adds the upstream n times.
func (c *startCounts) count(u *Upstream, n int) {
	c.total += n
	if u.Incarnation != 0 {
		c.withStart += n
	}
}

// mostHaveStart reports whether most upstreams have a start time.
func (c startCounts) mostHaveStart() bool { return 2*c.withStart > c.total }

// starts returns the counts over all services.
func (f *Fleet) starts() startCounts {
	var c startCounts
	f.each(func(s *shard) {
		c.withStart += s.starts.withStart
		c.total += s.starts.total
	})
	return c
}

// incarnationPrefix begins the label that connHost puts before an address.
const incarnationPrefix = "start-"

// connHost returns the host name under which the upstream's connections are pooled: the address,
// after a label of the incarnation. A connection to a former incarnation may never answer, and the
// connection pool distinguishes connections by this name alone.
func (u *Upstream) connHost() string {
	if u.Incarnation == 0 {
		return u.Address
	}
	return incarnationPrefix + strconv.FormatInt(int64(u.Incarnation), 10) + "." + u.Address
}

// dialAddress returns the address in a name that connHost made.
func dialAddress(host string) string {
	if !strings.HasPrefix(host, incarnationPrefix) {
		return host
	}
	_, address, _ := strings.Cut(host, ".")
	return address
}
