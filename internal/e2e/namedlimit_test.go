package e2e

import (
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

const (
	// limitWindow is the time in which what an upstream is sent is counted.
	limitWindow = 4 * time.Second
	// toldGrace is how long a host that passed on a limit has to heed it, limitDue the time
	// from the first naming to the first window that counts.
	toldGrace = 500 * time.Millisecond
	limitDue  = 3 * time.Second
)

// limitPermits is how many requests may reach an upstream with the limit in any window.
func limitPermits(limit float64) int { return int(1.5*limitWindow.Seconds()*limit) + 5 }

// toldAt is when each host passed on the first answer that names a limit.
func toldAt(answers []fleetAnswer) map[string]time.Time {
	told := make(map[string]time.Time)
	for _, a := range answers {
		if first, ok := told[a.host]; a.limit != "" && (!ok || a.head.Before(first)) {
			told[a.host] = a.head
		}
	}
	return told
}

// sentByTold are the times of the runs that hosts sent which had been told for a while.
func sentByTold(runs []platformtest.Run, answers []fleetAnswer) []time.Time {
	told := toldAt(answers)
	hosts := make(map[string]string, len(answers))
	for _, a := range answers {
		hosts[a.id] = a.host
	}
	var at []time.Time
	for _, r := range runs {
		if first, ok := told[hosts[r.ID]]; ok && r.At.After(first.Add(toldGrace)) {
			at = append(at, r.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// mostInWindow is the greatest number in a window that ends later than a time.
func mostInWindow(at []time.Time, after time.Time) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= limitWindow {
			from++
		}
		if at[from].Add(limitWindow).After(after) {
			most = max(most, i-from+1)
		}
	}
	return most
}

// An upstream in need names the rate that it takes from all hosts together. No host knows
// what the others send.
func TestLimitOfAnUpstreamIsSharedByAllHosts(t *testing.T) {
	is := is.New(t)
	const limit = 1.9
	s := newFleetSystem(t, 9, 1)
	time.Sleep(3 * time.Second) // hubs answer, and what they granted before is known
	stop := s.callers(27)
	time.Sleep(time.Second)
	limited := s.upstreams[1]
	limited.SetLimit("1.9")
	named := time.Now()
	time.Sleep(12 * time.Second)
	until := time.Now()
	limited.SetLimit("")
	time.Sleep(10 * time.Second)
	answers := stop()
	runs := limited.StartedRuns()
	during := slices.DeleteFunc(slices.Clone(runs), func(r platformtest.Run) bool { return r.At.Before(named) || r.At.After(until) })
	at := sentByTold(during, answers)
	later := slices.DeleteFunc(slices.Clone(runs), func(r platformtest.Run) bool { return r.At.Before(until.Add(8 * time.Second)) })
	most := mostInWindow(at, named.Add(limitDue))
	t.Logf("%d runs in 12 s, %d by hosts that were told; %d in a window at most, %d permitted; %d in two seconds without the limit; %d of %d requests served",
		len(during), len(at), most, limitPermits(limit), len(later), served(answers), len(answers))
	for _, h := range s.gateways {
		line := regexp.MustCompile(`event=upstream-limited .*`).FindString(h.output())
		is.True(line != "") // a log tells who knew of the limit
		t.Logf("%s: %s", h.name, line)
	}
	is.True(most <= limitPermits(limit))
	is.True(float64(len(at)) >= limit*12/2)     // it isn't left idle
	is.True(len(later) > 2*limitPermits(limit)) // nor held back later
	is.Equal(served(answers), len(answers))     // others took the rest
	is.Equal(s.problems(), nil)
}
