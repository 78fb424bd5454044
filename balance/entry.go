package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const (
	// latencyGain is the weight of a new measurement in the mean latency.
	latencyGain = 0.1
	// errorGain is the weight of a new outcome in the error rate.
	errorGain = 0.1
	// errorHalfLife is the time in which an error rate without new outcomes
	// halves, so that an upstream that repaired itself is tried again.
	errorHalfLife = 10 * time.Second
)

// entry is the state of one upstream. All but snapshot is guarded by the lock
// of its shard.
type entry struct {
	snapshot atomic.Pointer[Upstream]
	state    Upstream
	// begun holds when the requests in flight began, in ascending order.
	begun []time.Time
	// leavingVersion is the highest version of a leaving fact seen.
	leavingVersion uint64
	// absentSince is when the upstream vanished from the list; zero if listed.
	absentSince time.Time
	ejection    ejectionState
}

func (e *entry) inFlight() int { return len(e.begun) }

// publish replaces the snapshot that readers see.
func (e *entry) publish() {
	snapshot := e.state
	e.snapshot.Store(&snapshot)
}

// renew starts a new incarnation: only leavingVersion outlives the old one.
func (e *entry) renew() {
	e.state = Upstream{}
	e.begun = nil
	e.ejection = ejectionState{}
}

// isOver says that the incarnation has been absent for so long that the upstream
// would return as another one.
func (e *entry) isOver(now time.Time, absentFor time.Duration) bool {
	return !e.absentSince.IsZero() && now.Sub(e.absentSince) >= absentFor
}

// list takes over what the platform's list says.
func (e *entry) list(h storage.Host) {
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

// leave marks the upstream as leaving and says whether that was news.
func (e *entry) leave(version uint64) bool {
	if version != 0 && version <= e.leavingVersion {
		return false
	}
	e.leavingVersion = max(e.leavingVersion, version)
	changed := !e.state.Leaving
	e.state.Leaving = true
	return changed
}

// report takes over a report; own requests begun later come on top of it.
func (e *entry) report(load upstream.Load, takenAt time.Time) {
	if takenAt.Before(e.state.ReportedAt) {
		return
	}
	e.state.Reported = load
	e.state.ReportedAt = takenAt
	// A report on an answer's head doesn't name the versions.
	if load.Versions != nil {
		e.state.Versions = load.Versions
	}
	if load.Leaving {
		e.state.Leaving = true
	}
	e.count()
}

// count derives the counters in the snapshot from the requests in flight.
func (e *entry) count() {
	e.state.InFlight = len(e.begun)
	sent := 0
	for i := len(e.begun) - 1; i >= 0 && e.begun[i].After(e.state.ReportedAt); i-- {
		sent++
	}
	e.state.SentSinceReport = sent
}

func (e *entry) begin(now time.Time) bool {
	if e.state.Leaving || !e.absentSince.IsZero() {
		return false
	}
	e.begun = append(e.begun, now)
	e.count()
	return true
}

func (e *entry) end(outcome Outcome, now time.Time, ejection Ejection, jitter float64) {
	if len(e.begun) > 0 {
		e.begun = e.begun[1:]
	}
	if outcome.Leaving {
		e.state.Leaving = true
	}
	failed := outcome.Err && !outcome.Leaving
	if outcome.Refused {
		failed = failed && !e.busy()
		e.refused()
	}
	e.observeLatency(outcome.FirstToken)
	e.observeError(failed, now)
	e.state.EjectedUntil = e.ejection.observe(failed, e.state.ErrorRate, now, ejection, jitter)
	e.count()
}

// busy says whether the last report explains a refusal. A refusal that it
// doesn't explain is an error: an upstream that refuses all it gets looks
// idle.
func (e *entry) busy() bool {
	return float64(CorrectedLoad(&e.state)) >= capacity(&e.state)
}

// refused treats a refusal as a report of a full upstream: until the next
// report, further requests go elsewhere.
func (e *entry) refused() {
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
	value := 0.0
	if failed {
		value = 1
	}
	e.state.ErrorRate = rate + errorGain*(value-rate)
}
