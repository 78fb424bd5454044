// Package simulate provides an event queue in virtual time, for experiments
// that run policies in one goroutine with seeded random numbers.
//
// Tables prints the results of the runs. Nothing here models the network; each
// experiment has its own model.
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

// Queue runs events in the order of their times; events with the same time run
// in the order in which they were added.
type Queue struct {
	now            time.Time
	insertionCount int
	events         events
}

// New returns an empty queue at Epoch.
func New() *Queue { return &Queue{now: Epoch} }

// Now returns the virtual time. It can be used as a storage.Clock.
func (q *Queue) Now() time.Time { return q.now }

// After schedules f to run after d. A negative d counts as 0.
func (q *Queue) After(d time.Duration, f func()) {
	q.insertionCount++
	heap.Push(&q.events, event{at: q.now.Add(max(0, d)), order: q.insertionCount, run: f})
}

// Every schedules f to run every d, first after d, until f returns false.
func (q *Queue) Every(d time.Duration, f func() bool) {
	q.After(d, func() {
		if f() {
			q.Every(d, f)
		}
	})
}

// Run runs all events up to and including the time Epoch plus d, and sets the
// virtual time to it.
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

// events implements heap.Interface, ordered by time and then by insertion.
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

// NewRand returns a random number generator with the given seed.
func NewRand(seed int) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), 0)) }

// Exponential draws an exponentially distributed duration with the given mean.
func Exponential(rnd *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rnd.ExpFloat64() * float64(mean))
}

// LogNormal draws a log-normally distributed duration with the given median;
// sigma is the standard deviation of its natural logarithm.
func LogNormal(rnd *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rnd.NormFloat64()))
}

// Summary holds statistics over the results of several runs.
type Summary struct {
	Mean, Min, Median, Max float64
}

// Summarize returns the statistics of results, which must not be empty.
func Summarize(results []float64) Summary {
	sorted := slices.Sorted(slices.Values(results))
	sum := 0.0
	for _, x := range sorted {
		sum += x
	}
	return Summary{
		Mean:   sum / float64(len(sorted)),
		Min:    sorted[0],
		Median: sorted[len(sorted)/2],
		Max:    sorted[len(sorted)-1],
	}
}
