package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/returnschedule"
)

// returnRequest describes a rejected request for which a time to return is chosen.
type returnRequest struct {
	service string
	digest  quarantine.Digest
	rank    int
	// overShare is set if the client account uses more than its share.
	overShare bool
	// work is the engine time that the request needs. earliest is when the requests that wait now
	// are expected to be served. remaining is the time until the deadline.
	work      time.Duration
	earliest  time.Duration
	remaining time.Duration
}

// returnTimes chooses the times at which rejected requests return, and recognizes those that do. The
// zero value reserves nothing.
type returnTimes struct {
	gateway *Gateway

	mu       sync.Mutex
	schedule returnschedule.Schedule
	// sent holds the engine time of the requests that this host sent, by service.
	sent map[string]*returnschedule.Rate
}

// maxSentRates bounds the services whose engine time is counted.
const maxSentRates = 64

// start makes the schedule available to the gateway's requests.
func (t *returnTimes) start(g *Gateway) {
	t.gateway = g
	g.metrics.set.NewGauge("quetzalweir_gateway_return_reservations", func() float64 {
		t.mu.Lock()
		defer t.mu.Unlock()
		return float64(t.schedule.Len())
	})
	g.metrics.set.NewGauge("quetzalweir_gateway_returns_expired_total", func() float64 {
		t.mu.Lock()
		defer t.mu.Unlock()
		return float64(t.schedule.Expired())
	})
}

// isActive reports whether returning callers of the service are scheduled.
func (t *returnTimes) isActive(service string) bool {
	g := t.gateway
	return g != nil && g.fleet.isActive(g.settings.Features.ReturnSchedule, service)
}

// isOff reports whether returning callers are scheduled for no service.
func (t *returnTimes) isOff() bool {
	return t.gateway == nil || t.gateway.settings.Features.ReturnSchedule == FeatureOff
}

// recordSent counts the engine time of a request that was sent to an engine. The sum of the last
// seconds is this host's part of what the engines of the service do.
func (t *returnTimes) recordSent(service string, work time.Duration, now time.Time) {
	if t.isOff() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := t.sent[service]
	if rate == nil {
		if len(t.sent) >= maxSentRates {
			return
		}
		if t.sent == nil {
			t.sent = make(map[string]*returnschedule.Rate)
		}
		rate = new(returnschedule.Rate)
		t.sent[service] = rate
	}
	rate.Add(work, now)
}

// recordNotRun takes back the engine time of a request that was sent at the time sentAt and didn't run.
func (t *returnTimes) recordNotRun(service string, work time.Duration, sentAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rate := t.sent[service]; rate != nil {
		rate.Remove(work, sentAt, now)
	}
}

// reserve returns the Retry-After of a rejection for lack of capacity; 0 for the default.
func (t *returnTimes) reserve(r returnRequest, now time.Time) time.Duration {
	if !t.isActive(r.service) {
		return 0
	}
	answer := t.promise(r, now)
	t.gateway.metrics.countReturnTime(r.service, answer.Outcome.String())
	t.gateway.log.Info().Str("event", "return-reserved").Stringer("digest", r.digest).Str("service", r.service).
		Stringer("outcome", answer.Outcome).Int64("after_ms", answer.After.Milliseconds()).Bool("second", answer.Second).
		Int("rank", r.rank).Bool("over_share", r.overShare).Int64("work_ms", r.work.Milliseconds()).
		Int64("earliest_ms", r.earliest.Milliseconds()).Int64("remaining_ms", r.remaining.Milliseconds()).Msg("")
	return answer.After
}

// promise chooses the time for a rejected request by the present capacity.
func (t *returnTimes) promise(r returnRequest, now time.Time) returnschedule.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	capacity := time.Duration(0)
	if rate := t.sent[r.service]; rate != nil {
		capacity = rate.PerSecond(now)
	}
	t.schedule.SetCapacity(r.service, capacity, now)
	return t.schedule.Promise(returnschedule.Request{
		Service: r.service, Digest: r.digest, Rank: r.rank, OverShare: r.overShare,
		Work: r.work, Earliest: r.earliest, Remaining: r.remaining,
	}, now)
}

// redeem reports whether the request returned at the time that was reserved for it. It ends the
// reservation.
func (t *returnTimes) redeem(service string, digest quarantine.Digest, now time.Time) bool {
	if !t.isActive(service) {
		return false
	}
	t.mu.Lock()
	arrival := t.schedule.Redeem(service, digest, now)
	t.mu.Unlock()
	if arrival.Return == returnschedule.NoReturn {
		return false
	}
	t.gateway.metrics.countReturn(service, arrival.Return.String())
	t.gateway.log.Info().Str("event", "return-redeemed").Stringer("digest", digest).Str("service", service).
		Stringer("kind", arrival.Return).Int64("late_ms", arrival.After.Milliseconds()).
		Bool("second", arrival.Second).Bool("other_host", arrival.Remote).Msg("")
	return arrival.HasPrecedence()
}

// takeNew returns the reservations that this host made since the last call.
func (t *returnTimes) takeNew() []returnschedule.Promise {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.schedule.TakeNew()
}

// addRemote records reservations that other hosts made.
func (t *returnTimes) addRemote(list []returnschedule.Promise) {
	if t.isOff() {
		return
	}
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range list {
		t.schedule.Add(p, now)
	}
}

// countReturnTime counts a time that the caller of a rejected request was given, by how it was
// chosen.
func (m *gatewayMetrics) countReturnTime(service, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_return_times_total{service=%q,outcome=%q}`, service, outcome)).Inc()
}

// countReturn counts a request that returned for a reservation, by when it arrived.
func (m *gatewayMetrics) countReturn(service, kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_returns_total{service=%q,kind=%q}`, service, kind)).Inc()
}
