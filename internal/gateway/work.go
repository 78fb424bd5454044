package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
)

// Work is the load of an upstream by requests in flight: for an engine the milliseconds of prefill
// of their prompts, for a plain service the number of requests. Requests of one service differ by
// a factor of a hundred: the prefill of thousands of tokens keeps an engine busy for as long as
// dozens of short prompts.

const (
	// requestTimeGain is the weight of a new request in the mean request time.
	requestTimeGain = 0.05
	// prefillGain is the weight of a new prompt in the distribution of work by priority.
	prefillGain = 0.02
)

// prefill is a prompt that was sent to an engine and isn't answered yet.
type prefill struct {
	work     time.Duration
	priority int
	// beginsAt is when the engine is expected to begin with it: the time at which it was sent plus
	// the work queued ahead of it.
	beginsAt time.Time
}

// startRequest counts a request as in flight at the upstream.
func (m *member) startRequest(c *choice) {
	m.inFlight++
	m.shard.active[m] = struct{}{}
	if c.criteria.prompt == nil {
		return
	}
	c.prefill = &prefill{work: c.placed.PrefillTime, priority: c.criteria.priority, beginsAt: c.chosenAt.Add(c.ahead)}
	m.ensureUsage().prefills = append(m.ensureUsage().prefills, c.prefill)
	m.shard.servesPrompts = true
	m.shard.observePrefill(c.prefill)
	m.recordCached(c)
}

// endRequest reverts what startRequest counted.
func (m *member) endRequest(c *choice) {
	if m.inFlight--; m.inFlight == 0 {
		delete(m.shard.active, m)
	}
	if c.prefill != nil {
		// The answer never began.
		m.removePrefill(c)
		m.shard.cachedPrompts.Remove(m, c.criteria.keys[c.cachedParts:]...)
	}
}

// removePrefill removes the choice's prompt from the engine's outstanding prompts.
func (m *member) removePrefill(c *choice) {
	u := m.ensureUsage()
	u.prefills = slices.DeleteFunc(u.prefills, func(r *prefill) bool { return r == c.prefill })
	c.prefill = nil
}

// headReceived records that the upstream has begun its answer, so that the prefill, which took the
// given time, is over. The rest, a step of the batch for each token, doesn't delay other prompts
// noticeably.
func (f *Fleet) headReceived(c *choice, took time.Duration) {
	if c.prefill == nil {
		return
	}
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.chosenMember(c); m != nil {
		m.removePrefill(c)
		m.ensureUsage().lastPrefillEnd = boottime.Now()
	}
	c.prefill = nil
	s.queueStats.observe(took, c.placed.ExpectedUnqueued)
	if c.ahead < c.placed.PrefillTime/paceSampleDivisor {
		s.rates.Observe(c.criteria.model, c.placed.UncachedTokens, took, boottime.Now())
	}
}

// paceSampleDivisor: an answer is used as a sample of its model's prefill rate if the estimated
// work ahead of it was less than a fourth of its own.
const paceSampleDivisor = 4

// minRemainingFraction is the least fraction of a prefill that counts as remaining while its answer
// hasn't begun: an engine that is late is slower or has more work than is known.
const minRemainingFraction = 0.25

// remaining returns the engine's remaining work for the i-th prompt of this host. The first prompt
// is in progress from the time at which the engine was expected to begin with it, or from the end
// of the previous one. When each host assumed its own prompt to be in progress at once, although
// the engine processes one after the other, hosts reported a third of the engine's work to each
// other.
func (m *member) remaining(i int, now time.Time) time.Duration {
	u := m.usageSnapshot()
	r := u.prefills[i]
	if i > 0 {
		return r.work
	}
	since := r.beginsAt
	if u.lastPrefillEnd.After(since) {
		since = u.lastPrefillEnd
	}
	least := time.Duration(minRemainingFraction * float64(r.work))
	return min(r.work, max(least, r.work-now.Sub(since)))
}

// remoteRemaining returns the engine's remaining work for the other hosts: what they reported less
// the time since then.
func (m *member) remoteRemaining(now time.Time) time.Duration {
	s := m.shard
	age := now.Sub(s.remoteWorkAt)
	if age > exchange.WorkAge {
		return 0
	}
	return max(0, time.Duration(s.remoteWork[m.name]*float64(time.Millisecond))-age)
}

