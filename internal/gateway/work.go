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

// In this file, work is the load of an upstream by requests in flight: for an engine the time in
// milliseconds that it still needs for the prefill of their prompts, for an upstream of a plain
// service the number of requests. The load of an engine isn't measured by its number of requests,
// because the work of the requests of one service differs by a factor of a hundred: the prefill of
// thousands of tokens takes as long as that of dozens of short prompts.

const (
	// requestTimeGain is the weight of a new request in the mean request time.
	requestTimeGain = 0.05
	// prefillGain is the weight of a new prompt in the distribution of work by priority and in the
	// mean prefill time.
	prefillGain = 0.02
)

// prefill is a prompt that was sent to an engine whose answer hasn't begun. work is the estimated
// time that the engine needs for the prefill. priority is the priority that was sent to the engine.
type prefill struct {
	work     time.Duration
	priority int
	// beginsAt is when the engine is expected to begin the prefill: the time at which the request
	// was sent plus the work queued ahead of it.
	beginsAt time.Time
	// newKeys are the keys of the prompt's prefixes that the engine has cached only once the prefill
	// has ended.
	newKeys []placement.PrefixKey
}

// startRequest counts the request as in flight at the upstream. For an engine it also counts the
// prompt as queued and cached there.
func (m *member) startRequest(c *choice) {
	m.inFlight++
	m.shard.inUse[m] = struct{}{}
	m.recordBoundedSend(c)
	m.shard.runTimes.Start(boottime.SinceStart(c.chosenAt))
	if c.criteria.prompt == nil {
		return
	}
	c.prefill = &prefill{work: c.placement.PrefillTime, priority: c.criteria.priority, beginsAt: c.chosenAt.Add(c.workAhead), newKeys: c.criteria.keys[c.cachedPartCount:]}
	m.ensureUsage().prefills = append(m.ensureUsage().prefills, c.prefill)
	m.shard.servesPrompts = true
	m.shard.observePrefill(c.prefill)
	m.startMemory(c)
	m.recordCached(c)
}

// endRequest no longer counts the request as in flight. If the answer never began, it no longer
// counts its prompt as cached either.
func (m *member) endRequest(c *choice) {
	if m.inFlight--; m.inFlight == 0 {
		delete(m.shard.inUse, m)
	}
	m.endBoundedSend(c)
	m.endMemory(c, boottime.Now())
	if c.prefill != nil {
		// The answer never began, so the prompt may not be cached.
		m.removePrefill(c)
		m.shard.cachedPrompts.Remove(m, c.criteria.keys[c.cachedPartCount:]...)
	}
}

// removePrefill removes the choice's prompt from those that the engine has yet to process.
func (m *member) removePrefill(c *choice) {
	u := m.ensureUsage()
	u.prefills = slices.DeleteFunc(u.prefills, func(p *prefill) bool { return p == c.prefill })
	c.prefill = nil
}

// headReceived records that the answer's head was received after the given time, which means that
// the engine has finished the prefill. Generating the answer, one step of the batch for each token,
// hardly delays the prefill of other prompts.
func (f *Fleet) headReceived(c *choice, took time.Duration) {
	if c.prefill == nil {
		return
	}
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.chosenMember(c)
	if m != nil {
		m.removePrefill(c)
		m.ensureUsage().lastPrefillEnd = boottime.Now()
	}
	c.prefill = nil
	if c.continueFrom != nil {
		return // nothing was prefilled
	}
	s.queueStats.observe(took, c.placement.ExpectedUnqueued)
	if !c.engine.full && c.queuedWork+c.placement.FetchTime < c.placement.PrefillTime/rateSampleDivisor {
		if m != nil {
			m.observeAnswerTime(c, took, boottime.Now())
		}
		s.prefillRates.Observe(c.criteria.model, c.placement.UncachedTokens, took, boottime.Now())
	}
}

// rateSampleDivisor limits which answers are used as samples of their model's prefill rate: those
// of prompts for which the estimated queued work and the transfer of fetched parts together were less
// than a fourth of the prefill time of the tokens that the engine prefilled itself. The expected wait
// for a batch slot doesn't count while a slot is free: it is a cost that rises smoothly, and would
// exclude all answers of engines that are nearly full.
const rateSampleDivisor = 4

// minRemainingFraction is the minimum fraction of a prefill that counts as remaining until the
// answer begins. If the answer is late, the engine is slower than estimated or has more work than
// this host has data on.
const minRemainingFraction = 0.25

// remainingWork returns the engine's remaining work for the i-th prompt from this host. The first
// prompt counts as in progress from the time at which the engine was expected to begin it, or from
// the end of the previous one if that is later. It must not count as in progress from the time at
// which it was sent: engines process one prompt after the other, and when each host assumed that
// its own was in progress at once, the hosts together reported only a third of the engine's work.
func (m *member) remainingWork(i int, now time.Time) time.Duration {
	u := m.usageSnapshot()
	p := u.prefills[i]
	if i > 0 {
		return p.work
	}
	since := p.beginsAt
	if u.lastPrefillEnd.After(since) {
		since = u.lastPrefillEnd
	}
	minimum := time.Duration(minRemainingFraction * float64(p.work))
	return min(p.work, max(minimum, p.work-now.Sub(since)))
}

// remainingRemoteWork returns the engine's remaining work for prompts from the other hosts: the
// work that they reported, less the time since the report.
func (m *member) remainingRemoteWork(now time.Time) time.Duration {
	s := m.shard
	age := now.Sub(s.remoteWorkAt)
	if age > exchange.MaxWorkAge {
		return 0
	}
	return max(0, time.Duration(s.remoteWork[m.idHash]*float64(time.Millisecond))-age)
}

