package returnschedule

import (
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
	// fixed is set if callers are told to return after 0.3 s instead of by the schedule.
	fixed  bool
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
}

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

func newReplay(fixed bool) *replay {
	return &replay{fixed: fixed, rand: rand.New(rand.NewPCG(1, 2)), calls: make(map[int][]*replayCall), perInterval: make(map[int]int)}
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
	first := !r.fixed && c.host.Redeem("s", digestOf(c.id), at(time.Duration(n)*step)).HasPrecedence()
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
	if !r.fixed {
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
	r.calls[next] = append(r.calls[next], c)
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

// The engines do nothing for 300 ms, and 1,000 requests arrive within 100 ms and are rejected. With
// a fixed time they return as one burst. The service can begin 20 requests in 50 ms.
func TestReplayRejectedBurstReturns(t *testing.T) {
	is := is.New(t)
	var served, peak [2]int
	for i, fixed := range []bool{true, false} {
		r := newReplay(fixed)
		var calls []*replayCall
		for id := range 1000 {
			calls = append(calls, r.add(id, id/50, false))
		}
		r.run(2100, 80)
		for _, c := range calls {
			if c.served {
				served[i]++
			}
		}
		for _, n := range r.perInterval {
			peak[i] = max(peak[i], n)
		}
		t.Logf("fixed %v: served %d of 1000, returned %d, at most %d in 50 ms, recognized %d", fixed, served[i], r.returned, peak[i], r.recognized)
	}
	is.True(served[0] < 300)
	is.True(served[1] > 950)
	is.True(peak[1]*4 < peak[0])
}

// For 3 s, 1.4 times as many requests arrive as the service can serve, and a third of the callers
// ignores the stated time and repeats every 20 ms. Callers that obey must gain by the schedule, and
// those that don't must not.
func TestReplayThirdOfCallersIgnoresTheTime(t *testing.T) {
	is := is.New(t)
	var obeying, ignoring [2]int
	for i, fixed := range []bool{true, false} {
		r := newReplay(fixed)
		var calls []*replayCall
		for id := range 1680 {
			calls = append(calls, r.add(id, id*600/1680, id%3 == 0))
		}
		r.run(2700, 0)
		for _, c := range calls {
			switch {
			case c.served && c.ignores:
				ignoring[i]++
			case c.served:
				obeying[i]++
			}
		}
		t.Logf("fixed %v: served %d of 1120 that obey, %d of 560 that don't; recognized %d of %d", fixed, obeying[i], ignoring[i], r.recognized, r.returned)
	}
	is.True(obeying[1] > obeying[0])
	is.True(ignoring[1] <= ignoring[0])
}
