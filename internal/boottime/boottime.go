// Package boottime is the clock for ages that go on while a host is suspended: of
// leases, documents, budgets and beliefs about other hosts.
//
// Go's own monotonic clock stands still during a suspension. A host that judges by it
// believes on waking that what it knew is as young as before. Timers and deadlines of
// single requests stay on package time.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on the clock. The zero value is before all others.
type Instant struct{ at time.Time }

const (
	// refresh is the time for which a reading of the suspensions holds: they take
	// seconds, and a reading is two system calls.
	refresh = 10 * time.Millisecond
	// jitter is the difference between two readings that isn't a suspension.
	jitter = 5 * time.Millisecond
)

var (
	// suspended is the time that the host has been suspended for, in nanoseconds, and
	// readAt when it was read, in nanoseconds since start.
	suspended atomic.Int64
	readAt    atomic.Int64
	// simulated is added to it by Simulate.
	simulated atomic.Int64

	start = time.Now()
)

// Now returns the present moment.
func Now() Instant {
	now := time.Now()
	return Instant{now.Add(suspension(now))}
}

// Since is the time since the moment.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Until is the time until the moment.
func Until(i Instant) time.Duration { return i.Sub(Now()) }

// Sub is the time from another moment to this one.
func (i Instant) Sub(other Instant) time.Duration { return i.at.Sub(other.at) }

// Add is the moment so much later.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.at.Add(d)} }

// Before says whether the moment is before another one.
func (i Instant) Before(other Instant) bool { return i.at.Before(other.at) }

// After says whether the moment is after another one.
func (i Instant) After(other Instant) bool { return i.at.After(other.at) }

// IsZero says whether the moment was never set.
func (i Instant) IsZero() bool { return i.at.IsZero() }

// suspension is the time that the host has been suspended for.
func suspension(now time.Time) time.Duration {
	// Another process clock, such as a test's, may be before start.
	since := max(1, now.Sub(start).Abs().Nanoseconds())
	if last := readAt.Load(); last == 0 || since-last > int64(refresh) || since < last {
		readAt.Store(since)
		note(read())
	}
	return time.Duration(suspended.Load() + simulated.Load())
}

// note takes in a reading. Readings differ by the time between their two halves.
func note(reading int64) {
	if known := suspended.Load(); reading-known > int64(jitter) {
		suspended.CompareAndSwap(known, reading)
	}
}

// read returns how far the clock that counts suspensions is ahead of the one that
// doesn't; what was known if the system has no such clocks.
func read() int64 {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return suspended.Load()
	}
	return boot.Nano() - steady.Nano()
}

// Simulate moves the clock on as a suspension of the host would, for tests.
func Simulate(d time.Duration) { simulated.Add(int64(d)) }

// Elapsed is the present moment as the time since some moment of this process's own.
func Elapsed() time.Duration { return Now().Sub(Instant{start}) }
