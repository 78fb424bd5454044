package returnschedule

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// replay is a service of 20 engines that serve one request of 50 ms at a time, and 10 hosts in
// front of it. A request that can't begin within 250 ms is rejected at once. Requests that return in
// their window go before others. Hosts exchange reservations as package exchange does: each sends
// and receives at most 16 every 150 ms, after 150 ms. Times are in steps of 5 ms.
type replay struct {
	way    way
	rand   *rand.Rand
	hosts  [10]Schedule
	unsent [10][]Promise
	log    []Promise
	read   [10]int
	calls  map[int][]*replayCall
	// firstQueue holds the requests with precedence.
	firstQueue, queue []*replayCall
	// perInterval counts the returning requests in each interval of 50 ms. recognized counts those
	// with precedence.
	perInterval          map[int]int
	returned, recognized int
	// waited is the sum of the times that obeying callers were given, in steps.
	waited int
}

// way is how the times at which callers return are chosen.
type way int

const (
	fixedTime  way = iota // 0.3 s
	randomTime            // 0.3 s to 3.3 s
	bySchedule
)

// replayCall is a caller's request. A caller that ignores the stated time repeats it every 20 ms,
// five times; others return once.
type replayCall struct {
	id, attempts      int
	deadline, expires int
	ignores, served   bool
	// host is the one that received the request last.
	host *Schedule
}

const (
	step         = 5 * ms
	engines      = 20
	serviceSteps = 10
	queueSteps   = 50
)

func newReplay(w way) *replay {
	return &replay{way: w, rand: rand.New(rand.NewPCG(1, 2)), calls: make(map[int][]*replayCall), perInterval: make(map[int]int)}
}

// add makes a caller send a request at the step, with a deadline 10 s later.
func (r *replay) add(id, step int, ignores bool) *replayCall {
	c := &replayCall{id: id, ignores: ignores, deadline: step + 2000}
	r.calls[step] = append(r.calls[step], c)
	return c
}

// run plays the steps. No engine serves a request before the step busyUntil.
func (r *replay) run(steps, busyUntil int) {
	var ends []int
	for n := range steps {
		if n%30 == 0 {
			r.exchange(n)
		}
		ends = slices.DeleteFunc(ends, func(end int) bool { return end <= n })
		for _, c := range r.calls[n] {
			r.arrive(c, n, max(0, busyUntil-n))
		}
		for n >= busyUntil && len(ends) < engines && len(r.firstQueue)+len(r.queue) > 0 {
			from := &r.firstQueue
			if len(*from) == 0 {
				from = &r.queue
			}
			c := (*from)[0]
			*from = (*from)[1:]
			if c.expires < n {
				r.reject(c, n, 0)
				continue
			}
			c.served = true
			ends = append(ends, n+serviceSteps)
		}
	}
}

func (r *replay) arrive(c *replayCall, n, busy int) {
	c.host = &r.hosts[r.rand.IntN(len(r.hosts))]
	c.attempts++
	first := r.way == bySchedule && c.host.Redeem("s", digestOf(c.id), at(time.Duration(n)*step)).HasPrecedence()
	if c.attempts > 1 && !c.ignores {
		r.returned++
		r.perInterval[n/10]++
		if first {
			r.recognized++
		}
	}
	ahead := len(r.firstQueue)
	if !first {
		ahead += len(r.queue)
	}
	c.expires = n + queueSteps
	switch wait := busy + ahead*serviceSteps/engines; {
	case wait > queueSteps:
		r.reject(c, n, wait)
	case first:
		r.firstQueue = append(r.firstQueue, c)
	default:
		r.queue = append(r.queue, c)
	}
}

