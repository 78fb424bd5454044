package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/admission"
)

// A host that can process 150 requests a second gets 20 of them for half a minute, and then the new connections of
// all callers: 640 a second, with one request each. Of the requests that it reads, at least three quarters must
// be answered within their deadline of 1.5 s. Without the filter it reads all and answers hardly any in time.
func TestSurgeOfConnectionsReplay(t *testing.T) {
	const (
		capacity  = 150
		deadline  = 1500 * time.Millisecond
		step      = time.Second / 1280
		surgeAt   = 30 * time.Second
		contactAt = surgeAt + 3*time.Second
	)
	for _, filtered := range []bool{false, true} {
		is := is.New(t)
		var f admission.ConnectionFilter
		start := time.Now()
		queue := []time.Duration{} // the arrivals of the requests that wait
		read, served, rejectedBefore, budget := 0, 0, 0, 0.0
		for at := time.Duration(0); at < 50*time.Second; at += step {
			every := 64 * step // 20 a second
			if at >= surgeAt {
				every = 2 * step
			}
			if at%every == 0 {
				switch accepted := f.Accept(start.Add(at)); {
				case accepted || !filtered:
					queue = append(queue, at)
					if at >= contactAt {
						read++
					}
				case at < surgeAt:
					rejectedBefore++
				}
			}
			for budget += capacity * step.Seconds(); budget >= 1 && len(queue) > 0; budget-- {
				if queue[0] >= contactAt && at-queue[0] < deadline {
					served++
				}
				queue = queue[1:]
			}
			budget = min(budget, 1)
			lag := time.Duration(0)
			if len(queue) > 0 {
				lag = at - queue[0]
			}
			f.SetLag(lag)
		}
		t.Logf("filtered %t: read %d, served in time %d", filtered, read, served)
		is.Equal(rejectedBefore, 0)
		is.Equal(4*served >= 3*read, filtered)
		if filtered {
			is.True(served > 15*capacity)
		}
	}
}

// A pause of the process delays its timers. The connections that arrived meanwhile are accepted.
func TestPauseRejectsNoConnections(t *testing.T) {
	is := is.New(t)
	var f admission.ConnectionFilter
	now := time.Now()
	for range 60 {
		for range 25 {
			is.True(f.Accept(now))
		}
		now = now.Add(time.Second)
	}
	f.SetLag(3 * time.Second)
	for range 45 {
		is.True(f.Accept(now))
	}
	is.True(!f.Rejecting(now))
}
