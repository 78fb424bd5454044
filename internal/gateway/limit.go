package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// limitLogged is the limit of an upstream that the log knows of.
type limitLogged struct {
	limit ratelease.Limit
	// since is when it began; zero without one.
	since time.Time
}

// namedLimit is what is known of the limit that an upstream's answers name.
type namedLimit struct {
	ratelease.Named
	logged limitLogged
	// bucket is what this host may send of it.
	bucket ratelease.Bucket
}

// named returns what is known of the member's limit, to note something.
func (m *member) named() *namedLimit {
	if m.limit == nil {
		m.limit = &namedLimit{}
		m.shard.leased[m] = struct{}{}
	}
	return m.limit
}

// noChange is the part by which a limit changes that isn't logged.
const noChange = 0.1

// limited says whether the upstream has a limit.
func (m *member) limited(now time.Time) bool {
	return m.limit != nil && m.limit.Limited(m.shard.access.contactNow(), now)
}

// mayAdd says whether this host may send the upstream a request as far as it names a limit.
func (m *member) mayAdd(now time.Time) bool {
	return !m.limited(now) || m.limit.bucket.Room(m.allowance(now), now)
}

// allowance is what this host may send of the upstream's limit.
func (m *member) allowance(now time.Time) ratelease.Allowance {
	if share, ok := m.shard.access.share(m.lease, now); ok {
		return m.limit.Limit().Allowance(share)
	}
	return m.shard.access.lone(m.lease, now)
}

// rationed says whether a request of the rank is turned away so that more urgent ones get
// what is left: all upstreams that would take it name limits. The shard's lock is held.
func (s *shard) rationed(list candidateList, rank int, now time.Time) bool {
	for _, m := range list.members {
		if !m.limited(now) {
			return false
		}
	}
	if now.Sub(s.suppliedAt) >= supplyAge {
		s.suppliedAt, s.supply = now, 0
		for m := range s.leased {
			if m.limited(now) {
				s.supply += m.allowance(now).Rate
			}
		}
	}
	return !s.ration.Admits(rank, s.supply, rand.Float64(), now)
}

// supplyAge is how long the sum of what this host may send of limits is used.
const supplyAge = 200 * time.Millisecond

// limitWait is when a request that met limits should come back: when something is left again
// here, or another host may have some.
func (f *Fleet) limitWait(service string) time.Duration {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wait := boottime.Now(), longLimitWait
	for m := range s.leased {
		if !m.limited(now) {
			continue
		}
		if until, ok := m.limit.bucket.Wait(m.allowance(now), now); ok {
			wait = min(wait, until)
		}
	}
	return max(wait, shortLimitWait)
}

// shortLimitWait and longLimitWait bound the time after which callers come back that met
// limits.
const (
	shortLimitWait = 200 * time.Millisecond
	longLimitWait  = time.Second
)

// limitHeader is what an answer's head says of a limit.
type limitHeader struct {
	values []string
	// proven says that the upstream ran the request: only then the lack of a limit tells
	// that it has none.
	proven bool
}

// observeLimit takes in what an answer's head says of its upstream's limit.
func (f *Fleet) observeLimit(c *choice, header limitHeader) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.chosen(c); m != nil {
		m.observeLimit(header, c.at, boottime.Now(), f.log)
	}
}

// observeLimit takes in an answer to a request that was sent at a time.
func (m *member) observeLimit(header limitHeader, sentAt, now time.Time, log zerolog.Logger) {
	limit, ok := ratelease.ParseLimit(header.values)
	limited := m.limited(now)
	if len(header.values) > 0 && !ok {
		log.Warn().Str("event", "limit-unreadable").Str("upstream", m.ID).Str("service", m.Service).Strs("values", header.values).Msg("")
		if !limited {
			return
		}
		limit, ok = m.limit.Limit(), true // it still says that it has one
	}
	say := false
	switch {
	case ok && limit.Binds():
		say = m.named().Observe(limit, now)
	case limited && header.proven:
		say = m.limit.ObserveNone(sentAt, now)
	}
	if say {
		m.shard.limitNews[m] = struct{}{}
	}
	m.logLimit(now, log)
}

// limitWords are what the hub is to be told of limits.
func (f *Fleet) limitWords() []ratelease.Word {
	var words []ratelease.Word
	now := boottime.Now()
	f.each(func(s *shard) {
		for m := range s.limitNews {
			words = append(words, m.named().Say(m.lease, now))
		}
		clear(s.limitNews)
	})
	return words
}

// knownLimits are what a hub is told that knows nothing.
func (f *Fleet) knownLimits() []ratelease.Word {
	var words []ratelease.Word
	now := boottime.Now()
	f.each(func(s *shard) {
		for m := range s.leased {
			if m.limited(now) {
				words = append(words, m.limit.Say(m.lease, now))
			}
		}
	})
	return words
}

// takeLimits takes what the hub knows of upstreams' limits; whole says that it is all.
func (f *Fleet) takeLimits(words []ratelease.Word, whole bool) {
	now := boottime.Now()
	told := make(map[ratelease.Upstream]bool, len(words))
	f.each(func(s *shard) {
		for _, word := range words {
			told[word.Upstream] = true
			if m := s.leases[word.Upstream]; m != nil {
				m.named().Take(word, now)
				m.logLimit(now, f.log)
			}
		}
		if !whole {
			return
		}
		for u, m := range s.leases {
			if m.limit != nil && m.limit.Told() && !told[u] {
				m.limit.Take(ratelease.Word{Upstream: u, Ended: true}, now)
				m.logLimit(now, f.log)
			}
		}
	})
}

// logLimit tells of a limit that began, changed or ended.
func (m *member) logLimit(now time.Time, log zerolog.Logger) {
	if m.limit == nil {
		return
	}
	known, limited, limit := &m.limit.logged, m.limited(now), m.limit.Limit()
	event := func(name string) *zerolog.Event {
		return log.Warn().Str("event", name).Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).Bool("told", m.limit.Told())
	}
	switch {
	case limited && known.since.IsZero():
		event("upstream-limited").Float64("limit", float64(limit)).Bool("first", true).Msg("")
		*known = limitLogged{limit: limit, since: now}
	case limited && math.Abs(float64(limit-known.limit)) > noChange*float64(known.limit):
		event("upstream-limited").Float64("limit", float64(limit)).Bool("first", false).Msg("")
		known.limit = limit
	case !limited && !known.since.IsZero():
		event("upstream-unlimited").Float64("limit", float64(known.limit)).Int64("for_ms", now.Sub(known.since).Milliseconds()).Msg("")
		*known = limitLogged{}
		m.limit.Forget()
	}
}
