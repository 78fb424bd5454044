// Package boottime is the clock for ages that go on while a host is suspended: of
// leases, documents, budgets, silences and beliefs about other hosts.
//
// Go's own monotonic clock stands still during a suspension. A host that judges by it
// believes on waking that what it knew is as young as before. Timers, and the time that a
// single call takes, stay on package time.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// refresh is the time for which a reading of the suspensions holds: they take
	// seconds, and a reading is two system calls.
	refresh = 10 * time.Millisecond
	// jitter is the difference between two readings that isn't a suspension.
	jitter = 5 * time.Millisecond
)

var (
	// start and before are when the process started, and the time that the host had been
	// suspended for by then.
	start  = time.Now()
	before = read(0)
	// suspended is the time that the host has been suspended for since, in nanoseconds,
	// and readAt when it was read, in nanoseconds since start.
	suspended atomic.Int64
	readAt    atomic.Int64
	// simulated is added to it by Simulate.
	simulated atomic.Int64
)

// Now returns the present moment. Moments of this clock are compared with each other only:
// after a suspension they are ahead of those of package time.
func Now() time.Time {
	now := time.Now()
	return now.Add(suspension(now))
}

// Since is the time since a moment of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time until a moment of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Elapsed is the present moment as the time since some moment of this process's own.
func Elapsed() time.Duration { return Now().Sub(start) }

// suspension is the time that the host has been suspended for since the start.
func suspension(now time.Time) time.Duration {
	// A test's clock may be before start.
	since := max(1, now.Sub(start).Abs().Nanoseconds())
	if last := readAt.Load(); last == 0 || since-last > int64(refresh) || since < last {
		readAt.Store(since)
		note(read(before) - before)
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
// doesn't; the given value if the system has no such clocks.
func read(otherwise int64) int64 {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return otherwise
	}
	return boot.Nano() - steady.Nano()
}

// Simulate moves the clock on as a suspension of the host would, for tests; undo takes
// that back.
func Simulate(d time.Duration) (undo func()) {
	simulated.Add(int64(d))
	return func() { simulated.Add(-int64(d)) }
}
