package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// An engine can fetch leading parts of a prompt from another engine that has them cached, which
// takes less time than the prefill and none of the engine's batch. This file finds the sources and
// the times of the transfers; package placement decides whether a fetch is worthwhile.

const (
	// otherZoneTransfer is the factor by which a transfer between availability zones takes longer
	// than one within a zone.
	otherZoneTransfer = 2
	// transferMargin is the expected time of a transfer as a multiple of its time on an idle link.
	// Transfers run one after another, so a transfer may have to wait for others.
	transferMargin = 2
	// maxFetchSources bounds the engines that are considered as sources for one prompt, and
	// maxSourceProbes those that are examined to find them. Popular parts are cached by many
	// engines, and a few of them are enough to find one that is near and not busy.
	maxFetchSources = 12
	maxSourceProbes = 32
	// fetchRefusalsToPause is the number of engines that have to reject the header for fetching,
	// with none accepting it, before a service is assumed not to support it. Without the pause each
	// engine would reject a request of each host. After fetchPause the host tries again, the service
	// as well as each engine, since another version may have been rolled out.
	fetchRefusalsToPause = 3
	fetchPause           = time.Minute
)

// fetchSupport is what this host observed of an engine's support for fetching cached parts.
type fetchSupport struct {
	// accepted is set once the engine answered a request to fetch with success: the error of such an
	// engine concerns the request itself. Until rejectedUntil the engine gets no request to fetch,
	// because it rejected one that succeeded without the header.
	accepted      bool
	rejectedUntil time.Time
}

// fetchRejection is an answer to a request to fetch which means that the engine may not support it.
type fetchRejection struct {
	choice choice
	status int
}

// fetchSource is an engine that has the given number of a prompt's leading parts cached.
type fetchSource struct {
	member *member
	parts  int
	load   float64
}

// fetchesParts reports whether the engines of the request's service may fetch cached parts from each
// other for it. After an engine rejected the header, the request is repeated without it.
func (g *Gateway) fetchesParts(r *Request) bool {
	return g.settings.Headers.FetchFrom != "" && g.fleet.isActive(g.settings.Features.CacheFetch, r.Service) &&
		r.fetchRejection == nil && (g.mayRepeatWithoutFetch(r) || g.fleet.anyAcceptedFetch(r.Service))
}

// mayRepeatWithoutFetch reports whether the request may be repeated if an engine rejects the header for
// fetching in the next attempt. Otherwise its caller would get the error that the gateway caused.
func (g *Gateway) mayRepeatWithoutFetch(r *Request) bool {
	return r.mayRunAgain(runstate.Ran) && r.attemptsLeftAfter(1) && g.retryBudgets.get(r.Service).available()
}

// anyAcceptedFetch reports whether an engine of the service accepted the header for fetching.
func (f *Fleet) anyAcceptedFetch(service string) bool {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetchAccepted
}

