// Package boottime provides a clock that continues while the host is suspended. Use it for the
// ages of leases, documents and observations of other hosts, and for budgets and pauses.
//
// Go's own monotonic clock stops during a suspension: a host that uses it treats data from
// before the suspension as recent after resuming. Timers, and the measurement of single calls,
// use package time.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// refreshInterval is how long a reading of the suspended time is cached. Suspensions last
	// seconds, and a reading takes three system calls.
	refreshInterval = 10 * time.Millisecond
	// maxReadError is the maximum difference between two readings of the suspended time if
	// there was no suspension between them.
	maxReadError = 5 * time.Millisecond
)

var (
	// start is when the process started; initialOffset is the time for which the host had been
	// suspended by then.
	start         = time.Now()
	initialOffset = clockOffset(0)
	// suspendedNanos is the time for which the host has been suspended since start;
	// refreshedAtNanos is when it was last read, as the time since start.
	suspendedNanos   atomic.Int64
	refreshedAtNanos atomic.Int64
	// simulatedNanos is the time that SimulateSuspension adds to suspendedNanos.
	simulatedNanos atomic.Int64
)

// Now returns the current time. Compare it only with other times of this clock: after a
// suspension they are ahead of those of package time.
func Now() time.Time {
	now := time.Now()
	return now.Add(suspension(now))
}

// Since returns the time since t, which must be a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must be a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Elapsed returns the time since the start of the process.
func Elapsed() time.Duration { return SinceStart(Now()) }

// SinceStart returns the time from the start of the process to t, which must be a time of this clock.
func SinceStart(t time.Time) time.Duration { return t.Sub(start) }

// suspension returns the time for which the host has been suspended since start.
func suspension(now time.Time) time.Duration {
	// The virtual clock of a test may be earlier than start.
	since := max(1, now.Sub(start).Abs().Nanoseconds())
	if lastRefresh := refreshedAtNanos.Load(); lastRefresh == 0 || since-lastRefresh > int64(refreshInterval) || since < lastRefresh {
		refreshedAtNanos.Store(since)
		updateSuspended(clockOffset(initialOffset+suspendedNanos.Load()) - initialOffset)
	}
	return time.Duration(suspendedNanos.Load() + simulatedNanos.Load())
}

// updateSuspended stores a new reading of the suspended time if it shows a suspension. Readings
// without one may differ by the time between the system calls of a reading.
func updateSuspended(offset int64) {
	if current := suspendedNanos.Load(); offset-current > int64(maxReadError) {
		suspendedNanos.CompareAndSwap(current, offset)
	}
}

// clockOffset returns how far the clock that includes suspensions is ahead of the one that
// doesn't, or the fallback if the system lacks these clocks.
func clockOffset(fallback int64) int64 { return clockOffsetBy(unix.ClockGettime, fallback) }

// maxReadAttempts is how often the clocks are read until a reading isn't interrupted.
const maxReadAttempts = 5

// clockOffsetBy is clockOffset with the given function that reads a clock. A thread that loses its
// processor between the two readings would take that time for a suspension, so the first clock is
// read once more after the second.
func clockOffsetBy(read func(clock int32, into *unix.Timespec) error, fallback int64) int64 {
	for range maxReadAttempts {
		var before, boot, after unix.Timespec
		if read(unix.CLOCK_MONOTONIC, &before) != nil || read(unix.CLOCK_BOOTTIME, &boot) != nil || read(unix.CLOCK_MONOTONIC, &after) != nil {
			return fallback
		}
		if after.Nano()-before.Nano() < int64(maxReadError) {
			return boot.Nano() - before.Nano()
		}
	}
	return fallback
}

// SimulateSuspension advances the clock as a suspension of the host would, for tests; undo
// reverts that.
func SimulateSuspension(d time.Duration) (undo func()) {
	simulatedNanos.Add(int64(d))
	return func() { simulatedNanos.Add(-int64(d)) }
}