// workAhead returns the time for which the engine processes other prompts before a new one with the
// priority: the prompts with the same or a higher priority, and the rest of the one in progress.
// Other hosts report only the sum of their work; it is assumed to have the same distribution over
// priorities as this host's own work.
func (m *member) workAhead(priority int, now time.Time) time.Duration {
	urgent, other := time.Duration(0), time.Duration(0)
	for i, p := range m.usageSnapshot().prefills {
		if p.priority <= priority {
			urgent += m.remainingWork(i, now)
		} else {
			other += m.remainingWork(i, now)
		}
	}
	remote := m.remainingRemoteWork(now)
	urgentRemote := time.Duration(m.shard.urgentShare(priority) * float64(remote))
	other += remote - urgentRemote
	return urgent + urgentRemote + min(other, m.shard.meanPrefill/2)
}

// observePrefill adds a new prompt's work to the distribution by priority, and to the mean unless
// it is much shorter.
func (s *shard) observePrefill(prompt *prefill) {
	for p := range s.workByPriority {
		s.workByPriority[p] *= 1 - prefillGain
	}
	s.workByPriority[prompt.priority] += prefillGain * float64(prompt.work)
	if prompt.work > s.meanPrefill/2 {
		s.meanPrefill += time.Duration(prefillGain * float64(prompt.work-s.meanPrefill))
	}
}

// urgentShare returns the fraction of this host's work at the service that has the priority or a
// higher one.
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

// workInFlight returns the work of this host's requests in flight, by upstream.
func (f *Fleet) workInFlight() exchange.Work {
	now := boottime.Now()
	work := make(exchange.Work)
	f.eachShard(func(s *shard) {
		for m := range s.inUse {
			if w := math.Round(m.ownWork(now)); w >= minReportedWork {
				work[m.idHash] = w
			}
		}
	})
	return work
}

// ownWork returns the work of this host's requests in flight at the upstream.
func (m *member) ownWork(now time.Time) float64 {
	if !m.shard.servesPrompts {
		return float64(m.inFlight)
	}
	left := time.Duration(0)
	for i := range m.usageSnapshot().prefills {
		left += m.remainingWork(i, now)
	}
	return float64(left) / float64(time.Millisecond)
}

// recordCached records that the engine will have the prompt cached. If it didn't have the prompt's
// shared prefix cached before, the prefix is reported to the other hosts.
func (m *member) recordCached(c *choice) {
	crit := &c.criteria
	m.shard.cachedPrompts.Add(m, crit.keys...)
	if shared := crit.prompt.SharedParts; c.cachedPartCount < shared {
		m.shard.sentPrefixes[m.idHash] = append(m.shard.sentPrefixes[m.idHash], crit.keys[shared-1])
	}
}

// cachedPartCount returns the number of a prompt's leading parts that the engine has cached. keys
// are the keys of the prompt's prefixes, the shortest first.
func (m *member) cachedPartCount(keys []placement.PrefixKey) int {
	return m.shard.cachedPrompts.CachedParts(m, keys)
}

// takeSentPrefixes returns the shared prefixes that this host sent for the first time to each
// upstream since the last call.
func (f *Fleet) takeSentPrefixes() exchange.SentPrefixes {
	prefixes := make(exchange.SentPrefixes)
	f.eachShard(func(s *shard) {
		maps.Copy(prefixes, s.sentPrefixes)
		clear(s.sentPrefixes)
	})
	return prefixes
}

// addRemotePrefixes records the prefixes that other hosts sent to the upstreams.
func (f *Fleet) addRemotePrefixes(prefixes exchange.SentPrefixes) {
	f.eachShard(func(s *shard) {
		for name, keys := range prefixes {
			if m := s.membersByHash[name]; m != nil {
				s.cachedPrompts.Add(m, keys...)
			}
		}
	})
}

// minReportedWork is the minimum work that is reported to other hosts.
const minReportedWork = 1

// setRemoteWork sets the other hosts' work in flight as of the given time. The map must not be
// modified afterwards.
func (f *Fleet) setRemoteWork(work exchange.Work, at time.Time) {
	f.eachShard(func(s *shard) { s.remoteWork, s.remoteWorkAt = work, at })
}

// observeRequestTime adds the time for which a request was in flight to the means.
func (s *shard) observeRequestTime(took time.Duration, result *attemptResult) {
	addRequestTime(&s.meanRequestTime, took)
	if !result.notReached() && result.outcome != outcomeRefused {
		addRequestTime(&s.engineStates.meanRunTime, took)
	}
}

// endRunTime records that a request is no longer in flight. Only answered requests show how long requests take.
func (s *shard) endRunTime(c *choice, result *attemptResult, now time.Time) {
	s.runTimes.End(boottime.SinceStart(c.chosenAt), boottime.SinceStart(now), result.outcome == outcomeDone)
}

func addRequestTime(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
	}
	*mean += time.Duration(requestTimeGain * float64(took-*mean))
}

// totalWork returns the work in flight of all hosts at the upstream. The second result is false if
// it isn't known. It counts as unknown where requests finish faster than hosts exchange their work,
// since the load that upstreams report with their answers is more accurate then.
func (m *member) totalWork(now time.Time) (float64, bool) {
	s := m.shard
	if s.meanRequestTime < exchange.Interval || now.Sub(s.remoteWorkAt) > exchange.MaxWorkAge {
		return 0, false
	}
	return m.ownWork(now) + s.remoteWork[m.idHash], true
}
