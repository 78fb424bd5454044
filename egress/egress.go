// Package egress decides by which path a host opens connections to upstreams: by its own, or relayed by
// another host. A host can lose its own path to all upstreams while callers and other hosts still reach
// it. To the host this looks as if all upstreams had failed, so the package compares the two paths
// before it concludes anything.
//
// The package does no I/O. Its caller reports what happened to connections, makes the probes that are
// due and reports their results.
package egress

import (
	"sync"
	"time"
)

// Path is a way by which connections to upstreams are opened.
type Path int

const (
	// Direct: the host connects to the upstream itself.
	Direct Path = iota
	// Relayed: another host connects to the upstream and relays the data.
	Relayed
)

// String returns the path's name in logs.
func (p Path) String() string { return [...]string{"direct", "relayed"}[p] }

const (
	// suspectFailures is the number of consecutive failed connections from which on the host's own
	// path may be the cause. A single one fails whenever an upstream terminates.
	suspectFailures = 2
	// SilenceLimit is the time without any byte from upstreams, while several owe an answer, from
	// which on the host's own path may be the cause.
	SilenceLimit = 500 * time.Millisecond
	// minDiagnosisInterval and maxDiagnosisInterval bound the time between two diagnoses. The
	// interval doubles with each diagnosis that finds no other path, and is reset by a usable
	// connection.
	minDiagnosisInterval = 250 * time.Millisecond
	maxDiagnosisInterval = 4 * time.Second
	// maxUnrelayedInterval bounds it after a diagnosis in which no other host tried to reach the
	// upstreams, since that one compared nothing.
	maxUnrelayedInterval = 500 * time.Millisecond
	// minSilenceInterval and maxSilenceInterval bound the time between two diagnoses because of
	// silence that find the direct path usable. On a host with few requests, slow answers look like
	// silence. The interval is reset after silenceMemory without such a diagnosis.
	minSilenceInterval = time.Second
	maxSilenceInterval = 16 * time.Second
	silenceMemory      = time.Minute
	// RecoveryInterval is the time between two probes of the direct path while connections are
	// relayed.
	RecoveryInterval = 500 * time.Millisecond
	// minRecoveryProbes is the number of consecutive successful probes after which the direct path
	// is used again. It doubles, up to maxRecoveryProbes, each time the path is lost again within
	// stableTime.
	minRecoveryProbes = 2
	maxRecoveryProbes = 8
	stableTime        = 15 * time.Second
)

// Tracker decides the path by the results of connections and probes. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	path Path
	// failures is the number of failed connections since the last usable one. The first of them
	// failed at firstFailureAt, and failedAt maps the addresses to the time of their last failure.
	failures       int
	firstFailureAt time.Time
	failedAt       map[string]time.Time
	// silent is set while several upstreams owe an answer and none sends anything.
	silent bool

	// nextDiagnosisAt is the earliest time of the next diagnosis, diagnosisInterval the time between
	// two that found no path.
	nextDiagnosisAt   time.Time
	diagnosisInterval time.Duration
	// nextSilenceAt, silenceInterval and silenceDiagnosedAt are the same for diagnoses because of
	// silence that found the direct path usable.
	nextSilenceAt      time.Time
	silenceInterval    time.Duration
	silenceDiagnosedAt time.Time

	// nextProbeAt is when the next probe of the direct path is due, probesNeeded the number of
	// successful ones that end the relaying, and probesPassed that of the last consecutive ones.
	nextProbeAt  time.Time
	probesNeeded int
	probesPassed int
	// changedAt is when the path changed.
	changedAt time.Time
}

// NewTracker returns a tracker of a host that hasn't connected to an upstream yet.
func NewTracker() *Tracker {
	return &Tracker{failedAt: make(map[string]time.Time), probesNeeded: minRecoveryProbes}
}

// Failures describes connections that failed without a usable one in between.
type Failures struct {
	// Count is the number of connections, Addresses that of the upstreams' addresses.
	Count, Addresses int
	// Since is the time of the first failure.
	Since time.Time
}

// Suspicious reports whether the host's own path may be the cause of the failures.
func (f Failures) Suspicious() bool { return f.Count >= suspectFailures }

// maxFailedAddresses bounds the addresses that a tracker keeps. Their number is only logged.
const maxFailedAddresses = 256

// Path returns the path for new connections.
func (t *Tracker) Path() Path {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.path
}

// ConnectionFailed records a direct connection to the address that couldn't be opened, or that ended
// before any byte was received. It returns all failures since the last usable connection.
func (t *Tracker) ConnectionFailed(address string, now time.Time) Failures {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures == 0 {
		t.firstFailureAt = now
	}
	t.failures++
	if len(t.failedAt) < maxFailedAddresses {
		t.failedAt[address] = now
	}
	return t.currentFailures()
}

