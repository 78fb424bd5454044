// Package simulate is a queue of events in virtual time, for experiments that
// run policies in one goroutine with seeded randomness.
//
// Tables prints what the runs come to. Nothing here models the network; each
// experiment does that for itself.
package simulate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Epoch is the start of virtual time.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Queue runs events in the order of their times; events of the same time run
// in the order in which they were added.
type Queue struct {
	now    time.Time
	added  int
	events events
}

// New returns an empty queue at Epoch.
func New() *Queue { return &Queue{now: Epoch} }

// Now returns the virtual time. It serves as a platform.Clock.
func (q *Queue) Now() time.Time { return q.now }

// After runs f after d, at once if d is negative.
func (q *Queue) After(d time.Duration, f func()) {
	q.added++
	heap.Push(&q.events, event{at: q.now.Add(max(0, d)), order: q.added, run: f})
}

// Every runs f every d, first after d, while it returns true.
func (q *Queue) Every(d time.Duration, f func() bool) {
	q.After(d, func() {
		if f() {
			q.Every(d, f)
		}
	})
}

// Run runs all events up to and including the time Epoch plus d.
func (q *Queue) Run(d time.Duration) {
	end := Epoch.Add(d)
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = end
}

type event struct {
	at    time.Time
	order int
	run   func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// Random returns a source seeded by a run's number.
func Random(seed int) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), 0)) }

// Exponential draws a duration with the given mean.
func Exponential(rnd *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rnd.ExpFloat64() * float64(mean))
}

// LogNormal draws a duration with the given median and the standard deviation
// sigma of its logarithm.
func LogNormal(rnd *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rnd.NormFloat64()))
}

// Summary describes the results of several runs.
type Summary struct {
	Mean, Least, Median, Worst float64
}

// Summarize sums up results; it panics without any.
func Summarize(results []float64) Summary {
	sorted := slices.Sorted(slices.Values(results))
	sum := 0.0
	for _, x := range sorted {
		sum += x
	}
	return Summary{
		Mean:   sum / float64(len(sorted)),
		Least:  sorted[0],
		Median: sorted[len(sorted)/2],
		Worst:  sorted[len(sorted)-1],
	}
}
