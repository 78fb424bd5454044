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
	// limitWindow is the length of the windows in which requests to an upstream are counted.
	limitWindow = 4 * time.Second
	// limitReactionTime is the time from a host's first answer that contains a limit until the
	// host must keep the limit. limitCheckDelay is the time from when the upstream starts to
	// send limits to the end of the first window that is checked.
	limitReactionTime = 500 * time.Millisecond
	limitCheckDelay   = 3 * time.Second
)

// maxRunsInWindow returns the maximum number of requests that may reach an upstream within
// limitWindow if it sends the given limit.
func maxRunsInWindow(limit float64) int { return int(1.5*limitWindow.Seconds()*limit) + 5 }

// firstLimitTimes returns, by host, when the host's first answer that contains a limit reached
// the caller.
func firstLimitTimes(answers []gatewayAnswer) map[string]time.Time {
	firstReceived := make(map[string]time.Time)
	for _, a := range answers {
		if first, ok := firstReceived[a.host]; a.limit != "" && (!ok || a.headAt.Before(first)) {
			firstReceived[a.host] = a.headAt
		}
	}
	return firstReceived
}

// runStartsFromHostsWithLimit returns, in order, the start times of the runs of requests that
// hosts sent more than limitReactionTime after they had received a limit.
func runStartsFromHostsWithLimit(runs []platformtest.Run, answers []gatewayAnswer) []time.Time {
	firstReceived := firstLimitTimes(answers)
	hosts := make(map[string]string, len(answers))
	for _, a := range answers {
		hosts[a.id] = a.host
	}
	var at []time.Time
	for _, r := range runs {
		if first, ok := firstReceived[hosts[r.ID]]; ok && r.At.After(first.Add(limitReactionTime)) {
			at = append(at, r.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// maxInWindow returns the greatest number of times in any window that ends after a time.
func maxInWindow(at []time.Time, after time.Time) int {
	greatest, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= limitWindow {
			from++
		}
		if at[from].Add(limitWindow).After(after) {
			greatest = max(greatest, i-from+1)
		}
	}
	return greatest
}

// An upstream that is overloaded sends a limit for the requests of all hosts together. The
// hosts must keep it although none of them receives the request rates of the others.
func TestLimitOfAnUpstreamIsSharedByAllHosts(t *testing.T) {
	is := is.New(t)
	const limit = 1.9
	s := newGatewaySystem(t, 9, 1)
	time.Sleep(3 * time.Second) // until hubs answer and earlier grants are known
	stop := s.startCallers(27)
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
	at := runStartsFromHostsWithLimit(during, answers)
	later := slices.DeleteFunc(slices.Clone(runs), func(r platformtest.Run) bool { return r.At.Before(until.Add(8 * time.Second)) })
	greatest := maxInWindow(at, named.Add(limitCheckDelay))
	t.Logf("%d runs in 12 s, %d by hosts that had the limit; %d in a window at most, %d permitted; %d in two seconds without the limit; %d of %d requests served",
		len(during), len(at), greatest, maxRunsInWindow(limit), len(later), countServed(answers), len(answers))
	for _, h := range s.gateways {
		line := regexp.MustCompile(`event=upstream-limited .*`).FindString(h.output())
		is.True(line != "") // each host logs that it received the limit
		t.Logf("%s: %s", h.name, line)
	}
	is.True(greatest <= maxRunsInWindow(limit))
	is.True(float64(len(at)) >= limit*12/2)        // the upstream is still used
	is.True(len(later) > 2*maxRunsInWindow(limit)) // and is not limited afterwards
	is.Equal(countServed(answers), len(answers))   // other upstreams served the rest
	is.Equal(s.problems(), nil)
}
