package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// After a suspension the clock is ahead by its duration.
func TestSuspensionCounts(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		is := is.New(t)
		before, monotonicStart := Now(), time.Now()
		undo := SimulateSuspension(d)
		passed, monotonicElapsed := Since(before), time.Since(monotonicStart)
		is.True(passed >= d)
		is.True(passed < d+monotonicElapsed+time.Second) // nothing else is added
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

// A reading that differs by no more than the time between its system calls isn't a suspension; a
// greater difference is one.
func TestJitterIsNoSuspension(t *testing.T) {
	is := is.New(t)
	current := suspended.Load()
	defer suspended.Store(current)
	updateSuspended(current + int64(maxReadError))
	is.Equal(suspended.Load(), current)
	updateSuspended(current - int64(time.Second))
	is.Equal(suspended.Load(), current) // it never decreases
	updateSuspended(current + int64(2*time.Second))
	is.Equal(suspended.Load(), current+int64(2*time.Second))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