// workAhead returns the time for which an engine processes other prompts before one of the
// priority: those of the same or a higher priority, and the rest of the one in progress. Of other
// hosts' work only the sum is known; it is assumed to have the same distribution of priorities as
// this host's own.
func (m *member) workAhead(priority int, now time.Time) time.Duration {
	urgent, rest := time.Duration(0), time.Duration(0)
	for i, r := range m.usageSnapshot().prefills {
		if r.priority <= priority {
			urgent += m.remaining(i, now)
		} else {
			rest += m.remaining(i, now)
		}
	}
	remote := m.remoteRemaining(now)
	urgentRemote := time.Duration(m.shard.urgentShare(priority) * float64(remote))
	rest += remote - urgentRemote
	return urgent + urgentRemote + min(rest, m.shard.meanPrefill/2)
}

// observePrefill adds a new prompt's work to the distribution by priority and to the mean.
func (s *shard) observePrefill(r *prefill) {
	for p := range s.workByPriority {
		s.workByPriority[p] *= 1 - prefillGain
	}
	s.workByPriority[r.priority] += prefillGain * float64(r.work)
	if r.work > s.meanPrefill/2 {
		s.meanPrefill += time.Duration(prefillGain * float64(r.work-s.meanPrefill))
	}
}

// urgentShare returns the fraction of the service's work that has the priority or a higher one.
func (s *shard) urgentShare(priority int) float64 {
	sum, urgent := 0.0, 0.0
	for p, work := range s.workByPriority {
		sum += work
		if p <= priority {
			urgent += work
		}
	}
	if sum == 0 {
		return 1
	}
	return urgent / sum
}

// work returns this host's work in flight by upstream.
func (f *Fleet) work() exchange.Work {
	now := boottime.Now()
	work := make(exchange.Work)
	f.each(func(s *shard) {
		for m := range s.active {
			if w := math.Round(m.work(now)); w >= minReportedWork {
				work[m.name] = w
			}
		}
	})
	return work
}

// work returns the load of the upstream by this host's requests in flight.
func (m *member) work(now time.Time) float64 {
	if !m.shard.servesPrompts {
		return float64(m.inFlight)
	}
	left := time.Duration(0)
	for i := range m.usageSnapshot().prefills {
		left += m.remaining(i, now)
	}
	return float64(left) / float64(time.Millisecond)
}

// recordCached records that the upstream will have the prompt cached. Shared parts that weren't
// cached there before are reported to the other hosts.
func (m *member) recordCached(c *choice) {
	w := &c.criteria
	m.shard.cachedPrompts.Add(m, w.keys...)
	if shared := w.prompt.SharedParts; c.cachedParts < shared {
		m.shard.sentPrefixes[m.name] = append(m.shard.sentPrefixes[m.name], w.keys[shared-1])
	}
}

// cachedParts returns the number of a prompt's leading parts that the engine has cached.
func (m *member) cachedParts(keys []placement.PrefixKey) int {
	return m.shard.cachedPrompts.CachedParts(m, keys)
}

// takeSentPrefixes returns the shared prefixes that upstreams were sent for the first time since
// the last call.
func (f *Fleet) takeSentPrefixes() exchange.Reads {
	prefixes := make(exchange.Reads)
	f.each(func(s *shard) {
		maps.Copy(prefixes, s.sentPrefixes)
		clear(s.sentPrefixes)
	})
	return prefixes
}

// addRemotePrefixes records the prefixes that other hosts sent to the upstreams.
func (f *Fleet) addRemotePrefixes(prefixes exchange.Reads) {
	f.each(func(s *shard) {
		for name, keys := range prefixes {
			if m := s.names[name]; m != nil {
				s.cachedPrompts.Add(m, keys...)
			}
		}
	})
}

// minReportedWork is the least work that is reported to other hosts.
const minReportedWork = 1

// setRemoteWork sets the other hosts' work in flight as of a time. The map must not be modified
// afterwards.
func (f *Fleet) setRemoteWork(work exchange.Work, at time.Time) {
	f.each(func(s *shard) { s.remoteWork, s.remoteWorkAt = work, at })
}

// observeRequestTime adds the time that a request spent at its upstream to the mean.
func (s *shard) observeRequestTime(took time.Duration) {
	if s.meanRequestTime == 0 {
		s.meanRequestTime = took
	}
	s.meanRequestTime += time.Duration(requestTimeGain * float64(took-s.meanRequestTime))
}

// totalWork returns the work of all hosts at the upstream; ok is false if it isn't known. Where
// requests finish faster than hosts exchange their work, the load that upstreams report with their
// answers is more accurate.
func (m *member) totalWork(now time.Time) (float64, bool) {
	s := m.shard
	if s.meanRequestTime < exchange.Interval || now.Sub(s.remoteWorkAt) > exchange.WorkAge {
		return 0, false
	}
	return m.work(now) + s.remoteWork[m.name], true
}
