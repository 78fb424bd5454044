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

// Set takes an upstream's entry at a revision of the store. An upstream that started
// again begins with nothing of its former incarnation, neither what it kept nor how it
// failed nor that it was leaving; an entry of a former one that arrives late changes
// nothing. Within an incarnation leaving is sticky: one that leaves never comes back.
func (f *Fleet) Set(u Upstream, revision storage.Revision) {
	u.shareTexts()
	f.withdrawElsewhere(u, revision)
	s := f.shard(u.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[u.ID]
	switch {
	case m == nil:
		s.replaceAt(&u, f.log)
		m = s.add(&u)
		f.tally.listed.Add(1)
		f.logEntry(zerolog.DebugLevel, "upstream-listed", &u, revision).Msg("")
	case u.Incarnation < m.Incarnation:
		f.logEntry(zerolog.InfoLevel, "upstream-entry-late", &u, revision).Int64("known", int64(m.Incarnation)).Msg("")
		return
	case u.Incarnation > m.Incarnation:
		f.tally.restarted.Add(1)
		f.logEntry(m.level(), "upstream-restarted", &u, revision).Int64("former", int64(m.Incarnation)).Int("in_flight", m.inFlight).Msg("")
		m = s.add(&u)
	}
	if !m.removedAt.IsZero() && !m.lapsed && u.Sequence > 0 && u.Sequence <= m.Sequence {
		// A store that came back from a copy lists upstreams that are gone.
		f.logEntry(zerolog.InfoLevel, "upstream-entry-old", &u, revision).Uint64("sequence", u.Sequence).Uint64("known_sequence", m.Sequence).Msg("")
		return
	}
	if u.Leaving && !m.Leaving {
		f.tally.leaving.Add(1)
		f.log.WithLevel(m.level()).Str("event", "upstream-leaving").Str("upstream", u.ID).Stringer("revision", revision).Int("in_flight", m.inFlight).Msg("")
	}
	leaving := m.Leaving || u.Leaving
	if m.Zone != u.Zone {
		s.roster.stale = true
	}
	if m.Address != u.Address {
		s.setAddress(m, u.Address)
	}
	m.Upstream, m.revision = u, revision
	m.Leaving = leaving
	m.removedAt, m.lapsed = time.Time{}, false
	m.withdrawn = false
	m.heardAt = boottime.Now()
	m.noteCold(u.ColdFor, coldEntry, f.log)
}

// shareTexts has the texts that thousands of upstreams have alike stand in memory once.
func (u *Upstream) shareTexts() {
	for _, text := range []*string{&u.Service, &u.Zone, &u.Version} {
		*text = unique.Make(*text).Value()
	}
}

func (f *Fleet) logEntry(level zerolog.Level, event string, u *Upstream, revision storage.Revision) *zerolog.Event {
	return f.log.WithLevel(level).Str("event", event).Str("upstream", u.ID).Str("service", u.Service).
		Str("address", u.Address).Str("zone", u.Zone).Str("version", u.Version).Int64("incarnation", int64(u.Incarnation)).
		Bool("leaving", u.Leaving).Stringer("revision", revision)
}

// add puts a member of which nothing is known in place of any other of its id. The
// shard's lock is held.
func (s *shard) add(u *Upstream) *member {
	if former := s.members[u.ID]; former != nil {
		s.forget(former)
	}
	m := &member{Upstream: *u, shard: s, name: u.exchangeName(), lease: ratelease.UpstreamOf(u.name()), listedAt: boottime.Now()}
	m.Leaving = false
	s.members[u.ID] = m
	s.starts.count(u, 1)
	s.names[m.name] = m
	s.leases[m.lease] = m
	s.setAddress(m, m.Address)
	s.roster.added = append(s.roster.added, m)
	return m
}

// name stands for the incarnation in what hosts tell each other: the work and the kept
// parts of a former one aren't this one's.
func (u *Upstream) name() string {
	if u.Incarnation == 0 {
		return u.ID
	}
	return u.ID + "/" + strconv.FormatInt(int64(u.Incarnation), 10)
}

// exchangeName stands for the incarnation in messages between hosts.
func (u *Upstream) exchangeName() exchange.Name { return exchange.NameOf(u.name()) }

// guarded is the incarnation as the guard knows it.
func (u *Upstream) guarded() guard.Upstream {
	return guard.Upstream{ID: u.ID, Service: u.Service, Address: u.Address, Incarnation: quarantine.Incarnation(u.exchangeName())}
}

// withdrawElsewhere withdraws what other services know under the upstream's id: an
// upstream serves one service, the one that its newest entry names.
func (f *Fleet) withdrawElsewhere(u Upstream, revision storage.Revision) {
	own := f.shard(u.Service)
	f.each(func(s *shard) {
		if m := s.members[u.ID]; s != own && m != nil && m.Incarnation <= u.Incarnation {
			m.withdraw(f.log, revision)
		}
	})
}

// withdraw keeps new requests away until the upstream's entry names it again. The
// shard's lock is held.
func (m *member) withdraw(log zerolog.Logger, revision storage.Revision) {
	if m.withdrawn {
		return
	}
	m.withdrawn = true
	log.Warn().Str("event", "upstream-withdrawn").Str("upstream", m.ID).Str("service", m.Service).Stringer("revision", revision).Msg("")
}

// sameTable is the time in which the entries of one table are taken in. Of two upstreams at
// one address in it, it isn't known which one is there.
const sameTable = 500 * time.Millisecond

// replaceAt withdraws the upstreams that were at the address of a new one: each address is
// one upstream's, and the entry of one that ended stays for seconds. The shard's lock is
// held.
func (s *shard) replaceAt(u *Upstream, log zerolog.Logger) {
	former := s.addresses[u.Address]
	if former == nil || former.replaced || boottime.Since(former.listedAt) <= sameTable {
		return
	}
	former.replaced = true
	log.WithLevel(former.level()).Str("event", "upstream-replaced").Str("upstream", former.ID).Str("by", u.ID).Str("address", u.Address).Msg("")
}

// setAddress notes that the member is the last one that was listed at the address, and at no
// other; one without an address is nowhere. The shard's lock is held.
func (s *shard) setAddress(m *member, address string) {
	if s.addresses[m.Address] == m {
		delete(s.addresses, m.Address)
	}
	if address != "" {
		s.addresses[address] = m
	}
}

// endedTime is how long an upstream that ended is passed over: its entry lapses by then.
const endedTime = 4 * time.Second

// noteEnded takes in that a host found an upstream's process gone. Without that each host
// would meet it by its own requests, some tries for each of them.
func (f *Fleet) noteEnded(name exchange.Name) {
	f.each(func(s *shard) {
		if m := s.names[name]; m != nil {
			m.used().ejectedUntil = boottime.Now().Add(endedTime)
		}
	})
}

// chosen is the member that the choice was made of; nil if it was forgotten, or if the
// upstream started again since: how the request ends says nothing of the new incarnation.
// The shard's lock is held.
func (s *shard) chosen(c *choice) *member {
	m := s.members[c.upstream.ID]
	if m == nil || m.Incarnation != c.upstream.Incarnation {
		return nil
	}
	return m
}

// starts counts the upstreams that told their start, among others.
type starts struct{ told, all int }

// count adds the upstream n times.
func (c *starts) count(u *Upstream, n int) {
	c.all += n
	if u.Incarnation != 0 {
		c.told += n
	}
}

// usual says that most upstreams tell their start.
func (c starts) usual() bool { return 2*c.told > c.all }

// starts counts the upstreams that are remembered.
func (f *Fleet) starts() starts {
	var c starts
	f.each(func(s *shard) {
		c.told += s.starts.told
		c.all += s.starts.all
	})
	return c
}

// incarnationMark begins the label that connHost puts before an address.
const incarnationMark = "start-"

// connHost names the upstream's connections in the pool: the address, after a label of
// the incarnation. A connection to a former incarnation may be silent for good, and the
// pool knows connections by this name alone.
func (u *Upstream) connHost() string {
	if u.Incarnation == 0 {
		return u.Address
	}
	return incarnationMark + strconv.FormatInt(int64(u.Incarnation), 10) + "." + u.Address
}

// dialAddress is the address in a name that connHost made.
func dialAddress(host string) string {
	if !strings.HasPrefix(host, incarnationMark) {
		return host
	}
	_, address, _ := strings.Cut(host, ".")
	return address
}
