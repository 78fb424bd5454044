package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/egress"
	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
)

// gatewayMetrics are the counters and histograms of one gateway.
type gatewayMetrics struct {
	set *metrics.Set
	// verdicts counts the quarantine verdicts that this host made.
	verdicts *metrics.Counter
	// startWaits counts the requests that waited for the host's first tables.
	startWaits *metrics.Counter
}

func newMetrics(g *Gateway) *gatewayMetrics {
	m := &gatewayMetrics{set: metrics.NewSet()}
	m.verdicts = m.set.NewCounter("quetzalweir_gateway_verdicts_total")
	m.startWaits = m.set.NewCounter("quetzalweir_gateway_start_waits_total")
	m.set.NewGauge("quetzalweir_gateway_requests_quarantined", func() float64 { return float64(g.guard.VerdictCount()) })
	m.set.NewGauge("quetzalweir_gateway_document_version", func() float64 {
		if table := g.routingTable.Load(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	m.set.NewGauge("quetzalweir_gateway_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	m.set.NewGauge("quetzalweir_gateway_held", func() float64 { return float64(g.holds.count.Load()) })
	m.set.NewGauge("quetzalweir_gateway_upstreams_cold", func() float64 { return float64(g.fleet.countAllUpstreams().cold) })
	m.set.NewGauge("quetzalweir_gateway_upstreams_limited", func() float64 { return float64(g.fleet.countAllUpstreams().limited) })
	m.set.NewGauge("quetzalweir_gateway_upstreams_leaving", func() float64 { return float64(g.fleet.countAllUpstreams().leaving) })
	m.set.NewGauge("quetzalweir_gateway_upstreams_backing_off", func() float64 { return float64(g.fleet.countAllUpstreams().backingOff) })
	m.set.NewGauge("quetzalweir_gateway_upstreams_evacuated", func() float64 { return float64(g.fleet.countAllUpstreams().evacuated) })
	m.set.NewGauge("quetzalweir_gateway_versions_load_limited", func() float64 { return float64(g.fleet.countLoadLimits()) })
	m.set.NewGauge("quetzalweir_gateway_answer_headers_unknown", func() float64 { return float64(g.unknownHeaders.count()) })
	m.set.NewGauge("quetzalweir_gateway_store_era", func() float64 {
		if g.upstreamWatcher == nil {
			return 0
		}
		return float64(g.upstreamWatcher.Revision().Era())
	})
	m.set.NewGauge("quetzalweir_gateway_connections_rejected", func() float64 { return float64(g.connections.rejected.Load()) })
	m.set.NewGauge("quetzalweir_gateway_upstream_path_relayed", func() float64 { return float64(g.egress.tracker.Path()) })
	m.set.NewGauge("quetzalweir_gateway_connections_relayed_for_others", func() float64 { return float64(g.relayedForOthers.Load()) })
	m.set.NewGauge("quetzalweir_gateway_hub_followers", func() float64 {
		if g.peers == nil {
			return 0
		}
		return float64(g.peers.ReporterCount())
	})
	return m
}

// countConnection counts a connection to an upstream by its path and result.
func (m *gatewayMetrics) countConnection(path egress.Path, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_upstream_connections_total{path=%q,result=%q}`, path, result)).Inc()
}

// countDiagnosis counts a comparison of the two paths to upstreams.
func (m *gatewayMetrics) countDiagnosis(d egress.Diagnosis) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_upstream_paths_compared_total{direct="%t",relayed="%t"}`, d.Direct, d.Relayed)).Inc()
}

// countGuardEvent counts an event that the guard reports.
func (m *gatewayMetrics) countGuardEvent(event guard.CountedEvent, service string) {
	switch event {
	case guard.CountVerdict:
		m.verdicts.Inc()
	case guard.CountTerminated:
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_upstreams_ended_total{service=%q}`, service)).Inc()
	case guard.CountRefused:
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_quarantine_refusals_total{service=%q}`, service)).Inc()
	}
}