// ConnectionUsable records that a direct connection, opened at the given time, delivered a byte. It
// returns the failures that end with it; none if the connection was opened before the first failure,
// since open connections may go on while new ones are refused.
func (t *Tracker) ConnectionUsable(openedAt time.Time) Failures {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures == 0 || openedAt.Before(t.firstFailureAt) {
		return Failures{}
	}
	ended := t.currentFailures()
	t.endFailures()
	return ended
}

// endFailures forgets the failures, since the direct path is usable. The lock must be held.
func (t *Tracker) endFailures() {
	t.failures = 0
	clear(t.failedAt)
	t.diagnosisInterval, t.nextDiagnosisAt = 0, time.Time{}
}

// SetSilent records whether several upstreams owe an answer over direct connections while none sent
// anything for SilenceLimit.
func (t *Tracker) SetSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// Failures returns the failures since the last usable connection.
func (t *Tracker) Failures() Failures {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentFailures()
}

func (t *Tracker) currentFailures() Failures {
	return Failures{Count: t.failures, Addresses: len(t.failedAt), Since: t.firstFailureAt}
}

// DiagnosisDue reports whether the two paths must be compared now: the direct one is in use and may be
// interrupted, and the last comparison is long enough ago.
func (t *Tracker) DiagnosisDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.path != Direct || now.Before(t.nextDiagnosisAt) {
		return false
	}
	return t.currentFailures().Suspicious() || t.silent && !now.Before(t.nextSilenceAt)
}

// Diagnosis holds the result of probes of the same upstreams by both paths.
type Diagnosis struct {
	// Direct and Relayed report whether any upstream answered by the path.
	Direct, Relayed bool
	// Compared reports whether another host tried to reach the upstreams.
	Compared bool
}

// RecordDiagnosis records a diagnosis and returns the path for new connections from now on. If no
// upstream answers by either path, the upstreams are the cause, or there is no host to relay.
func (t *Tracker) RecordDiagnosis(d Diagnosis, now time.Time) Path {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.path != Direct {
		return t.path
	}
	switch {
	case d.Direct:
		if !t.currentFailures().Suspicious() {
			t.postponeSilence(now)
		}
		t.endFailures()
		t.nextDiagnosisAt = now.Add(minDiagnosisInterval)
	case d.Relayed:
		t.useRelays(now)
	default:
		longest := maxUnrelayedInterval
		if d.Compared {
			longest = maxDiagnosisInterval
		}
		t.diagnosisInterval = min(max(2*t.diagnosisInterval, minDiagnosisInterval), longest)
		t.nextDiagnosisAt = now.Add(t.diagnosisInterval)
	}
	return t.path
}

// postponeSilence postpones the next diagnosis because of silence. The lock must be held.
func (t *Tracker) postponeSilence(now time.Time) {
	if now.Sub(t.silenceDiagnosedAt) > silenceMemory {
		t.silenceInterval = 0
	}
	t.silenceInterval = min(max(2*t.silenceInterval, minSilenceInterval), maxSilenceInterval)
	t.silenceDiagnosedAt, t.nextSilenceAt = now, now.Add(t.silenceInterval)
}

// useRelays changes the path to Relayed. The lock must be held.
func (t *Tracker) useRelays(now time.Time) {
	if !t.changedAt.IsZero() && now.Sub(t.changedAt) < stableTime {
		t.probesNeeded = min(2*t.probesNeeded, maxRecoveryProbes)
	} else {
		t.probesNeeded = minRecoveryProbes
	}
	t.path, t.changedAt, t.silent = Relayed, now, false
	t.endFailures()
	t.probesPassed, t.nextProbeAt = 0, now.Add(RecoveryInterval)
}

// ProbeDue reports whether the direct path must be probed now, and postpones the next probe if so.
func (t *Tracker) ProbeDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.path != Relayed || now.Before(t.nextProbeAt) {
		return false
	}
	t.nextProbeAt = now.Add(RecoveryInterval)
	return true
}

// RecordProbe records whether an upstream answered a probe by the direct path, and returns the path for
// new connections from now on.
func (t *Tracker) RecordProbe(answered bool, now time.Time) Path {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.path != Relayed {
		return t.path
	}
	if !answered {
		t.probesPassed = 0
		return t.path
	}
	if t.probesPassed++; t.probesPassed >= t.probesNeeded {
		t.path, t.changedAt = Direct, now
		t.endFailures()
	}
	return t.path
}
