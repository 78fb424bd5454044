package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// requestMetrics holds the host's metrics, such as the number of requests by class and
// result code. Account keys, request keys and session IDs are never used as labels,
// because their number isn't bounded, and each label value adds a time series.
type requestMetrics struct {
	set *metrics.Set
}

func (m *requestMetrics) record(r *Request, code resultcode.Code) {
	name := fmt.Sprintf(`quetzalweir_requests_total{class=%q,code="%d"}`, r.Class.Name, int(code))
	m.set.GetOrCreateCounter(name).Inc()
	if r.FirstFrame.IsZero() {
		return
	}
	name = fmt.Sprintf(`quetzalweir_first_token_seconds{class=%q}`, r.Class.Name)
	m.set.GetOrCreateHistogram(name).Update(r.FirstFrame.Sub(r.Arrived).Seconds())
	name = fmt.Sprintf(`quetzalweir_request_seconds{class=%q}`, r.Class.Name)
	m.set.GetOrCreateHistogram(name).Update(time.Since(r.Arrived).Seconds())
}

// countBrokenAnswer counts an upstream's answer that isn't whole or not valid.
func (m *requestMetrics) countBrokenAnswer(fault responsecheck.Fault) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_broken_answers_total{fault=%q}`, fault)).Inc()
}

// registerGauges registers gauges for the host's current state.
func (h *Host) registerGauges() {
	gauge := func(name string, read func() float64) {
		h.metrics.set.NewGauge(name, read)
	}
	gauge("quetzalweir_manifest_epoch", func() float64 {
		policy := h.manifestWatcher.Current()
		if policy == nil {
			return 0
		}
		return float64(policy.Epoch)
	})
	gauge("quetzalweir_bills_at_risk", func() float64 { return float64(h.ledger.AtRisk()) })
	gauge("quetzalweir_bills_pending", func() float64 { return float64(h.ledger.Pending()) })
	gauge("quetzalweir_bills_held_for_others", func() float64 { return float64(h.billCopies.Count()) })
	gauge("quetzalweir_claims_pending", func() float64 { return float64(h.claims.Pending()) })
	gauge("quetzalweir_requests_running", func() float64 { return float64(h.queues.stats().Running) })
	gauge("quetzalweir_requests_queued", func() float64 { return float64(h.queues.stats().Queued) })
	gauge("quetzalweir_members", func() float64 { return float64(len(h.members.Members())) })
}