// unreadableRowCounter returns the counter of a table's rows that couldn't be decoded.
func (m *gatewayMetrics) unreadableRowCounter(table string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_rows_unreadable_total{table=%q}`, table))
}

// registerWatcher adds gauges for a followed table: the age of its data in seconds, -1 before the
// first data; the time in seconds for which the host has lacked changes that another host is known
// to have; the number of followers that lack a change, and the longest time in seconds for which one
// has lacked it; the number of calls to the store; and the bytes received from it. peers is nil for
// a host without an exchange.
func (m *gatewayMetrics) registerWatcher(table string, w *feed.Watcher, peers *exchange.Member) {
	gauge := func(name string, value func() float64) {
		m.set.NewGauge(fmt.Sprintf(`quetzalweir_gateway_%s{table=%q}`, name, table), value)
	}
	gauge("table_age_seconds", func() float64 {
		age, ok := w.Age()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	gauge("table_behind_seconds", func() float64 { return w.Lag().Seconds() })
	if peers != nil {
		gauge("table_followers_behind", func() float64 { return float64(peers.FollowersBehind(table).Hosts) })
		gauge("table_followers_behind_seconds", func() float64 { return peers.FollowersBehind(table).Longest.Seconds() })
	}
	gauge("store_received_bytes_total", func() float64 { return float64(w.Calls().ReceivedBytes) })
	calls := func(outcome string, count func(feed.Calls) uint64) {
		m.set.NewGauge(fmt.Sprintf(`quetzalweir_gateway_store_calls_total{table=%q,outcome=%q}`, table, outcome), func() float64 {
			return float64(count(w.Calls()))
		})
	}
	calls("answered", func(c feed.Calls) uint64 { return c.Answered })
	calls("failed", func(c feed.Calls) uint64 { return c.Failed })
}

// countAttempt counts an attempt and its duration.
func (m *gatewayMetrics) countAttempt(r *Request, result attemptResult, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_attempts_total{service=%q,outcome=%q}`, r.Service, result.outcome)).Inc()
	if len(result.limitHeaders) > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_limits_named_total{service=%q}`, r.Service)).Inc()
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`quetzalweir_gateway_attempt_seconds{service=%q}`, r.Service)).Update(took.Seconds())
}

// countVersionAnswer counts an answer of a version that is being rolled out, or whose roll-out was completed. A stream that
// fails after its head counts twice.
func (m *gatewayMetrics) countVersionAnswer(service, version string, state RolloutState, failed bool) {
	result := "begun"
	if failed {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_version_answers_total{service=%q,version=%q,rollout=%q,result=%q}`, service, version, state, result)).Inc()
}

// countEndedRun counts a run that the gateway ended though it might have succeeded.
func (m *gatewayMetrics) countEndedRun(service string, reason failover.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_runs_ended_total{service=%q,reason=%q}`, service, reason)).Inc()
}

// countUpstreamWait counts a request that waits until an upstream accepts its next attempt.
func (m *gatewayMetrics) countUpstreamWait(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_upstream_waits_total{service=%q}`, service)).Inc()
}

// countRefusedAttempt counts a request that was refused another attempt. began is set if its caller had received a part
// of the answer.
func (m *gatewayMetrics) countRefusedAttempt(service, code string, began bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_attempts_refused_total{service=%q,code=%q,began="%t"}`, service, code, began)).Inc()
}

// countBrokenAnswer counts an answer that wasn't passed on whole because of its upstream.
func (m *gatewayMetrics) countBrokenAnswer(service string, fault responsecheck.Fault) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_broken_answers_total{service=%q,fault=%q}`, service, fault)).Inc()
}

// countStatements counts the answer of an upstream that states that it is leaving, or for how long
// it accepts no requests.
func (m *gatewayMetrics) countStatements(a *attempt) {
	if len(a.statedRetryAfter()) > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_retry_after_stated_total{service=%q}`, a.request.Service)).Inc()
	}
	if len(a.statedLeaving()) > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_leaving_stated_total{service=%q}`, a.request.Service)).Inc()
	}
}

// countBrittleRejection counts a request that a brittle upstream rejected because it is full, by the bound that
// had permitted it.
func (m *gatewayMetrics) countBrittleRejection(service string, bound brittleBound) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_brittle_rejections_total{service=%q,bound=%q}`, service, bound)).Inc()
}

// countHold counts a request that was held, and the time for which it was.
func (m *gatewayMetrics) countHold(service string, held time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_held_total{service=%q}`, service)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`quetzalweir_gateway_held_seconds{service=%q}`, service)).Update(held.Seconds())
}

// countSaturated counts a request that was refused because of the load of the engines.
func (m *gatewayMetrics) countSaturated(service string, cause admission.Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_saturated_refusals_total{service=%q,cause=%q}`, service, cause)).Inc()
}

// countEngineState counts the choice of an engine by its state.
func (m *gatewayMetrics) countEngineState(service string, v *engineView) {
	if !v.active {
		return
	}
	state := "free"
	switch {
	case v.lacksMemory:
		state = "no-memory"
	case v.slots > 0 && v.requests >= float64(v.slots):
		state = "full"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_engine_choices_total{service=%q,engine=%q}`, service, state)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`quetzalweir_gateway_engine_slot_wait_seconds{service=%q}`, service)).Update(v.slotWait.Seconds())
	if v.slowdown > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`quetzalweir_gateway_engine_slowdown{service=%q}`, service)).Update(v.slowdown)
	}
}

// countRequest counts a request and its duration.
func (m *gatewayMetrics) countRequest(route, code string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_requests_total{route=%q,code=%q}`, route, code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`quetzalweir_gateway_request_seconds{route=%q}`, route)).Update(took.Seconds())
}

// write writes all values in the Prometheus text format.
func (m *gatewayMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