// withholdFetch removes the fetch from the choice for a request that may not be repeated, unless the
// engine accepted the header before. The engine prefills the parts then.
func (g *Gateway) withholdFetch(r *Request, c *choice) {
	if c.fetchFrom == "" || g.mayRepeatWithoutFetch(r) {
		return
	}
	s := g.fleet.shard(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.chosenMember(c); m != nil && m.usageSnapshot().fetch.accepted {
		return
	}
	c.fetchFrom = ""
	c.placement.UncachedTokens += c.placement.FetchedTokens
	c.placement.FetchedTokens, c.placement.FetchTime = 0, 0
}

// addFetches sets the fetchable parts of the candidates and returns the source for each of them; nil
// for those that can't fetch any. The caller holds the shard's lock.
func (s *shard) addFetches(candidates []placement.Candidate, list candidateList, crit *criteria, now time.Time) []*member {
	if !crit.fetches || now.Before(s.fetchPausedUntil) {
		return nil
	}
	available := s.fetchSources(crit, now)
	if len(available) == 0 {
		return nil
	}
	chosen := make([]*member, len(candidates))
	for i, m := range list.members {
		if now.Before(m.usageSnapshot().fetch.rejectedUntil) {
			continue
		}
		c := &candidates[i]
		source := nearestSource(available, m, c.CachedParts, s.topology)
		if source == nil {
			continue
		}
		if d, ok := fetchTime(crit, c.CachedParts, source, m); ok {
			c.FetchableParts, c.FetchTime = source.parts, d
			chosen[i] = source.member
		}
	}
	return chosen
}

// fetchSources returns engines that have leading parts of the prompt cached and can serve as
// sources, those with the longest cached prefix first.
func (s *shard) fetchSources(crit *criteria, now time.Time) []fetchSource {
	var list []fetchSource
	probes := 0
	for i := len(crit.keys) - 1; i >= 0; i-- {
		holders := s.cachedPrompts.Engines(crit.keys[i])
		if len(holders) == 0 {
			continue
		}
		start := rand.IntN(len(holders))
		for j := range holders {
			if len(list) == maxFetchSources || probes == maxSourceProbes {
				return list
			}
			probes++
			m := holders[(start+j)%len(holders)]
			known := slices.ContainsFunc(list, func(f fetchSource) bool { return f.member == m })
			if !known && m.canServeFetch(crit, crit.keys[i], now) {
				list = append(list, fetchSource{member: m, parts: i + 1, load: m.loadPerSlot(now)})
			}
		}
	}
	return list
}

// canServeFetch reports whether other engines may fetch the prefix from this one for the request.
// Engines that were chosen or were sources for earlier attempts of the request aren't sources: they
// may hang, and a transfer from them would hang, too.
func (m *member) canServeFetch(crit *criteria, key placement.PrefixKey, now time.Time) bool {
	if !m.removedAt.IsZero() || !m.inService(now) || m.ejected(now) || m.rejecting(now) || m.backsOff(now) ||
		m.shard.policy.isEvacuated(m.Zone) || !crit.regions.allows(m.Zone) || slices.Contains(crit.excludedIDs, m.ID) || slices.Contains(crit.usedSources, m.Address) {
		return false
	}
	for _, p := range m.usageSnapshot().prefills {
		if slices.Contains(p.newKeys, key) {
			return false // the prefill hasn't ended
		}
	}
	return true
}

// nearestSource returns the source from which the engine is to fetch, nil if none has more than the
// given number of parts. The source has the same version and is in the same region as the engine:
// the content of a cache depends on the model's weights, and the rate between regions is unknown.
// Among the sources with the longest prefix, one in the engine's availability zone is preferred,
// then the one with the lowest load.
func nearestSource(available []fetchSource, m *member, cachedParts int, t *zoneTopology) *fetchSource {
	var best *fetchSource
	for i := range available {
		f := &available[i]
		if f.parts <= cachedParts || best != nil && f.parts < best.parts {
			break // the list is ordered by the number of parts
		}
		if f.member == m || f.member.Version != m.Version || t.region(f.member.Zone) != t.region(m.Zone) {
			continue
		}
		near, bestNear := f.member.Zone == m.Zone, best != nil && best.member.Zone == m.Zone
		if best == nil || near && !bestNear || near == bestNear && f.load < best.load {
			best = f
		}
	}
	return best
}

// fetchTime returns the expected time in which the engine fetches the parts from the source that it
// doesn't have cached; ok is false if the routing document doesn't state the rate.
func fetchTime(crit *criteria, cachedParts int, source *fetchSource, m *member) (d time.Duration, ok bool) {
	tokens := 0
	for _, part := range crit.prompt.Parts[cachedParts:source.parts] {
		tokens += part.Tokens
	}
	d, ok = crit.engines.TransferTime(tokens)
	if source.member.Zone != m.Zone {
		d *= otherZoneTransfer
	}
	return transferMargin * d, ok
}

// rejectsFetch reports whether an answer with the status to a request to fetch means that the
// engine doesn't support it.
func rejectsFetch(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return true
	}
	return false
}

// observeFetch records whether the engine accepted the header for fetching. If it answered with a
// rejection, that counts once the request succeeded without the header: the request itself may be invalid.
func (a *attempt) observeFetch(resp *http.Response) {
	r, s := a.request, a.gateway.fleet.shard(a.choice.upstream.Service)
	succeeded := isSuccess(resp.StatusCode)
	if a.choice.fetchFrom == "" {
		if r.fetchRejection != nil && succeeded {
			a.gateway.fleet.recordFetchRejection(r)
		}
		return
	}
	if a.misdirected(resp) || !succeeded && !rejectsFetch(resp.StatusCode) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.chosenMember(&a.choice)
	if m == nil {
		return
	}
	support := &m.ensureUsage().fetch
	switch {
	case succeeded:
		support.accepted, s.fetchAccepted, s.fetchRefusals = true, true, 0
	case !support.accepted:
		r.fetchRejection = &fetchRejection{choice: a.choice, status: resp.StatusCode}
	}
}

// recordFetchRejection records that the engine that rejected the request with the header for fetching
// doesn't support it, and logs that.
func (f *Fleet) recordFetchRejection(r *Request) {
	c, now := &r.fetchRejection.choice, boottime.Now()
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.chosenMember(c)
	if m == nil {
		return
	}
	support := &m.ensureUsage().fetch
	if support.accepted || now.Before(support.rejectedUntil) {
		return
	}
	support.rejectedUntil = now.Add(fetchPause)
	f.log.Warn().Str("event", "fetch-rejected").Str("upstream", m.ID).Str("service", m.Service).Str("version", m.Version).
		Str("request", r.ID).Int("status", r.fetchRejection.status).Msg("")
	if s.fetchRefusals++; s.fetchRefusals >= fetchRefusalsToPause {
		s.fetchRefusals, s.fetchPausedUntil = 0, now.Add(fetchPause)
		f.log.Warn().Str("event", "fetch-paused").Str("service", m.Service).Int64("for_ms", fetchPause.Milliseconds()).Msg("")
	}
}

// countFetch counts the fetch that the attempt asked for, if the request was sent.
func (m *gatewayMetrics) countFetch(a *attempt, result *attemptResult) {
	if a.choice.fetchFrom == "" || result.notReached() {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_cache_fetches_total{service=%q}`, a.request.Service)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_cache_fetched_tokens_total{service=%q}`, a.request.Service)).Add(a.choice.placement.FetchedTokens)
}
