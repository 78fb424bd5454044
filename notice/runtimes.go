package notice

import "time"

// RunTimes estimates the mean time for which requests are at upstreams. Requests in flight count with the time that they
// have taken so far: those that last long end last. The zero value is ready for use.
type RunTimes struct {
	// ended is the decayed number of requests that ended with an answer, and took the decayed sum of the times of
	// all that ended, in seconds.
	ended, took float64
	// inFlight is the number of requests in flight, started the sum of their start times, in seconds since the start of
	// the process.
	inFlight int
	started  float64
}

// runTimeDecay is the factor by which older requests count less with each one that ends.
const runTimeDecay = 0.98

// Start records that a request is sent.
func (r *RunTimes) Start(at time.Duration) {
	r.inFlight++
	r.started += at.Seconds()
}

// End records the end of a request that was sent at the given time. answered is set unless it was cut off.
func (r *RunTimes) End(startedAt, now time.Duration, answered bool) {
	r.inFlight--
	r.started -= startedAt.Seconds()
	if answered {
		r.ended, r.took = r.ended*runTimeDecay+1, r.took*runTimeDecay
	}
	r.took += (now - startedAt).Seconds()
}

// InFlight returns the number of requests in flight.
func (r *RunTimes) InFlight() int { return r.inFlight }

// Mean returns the mean time; 0 while no request has ended.
func (r *RunTimes) Mean(now time.Duration) time.Duration {
	if r.ended == 0 {
		return 0
	}
	inFlight := float64(r.inFlight)*now.Seconds() - r.started
	return time.Duration((r.took + inFlight) / r.ended * float64(time.Second))
}
