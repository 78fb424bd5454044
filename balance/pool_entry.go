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
	// errorHalfLife is the half-life of an error rate without new outcomes. The
	// decay lets an upstream that has recovered receive requests again.
	errorHalfLife = 10 * time.Second
)

// poolEntry is the state of one upstream in a Pool. All fields except snapshot
// are guarded by the lock of the entry's shard.
type poolEntry struct {
	snapshot atomic.Pointer[Upstream]
	state    Upstream
	// startTimes holds the start times of the requests in flight in ascending
	// order.
	startTimes []time.Time
	// leavingVersion is the highest version that SetLeaving received for the
	// upstream. It is 0 before the first.
	leavingVersion uint64
	// absentSince is when the upstream disappeared from the host list; zero
	// while it is listed.
	absentSince time.Time
	ejection    ejectionState
}

func (e *poolEntry) inFlight() int { return len(e.startTimes) }

// publish replaces the snapshot that readers use.
func (e *poolEntry) publish() {
	snapshot := e.state
	e.snapshot.Store(&snapshot)
}

// reset clears the state for a new incarnation. It keeps leavingVersion and
// absentSince.
func (e *poolEntry) reset() {
	e.state = Upstream{}
	e.startTimes = nil
	e.ejection = ejectionState{}
}

// incarnationEnded reports whether the upstream has been absent for so long
// that its return counts as a new incarnation.
func (e *poolEntry) incarnationEnded(now time.Time, absentFor time.Duration) bool {
	return !e.absentSince.IsZero() && now.Sub(e.absentSince) >= absentFor
}

// applyHost applies what the host list contains about the upstream.
func (e *poolEntry) applyHost(h storage.Host) {
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
// its state. It ignores a version that isn't higher than all earlier ones;
// version 0 always applies.
func (e *poolEntry) markLeaving(version uint64) bool {
	if version != 0 && version <= e.leavingVersion {
		return false
	}
	e.leavingVersion = max(e.leavingVersion, version)
	changed := !e.state.Leaving
	e.state.Leaving = true
	return changed
}

// applyReport applies a load report unless it is older than the last one. The
// requests that this host began after takenAt count as sent since the report.
func (e *poolEntry) applyReport(load upstream.Load, takenAt time.Time) {
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

// updateCounters sets InFlight and SentSinceReport from the start times of the
// requests in flight.
func (e *poolEntry) updateCounters() {
	e.state.InFlight = len(e.startTimes)
	sentSinceReport := 0
	for i := len(e.startTimes) - 1; i >= 0 && e.startTimes[i].After(e.state.ReportedAt); i-- {
		sentSinceReport++
	}
	e.state.SentSinceReport = sentSinceReport
}

// getsRequests reports whether the upstream gets requests: it is in the host list and isn't leaving.
func (e *poolEntry) getsRequests() bool { return !e.state.Leaving && e.absentSince.IsZero() }

func (e *poolEntry) begin(now time.Time) bool {
	if !e.getsRequests() || !e.state.Backoff.Allows(now) {
		return false
	}
	e.state.Backoff.RecordSent(now)
	e.startTimes = append(e.startTimes, now)
	e.updateCounters()
	return true
}

// end records an outcome and reports whether it ended a backoff.
func (e *poolEntry) end(outcome Outcome, now time.Time, ejection Ejection, jitter float64) (backoffEnded bool) {
	if len(e.startTimes) > 0 {
		e.startTimes = e.startTimes[1:]
	}
	if outcome.Leaving {
		e.state.Leaving = true
	}
	if outcome.Withheld {
		e.updateCounters()
		return false
	}
	if !outcome.Failed {
		backoffEnded = e.state.Backoff.Accepted(outcome.SentAt)
	}
	failed := outcome.Failed && !outcome.Leaving
	if outcome.Refused {
		failed = failed && !e.loadExplainsRefusal()
		e.markFull()
	}
	e.observeLatency(outcome.TimeToFirstToken)
	e.observeError(failed, now)
	e.state.EjectedUntil = e.ejection.observe(failed, e.state.ErrorRate, now, ejection, jitter)
	e.updateCounters()
	return backoffEnded
}

// loadExplainsRefusal reports whether the corrected load reaches the capacity.
// Otherwise a refusal counts as an error, because an upstream that refuses every
// request reports a low load, which would attract further requests.
func (e *poolEntry) loadExplainsRefusal() bool {
	return float64(CorrectedLoad(&e.state)) >= capacity(&e.state)
}

// markFull treats a refusal as a report of full load, so that requests are sent
// to other upstreams until the next report.
func (e *poolEntry) markFull() {
	if e.state.Reported.Capacity == 0 {
		e.state.Reported.Capacity = unreportedCapacity
	}
	full := int(math.Ceil(DefaultMaxLoad * float64(e.state.Reported.Capacity)))
	e.state.Reported.Running = max(e.state.Reported.Running, full)
}

func (e *poolEntry) observeLatency(firstToken time.Duration) {
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

func (e *poolEntry) observeError(failed bool, now time.Time) {
	rate := e.state.errorRateAt(now)
	e.state.errorRateUpdatedAt = now
	sample := 0.0
	if failed {
		sample = 1
	}
	e.state.ErrorRate = rate + errorGain*(sample-rate)
}
