package gateway

import (
	"math"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
)

const (
	// recentSentSpan is the span of the recent rate of requests. rateFallTime is the time constant with which sentRequests.rate
	// falls, so that a gap in the traffic isn't taken for its end.
	recentSentSpan = 500 * time.Millisecond
	rateFallTime   = 2 * time.Second
	// sentCountAge is the age that the other hosts' numbers of requests can have: a report and a reply.
	sentCountAge = 2 * exchange.Interval
	// fullLoadReserve is the time at the present rate for which requests are kept in reserve when the full load begins.
	fullLoadReserve = exchange.Interval
)

// countSent counts a request that is sent to an upstream of the service while the roll-out is in progress.
func (ro *rollouts) countSent(r *Request, c *choice) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	sr := ro.byService[r.Service]
	if sr == nil || !sr.running() {
		return
	}
	sent := &sr.evidence.ownSent
	sent.All++
	if r.Session != "" {
		sr.evidence.ownSessionSent++
	}
	if c.upstream.Version == sr.order.Version {
		sent.New++
	}
}

// allSent returns the numbers of requests that all hosts sent since the order.
func (e *evidence) allSent() exchange.SentCounts {
	sum := e.ownSent
	sum.Add(e.remoteSent)
	return sum
}

// updateRecentSent updates the number of requests that this host sent recently. It is called every rolloutInterval.
func (e *evidence) updateRecentSent() {
	if intervals := int(recentSentSpan / rolloutInterval); len(e.formerSent) > intervals {
		e.formerSent = e.formerSent[1:]
	}
	e.formerSent = append(e.formerSent, e.ownSent.All)
	e.ownSent.Recent = e.ownSent.All - e.formerSent[0]
}

// sentRequests holds what was sent since the order of a roll-out, and what is permitted beyond a share of it.
type sentRequests struct {
	exchange.SentCounts
	// meanRate, recentRate and rate are numbers of requests a second: the mean since the order, that of the last recentSentSpan,
	// and the one that is assumed for the rest of the roll-out.
	meanRate, recentRate, rate float64
	// headroom is the number of requests that the new version may get beyond its share.
	headroom float64
}

// sentSinceOrder returns what all hosts sent since the order. While the other hosts' numbers aren't known, this host keeps
// to the share of its own requests, without the headroom that all hosts share.
func (ro *rollouts) sentSinceOrder(sr *serviceRollout) sentRequests {
	sent := sentRequests{SentCounts: sr.evidence.allSent(), headroom: ro.settings.CanaryHeadroom}
	if sr.evidence.remoteHosts == 0 && ro.settings.Peers.Listen != "" {
		sent.SentCounts, sent.headroom = sr.evidence.ownSent, 0
	}
	sent.meanRate = float64(sent.All) / max(boottime.Since(sr.receivedAt).Seconds(), 1)
	sent.recentRate = float64(sent.Recent) / recentSentSpan.Seconds()
	sent.rate = max(sent.meanRate, sr.nextPeakRate(sent.recentRate))
	return sent
}

// nextPeakRate returns peakRate after a rolloutInterval with the given recent rate.
func (sr *serviceRollout) nextPeakRate(recent float64) float64 {
	falling := sr.peakRate + (recent-sr.peakRate)*float64(rolloutInterval)/float64(rateFallTime)
	return max(falling, recent)
}

// recordShare records the new version's share of all requests from now on.
func (sr *serviceRollout) recordShare() {
	if len(sr.recentShares) == int(sentCountAge/rolloutInterval) {
		sr.recentShares = sr.recentShares[1:]
	}
	sessions := float64(sr.evidence.ownSessionSent) / float64(max(1, sr.evidence.ownSent.All))
	sr.recentShares = append(sr.recentShares, sessions*sr.sessionShare+(1-sessions)*sr.requestShare)
}

// meanRecentShare returns the mean share since the time as of which the other hosts' counts can be.
func (sr *serviceRollout) meanRecentShare() float64 {
	sum := 0.0
	for _, share := range sr.recentShares {
		sum += share
	}
	return sum / float64(max(1, len(sr.recentShares)))
}

// permittedRest returns the number of requests that the new version may get until the end of the roll-out's duration, as a
// fraction of the requests in the duration at the present rate. What the other hosts sent since their counts were made,
// at the recent share, is taken off.
func (s *sentRequests) permittedRest(permitted, recentShare, progress float64, duration time.Duration) float64 {
	uncounted := max(0, recentShare-permitted) * s.rate * sentCountAge.Seconds()
	left := permitted*float64(s.All) + s.headroom - float64(s.New) - uncounted
	return left/s.inDuration(duration) + permitted*max(0, 1-progress)
}

// inDuration returns the number of requests in the duration at the present rate, at least 1.
func (s *sentRequests) inDuration(duration time.Duration) float64 {
	return max(1, s.rate*duration.Seconds())
}

// logSent logs what was sent to the new version, beside what is permitted, and its answers by load.
func (ro *rollouts) logSent(sr *serviceRollout, cause string) {
	own, all := sr.evidence.ownSent, sr.evidence.allSent()
	ro.log.Info().Str("event", "rollout-sent").Str("service", sr.order.Service).Str("version", sr.order.Version).Str("cause", cause).
		Int("own_new", own.New).Int("own_all", own.All).Int("new", all.New).Int("all", all.All).
		Float64("permitted", tenths(ro.settings.CanaryShare*float64(all.All)+ro.settings.CanaryHeadroom)).
		Float64("request_share", math.Round(100*sr.requestShare)/100).Float64("session_share", math.Round(100*sr.sessionShare)/100).
		Int("own_sessions", sr.evidence.ownSessionSent).Int("hosts_below", sr.evidence.remoteBelowFullLoad).
		Float64("planned_rate", tenths(sr.peakRate)).Str("by_load", loadText(sr.evidence.allLoads())).Msg("")
}
