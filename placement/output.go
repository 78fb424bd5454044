package placement

import "time"

// OutputRate estimates how long engines take to generate the events of a stream. An engine generates
// the tokens of its batch in turns with the prefill of other prompts, so that an event takes longer
// the more requests the engine has: 45 ms (median) with up to 3 of 12, 100 ms with 4 to 7 and 147 ms
// with 8 to 11. The zero value has no estimate. It isn't safe for concurrent use.
type OutputRate struct {
	// perRequest is the decayed mean time of an event at the mean engine, divided by the number of
	// requests there, the stream's own included.
	perRequest time.Duration
}

const (
	// outputRateGain is the weight of a new stream in the mean.
	outputRateGain = 0.05
	// minOutputEvents is the number of events from which a stream's pace is a sample. The events of
	// shorter ones arrive together.
	minOutputEvents = 3
)

// Observe adds a stream whose events took the given time after the first one, at an engine with the
// given slowdown and number of other requests when it was chosen.
func (o *OutputRate) Observe(events int, took time.Duration, slowdown, requests float64) {
	if events < minOutputEvents || took <= 0 || !(requests >= 0) {
		return
	}
	sample := time.Duration(float64(took) / float64(events-1) / BoundSlowdown(slowdown) / (requests + 1))
	if o.perRequest == 0 {
		o.perRequest = sample
	}
	o.perRequest += time.Duration(outputRateGain * float64(sample-o.perRequest))
}

// Time returns the expected time of the events at an engine; 0 without an estimate.
func (o *OutputRate) Time(events, slowdown, requests float64) time.Duration {
	if !(events > 0) || !(requests >= 0) {
		return 0
	}
	return time.Duration(events * BoundSlowdown(slowdown) * (requests + 1) * float64(o.perRequest))
}

// outputCost returns the cost of the time that the events take: like that of the latency, it is small
// far below the time that is left, and counts in full if it uses it up.
func (r *Request) outputCost(c *Candidate) time.Duration {
	if r.Remaining <= 0 {
		return 0
	}
	return time.Duration(float64(c.OutputTime) * float64(c.OutputTime) / float64(r.Remaining))
}