// reject tells the caller when to return. A caller that obeys arrives up to 25 ms later than that.
func (r *replay) reject(c *replayCall, n, wait int) {
	after := 300 * ms
	switch r.way {
	case randomTime:
		after += time.Duration(r.rand.IntN(3000)) * ms
	case bySchedule:
		c.host.SetCapacity("s", 2*time.Second, at(time.Duration(n)*step))
		after = c.host.Promise(Request{
			Service: "s", Digest: digestOf(c.id), Rank: 1, Work: 50 * ms,
			Earliest: time.Duration(wait) * step, Remaining: time.Duration(c.deadline-n) * step,
		}, at(time.Duration(n)*step)).After
	}
	next := n + int(after/step) + r.rand.IntN(6)
	if c.ignores {
		next = n + 4
	}
	if c.attempts == 2 && !c.ignores || c.attempts == 6 || next >= c.deadline {
		return
	}
	if !c.ignores {
		r.waited += next - n
	}
	r.calls[next] = append(r.calls[next], c)
}

// String returns what the callers met. A step has 5 ms.
func (r *replay) String() string {
	peak := slices.Max(slices.Collect(maps.Values(r.perInterval)))
	return fmt.Sprintf("returned %d, at most %d in 50 ms, after %d ms in the mean, recognized %d", r.returned, peak, r.waited*5/r.returned, r.recognized)
}

func (r *replay) exchange(n int) {
	now := at(time.Duration(n) * step)
	for i := range r.hosts {
		r.unsent[i] = append(r.unsent[i], r.hosts[i].TakeNew()...)
		sent := min(16, len(r.unsent[i]))
		r.log = append(r.log, r.unsent[i][:sent]...)
		r.unsent[i] = r.unsent[i][sent:]
	}
	for i := range r.hosts {
		for count := 0; count < 16 && r.read[i] < len(r.log); r.read[i]++ {
			if p := r.log[r.read[i]]; p.Due.After(now) {
				r.hosts[i].Add(p, now)
				count++
			}
		}
	}
}

// The engines do nothing for 400 ms. 1,000 requests arrive within the first 100 ms and are rejected.
// With a fixed time they return as one burst, of which the service can begin 20 requests in 50 ms.
// Random times suit a burst of one size; a tenth as many requests must not wait as long.
func TestReplayRejectedBurstReturns(t *testing.T) {
	is := is.New(t)
	var served [3]int
	var replays [3]*replay
	for _, size := range []int{100, 1000} {
		for _, w := range []way{fixedTime, randomTime, bySchedule} {
			r := newReplay(w)
			var calls []*replayCall
			for id := range size {
				calls = append(calls, r.add(id, id*20/size, false))
			}
			r.run(2100, 80)
			served[w], _ = countServed(calls)
			replays[w] = r
			t.Logf("way %d: served %d of %d, %v", w, served[w], size, r)
		}
		is.Equal(served[bySchedule], size)
		is.True(size > 100 || 2*replays[bySchedule].waited < replays[randomTime].waited)
	}
	is.True(served[fixedTime] < 300)
	is.True(slices.Max(slices.Collect(maps.Values(replays[bySchedule].perInterval))) < 40)
}

// For 3 s, 1.4 times as many requests arrive as the service can serve, and a third of the callers
// ignores the stated time and repeats every 20 ms. Callers that obey must gain by the schedule, and
// those that don't must not.
func TestReplayThirdOfCallersIgnoresTheTime(t *testing.T) {
	is := is.New(t)
	var obeying, ignoring [3]int
	for _, w := range []way{fixedTime, randomTime, bySchedule} {
		r := newReplay(w)
		var calls []*replayCall
		for id := range 1680 {
			calls = append(calls, r.add(id, id*600/1680, id%3 == 0))
		}
		r.run(2700, 0)
		obeying[w], ignoring[w] = countServed(calls)
		t.Logf("way %d: served %d of 1120 that obey, %d of 560 that don't, %v", w, obeying[w], ignoring[w], r)
	}
	is.True(obeying[bySchedule] > obeying[fixedTime])
	is.True(ignoring[bySchedule] <= ignoring[fixedTime])
}

// countServed returns the number of served callers of both kinds.
func countServed(calls []*replayCall) (obeying, ignoring int) {
	for _, c := range calls {
		switch {
		case c.served && c.ignores:
			ignoring++
		case c.served:
			obeying++
		}
	}
	return obeying, ignoring
}
