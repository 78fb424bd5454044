package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
