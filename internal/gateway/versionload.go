package gateway

import (
	"fmt"
	"strings"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
)

// completedWatch is what this host observes of a version whose roll-out was completed.
type completedWatch struct {
	// answers and failed count the version's answers on this host.
	answers, failed int
	// nextLog is the number of failed answers at which the next line is logged, at least firstLoggedFailures.
	nextLog int
}

// firstLoggedFailures is the number of failed answers after a completion at which the first line is logged. The number
// doubles with each line.
const firstLoggedFailures = 3

// countLoad counts an answer of the new version by the load of its upstream, during the roll-out and after its
// completion. Answers that were cut off don't count: their cause isn't known.
func (ro *rollouts) countLoad(r *Request, c *choice, result attemptResult, headCounted bool) {
	failed := result.isBadAnswer()
	begun := result.outcome == outcomeDone && !headCounted
	if !failed && !begun {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	sr := ro.byService[r.Service]
	if sr == nil || c.upstream.Version != sr.order.Version || ro.versionWithdrawn(sr) {
		return
	}
	bucket := exchange.LoadBucket(c.requests, c.upstream.Slots)
	if !headCounted {
		sr.evidence.ownLoads.CountAnswer(bucket)
	}
	if failed {
		sr.evidence.ownLoads.CountFailure(bucket, c.upstream.ID)
	}
	ro.countAnswer(r.Service, c.upstream.Version, sr.status.State, failed)
	if !sr.running() {
		ro.observeCompleted(sr, c, failed, headCounted)
	}
}

// observeCompleted counts an answer of a completed version, and logs when the failures become more.
func (ro *rollouts) observeCompleted(sr *serviceRollout, c *choice, failed, headCounted bool) {
	w := &sr.watch
	if !headCounted {
		w.answers++
	}
	if failed {
		w.failed++
	}
	if w.failed < max(w.nextLog, firstLoggedFailures) {
		return
	}
	w.nextLog = 2 * max(w.nextLog, firstLoggedFailures)
	ro.log.Warn().Str("event", "completed-version-fails").Str("service", sr.order.Service).Str("version", sr.order.Version).
		Int64("since_ms", boottime.Since(sr.completedAt).Milliseconds()).Int("answers", w.answers).Int("failed", w.failed).
		Str("upstream", c.upstream.ID).Float64("requests", tenths(c.requests)).Int("slots", c.upstream.Slots).
		Str("by_load", loadText(sr.evidence.ownLoads)).Str("all_by_load", loadText(sr.evidence.allLoads())).Msg("")
}

// allLoads returns the new version's answers on all hosts by the load of their upstream.
func (e *evidence) allLoads() exchange.LoadCounts {
	sum := e.ownLoads
	sum.Add(e.remoteLoads)
	return sum
}

// loadText returns the counts for log lines: failed/all by the sixteenth of the upstream's slots in use, without those
// of which there is no answer.
func loadText(c exchange.LoadCounts) string {
	var list []string
	for i, n := range c.Answers {
		if n > 0 || c.Failed[i] > 0 {
			list = append(list, fmt.Sprintf("%d:%d/%d", i, c.Failed[i], n))
		}
	}
	return strings.Join(list, " ")
}
