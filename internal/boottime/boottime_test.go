package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// A suspension advances the clock by its duration.
func TestSuspensionCounts(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		is := is.New(t)
		before, monotonicStart := Now(), time.Now()
		undo := SimulateSuspension(d)
		passed, monotonicElapsed := Since(before), time.Since(monotonicStart)
		is.True(passed >= d)
		is.True(passed < d+monotonicElapsed+time.Second) // the clock advances by nothing else
		is.True(before.Before(Now()))
		is.True(Until(before) <= -d)
		undo()
	}
}

// Without a suspension the clock advances like the monotonic one.
func TestClockIsSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before := Now()
		time.Sleep(3 * time.Second)
		is.Equal(Since(before), 3*time.Second)
		is.True(before.Add(time.Second).After(before))
	})
}

// A reading that differs from the last one by no more than maxReadError isn't taken for a
// suspension; one that exceeds it by more is.
func TestJitterIsNoSuspension(t *testing.T) {
	is := is.New(t)
	current := suspendedNanos.Load()
	defer suspendedNanos.Store(current)
	updateSuspended(current + int64(maxReadError))
	is.Equal(suspendedNanos.Load(), current)
	updateSuspended(current - int64(time.Second))
	is.Equal(suspendedNanos.Load(), current) // it never decreases
	updateSuspended(current + int64(2*time.Second))
	is.Equal(suspendedNanos.Load(), current+int64(2*time.Second))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// Guards against a thread that loses its processor between the readings of two clocks and takes that
// for a suspension of the host, for the rest of the process's life.
func TestInterruptedReadingIsNoSuspension(t *testing.T) {
	is := is.New(t)
	const suspended, interruption = int64(7 * time.Second), int64(80 * time.Millisecond)
	now, readings := int64(time.Hour), 0
	clocks := func(interrupted func(reading int) bool) func(clock int32, into *unix.Timespec) error {
		return func(clock int32, into *unix.Timespec) error {
			if readings++; interrupted(readings) {
				now += interruption
			}
			*into = unix.NsecToTimespec(now)
			if clock == unix.CLOCK_BOOTTIME {
				*into = unix.NsecToTimespec(now + suspended)
			}
			return nil
		}
	}
	is.Equal(clockOffsetBy(clocks(func(reading int) bool { return reading == 2 }), 0), suspended)
	is.Equal(clockOffsetBy(clocks(func(int) bool { return true }), suspended-1), suspended-1) // no reading is usable
}
