package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const (
	// latencyGain is the weight of a new measurement in the average latency.
	latencyGain = 0.1
	// errorGain is the weight of a new outcome in the error rate.
	errorGain = 0.1
	// errorHalfLife is the half-life of an error rate without new outcomes.
	// The decay lets an upstream that has recovered be tried again.
	errorHalfLife = 10 * time.Second
)

// entry is the state of one upstream. All fields except snapshot are guarded
// by the lock of its shard.
type entry struct {
	snapshot atomic.Pointer[Upstream]
	state    Upstream
	// startTimes holds the start times of the requests in flight in ascending
	// order.
	startTimes []time.Time
	// leavingVersion is the highest version of a leaving fact received.
	leavingVersion uint64
	// absentSince is when the upstream disappeared from the host list; zero
	// while it is listed.
	absentSince time.Time
	ejection    ejectionState
}

func (e *entry) inFlight() int { return len(e.startTimes) }

// publish replaces the snapshot that readers use.
func (e *entry) publish() {
	snapshot := e.state
	e.snapshot.Store(&snapshot)
}

// reset clears the state for a new incarnation. It keeps leavingVersion and
// absentSince.
func (e *entry) reset() {
	e.state = Upstream{}
	e.startTimes = nil
	e.ejection = ejectionState{}
}

// incarnationEnded reports whether the upstream has been absent for so long
// that its return counts as a new incarnation.
func (e *entry) incarnationEnded(now time.Time, absentFor time.Duration) bool {
	return !e.absentSince.IsZero() && now.Sub(e.absentSince) >= absentFor
}

// applyHost applies the upstream's entry in the host list.
func (e *entry) applyHost(h storage.Host) {
	e.absentSince = time.Time{}
	e.state.ID = h.ID
	e.state.Address = h.Address
	e.state.Zone = h.Zone
	e.state.Kind = h.Kind
	e.state.Name = h.Name
	if h.State == storage.HostLeaving {
		e.state.Leaving = true
	}
}

// markLeaving marks the upstream as leaving and reports whether that changed
// its state. It ignores versions that aren't newer; 0 stands for none.
func (e *entry) markLeaving(version uint64) bool {
	if version != 0 && version <= e.leavingVersion {
		return false
	}
	e.leavingVersion = max(e.leavingVersion, version)
	changed := !e.state.Leaving
	e.state.Leaving = true
	return changed
}

// applyReport applies a load report unless it is older than the last one.
// Requests that this host began later are added to the reported load.
func (e *entry) applyReport(load upstream.Load, takenAt time.Time) {
	if takenAt.Before(e.state.ReportedAt) {
		return
	}
	e.state.Reported = load
	e.state.ReportedAt = takenAt
	// A report in the header of an answer doesn't list the versions.
	if load.Versions != nil {
		e.state.Versions = load.Versions
	}
	if load.Leaving {
		e.state.Leaving = true
	}
	e.updateCounters()
}

// updateCounters derives the counters of the state from the requests in flight.
func (e *entry) updateCounters() {
	e.state.InFlight = len(e.startTimes)
	sentSinceReport := 0
	for i := len(e.startTimes) - 1; i >= 0 && e.startTimes[i].After(e.state.ReportedAt); i-- {
		sentSinceReport++
	}
	e.state.SentSinceReport = sentSinceReport
}

func (e *entry) begin(now time.Time) bool {
	if e.state.Leaving || !e.absentSince.IsZero() {
		return false
	}
	e.startTimes = append(e.startTimes, now)
	e.updateCounters()
	return true
}

func (e *entry) end(outcome Outcome, now time.Time, ejection Ejection, jitter float64) {
	if len(e.startTimes) > 0 {
		e.startTimes = e.startTimes[1:]
	}
	if outcome.Leaving {
		e.state.Leaving = true
	}
	failed := outcome.Err && !outcome.Leaving
	if outcome.Refused {
		failed = failed && !e.reportsFull()
		e.markFull()
	}
	e.observeLatency(outcome.FirstToken)
	e.observeError(failed, now)
	e.state.EjectedUntil = e.ejection.observe(failed, e.state.ErrorRate, now, ejection, jitter)
	e.updateCounters()
}

// reportsFull reports whether the corrected load explains a refusal. Otherwise
// the refusal counts as an error: an upstream that refuses every request
// appears idle by its load.
func (e *entry) reportsFull() bool {
	return float64(CorrectedLoad(&e.state)) >= capacity(&e.state)
}

// markFull treats a refusal as a report of full load, so that requests are sent
// to other upstreams until the next report.
func (e *entry) markFull() {
	if e.state.Reported.Capacity == 0 {
		e.state.Reported.Capacity = unreportedCapacity
	}
	full := int(math.Ceil(DefaultMaxLoad * float64(e.state.Reported.Capacity)))
	e.state.Reported.Running = max(e.state.Reported.Running, full)
}

func (e *entry) observeLatency(firstToken time.Duration) {
	if firstToken <= 0 {
		return
	}
	ms := float64(firstToken) / float64(time.Millisecond)
	if e.state.LatencyMs == 0 {
		e.state.LatencyMs = ms
		return
	}
	e.state.LatencyMs += latencyGain * (ms - e.state.LatencyMs)
}

func (e *entry) observeError(failed bool, now time.Time) {
	rate := e.state.errorRateAt(now)
	e.state.outcomeAt = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	e.state.ErrorRate = rate + errorGain*(outcome-rate)
}
