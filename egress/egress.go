// Package egress decides by which path a host opens connections to upstreams. A host can lose its own
// path to all upstreams while callers and other hosts still reach it. To the host this looks as if all
// upstreams had failed.
//
// The package does no I/O. Its caller reports what happened to connections.
package egress

import (
	"sync"
	"time"
)

// suspectFailures is the number of consecutive failed connections from which on the host's own path
// may be the cause. A single one fails whenever an upstream terminates.
const suspectFailures = 2

// Tracker records the results of the host's own connections to upstreams. It is safe for concurrent
// use.
type Tracker struct {
	mu sync.Mutex
	// failures is the number of failed connections since the last usable one. The first of them
	// failed at firstFailureAt, and failedAt maps the addresses to the time of their last failure.
	failures       int
	firstFailureAt time.Time
	failedAt       map[string]time.Time
}

// NewTracker returns a tracker of a host that hasn't connected to an upstream yet.
func NewTracker() *Tracker { return &Tracker{failedAt: make(map[string]time.Time)} }

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

// ConnectionFailed records a connection to the address that couldn't be opened, or that ended before
// any byte was received. It returns all failures since the last usable connection.
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

// ConnectionUsable records that a connection, opened at the given time, delivered a byte. It returns
// the failures that end with it; none if the connection was opened before the first failure, since
// open connections may go on while new ones are refused.
func (t *Tracker) ConnectionUsable(openedAt time.Time) Failures {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures == 0 || openedAt.Before(t.firstFailureAt) {
		return Failures{}
	}
	ended := t.currentFailures()
	t.failures = 0
	clear(t.failedAt)
	return ended
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
