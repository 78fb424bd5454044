package placement

import (
	"math"
	"time"
)

// maxSlotQueue bounds the number of requests at an engine that count in SlotWait, in multiples of
// its batch slots, so that a wrong figure doesn't exclude the engine.
const maxSlotQueue = 4

// slotSpread is the uncertainty of the number of requests at an engine, divided by the square root
// of its slots. It is about the standard deviation of those that begin and end in 300 ms, the age
// of the number, if each takes two seconds.
const slotSpread = 0.4

// SlotWait returns the expected time until a further request gets a batch slot at an engine with
// the given number of requests, running and waiting. holdTime is the mean time for which a request
// holds a slot. Since the number is old, the wait rises smoothly: it is small while half of the
// slots are free, so that hosts with the same data don't fill one engine before they use the next.
// The wait is the same for all priorities: if the engine preempts a less urgent request for this
// one, that request waits instead.
func SlotWait(requests float64, slots int, holdTime time.Duration, slowdown float64) time.Duration {
	if slots <= 0 || holdTime <= 0 || !(requests > 0) {
		return 0
	}
	n := float64(slots)
	spread := slotSpread * math.Sqrt(n)
	excess := min(requests, maxSlotQueue*n) - n + 1
	ahead := spread * math.Log1p(math.Exp(excess/spread))
	return scale(time.Duration(ahead/n*float64(holdTime)), BoundSlowdown(slowdown))
}

// Unseen is a random draw of what other hosts sent to an engine since its load was reported, relative
// to the mean for Requests.
type Unseen struct{ Requests, Prefills float64 }

const (
	// unseenSpread is the factor by which the number of requests that are drawn exceeds the mean
	// number of arrivals, because engines that look idle get more than the mean. A larger factor
	// weakens the preference for engines that cache a prompt.
	unseenSpread = 2
	// maxUnseen bounds the mean number of requests that are drawn.
	maxUnseen = 32
)

// DrawUnseen draws the unseen requests at an engine that receives the given mean number of requests
// in the time for which its load is old. Without the draw, all hosts would choose the engine that
// was the least loaded in their data until the next update; with it, their choices are spread over
// the engines whose loads differ by less than the unreported requests. random returns random
// numbers in [0, 1).
func DrawUnseen(arrivals float64, random func() float64) Unseen {
	if !(arrivals > 0) {
		return Unseen{}
	}
	mean := min(maxUnseen, unseenSpread*arrivals)
	drawn := float64(drawPoisson(mean, random))
	// As many requests ended as arrived, but the queued work that hosts assume is reduced by the
	// time since the report already.
	return Unseen{Requests: drawn - mean, Prefills: drawn / unseenSpread}
}

// drawPoisson draws from the Poisson distribution with the mean.
func drawPoisson(mean float64, random func() float64) int {
	n, product := 0, random()
	for limit := math.Exp(-mean); product > limit; n++ {
		product *= random()
	}
	return n
}

// maxOutputShare bounds the generated tokens that count for a request, as a fraction of the KV cache's
// capacity. Callers state any number; an answer within a deadline of 25 s has far fewer than the
// 69,000 or more tokens that are a fourth of an engine's capacity.
const maxOutputShare = 0.25

// MemoryTokens returns the number of tokens that a request with the prompt and the given number of
// generated tokens needs in the KV cache of an engine that caches the first n parts. Cached parts
// are there already, and requests that run concurrently share them. The number is at most the
// capacity of the KV cache, so that sums can't overflow; it is 0 if the capacity is unknown (0).
func (p *Prompt) MemoryTokens(n, outputTokens, capacity int) int {
	capacity = max(0, capacity)
	uncached := min(p.uncachedTokens(n), capacity)
	output := min(max(0, outputTokens), int(maxOutputShare*float64(capacity)))
	return uncached + min(output, capacity-uncached)
}

// LacksMemory reports whether a request that needs the given number of tokens has no room in a KV
// cache of the given capacity; false if the capacity is 0, which means unknown.
func LacksMemory(used float64, needed, capacity int) bool {
	return capacity > 0 && used+float64(needed) > float64(capacity)
}
