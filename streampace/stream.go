package streampace

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the waiting time after which an event has half the weight in a stream's pace.
	// It spans several preemptions of a few hundred milliseconds, so that one of them doesn't make a
	// stream look slow.
	paceHalfLife = 2 * time.Second
	// minWaited is the waiting time from which on a stream's pace is used. Engines send events in
	// batches, so that the pace of the first ones varies.
	minWaited = time.Second
	// minSlowness is the minimum time for an event, as a multiple of the usual one, at which a stream
	// is moved. Below it another engine wouldn't be much faster.
	minSlowness = 2
	// finishMargin is the factor by which the remaining events may take longer than usual at another
	// engine that is expected to finish in time.
	finishMargin = 1.25
	// minTimeLeft is the minimum time until the deadline at which a stream is moved: the prompt is
	// read again at the other engine, and the remaining events take some time.
	minTimeLeft = 500 * time.Millisecond
)

// Stream holds the pace of one stream. The zero value is a stream without events.
type Stream struct {
	// waited and events are sums that decay with the waiting time.
	waited time.Duration
	events float64
	// totalWaited and totalEvents don't decay.
	totalWaited time.Duration
	totalEvents int
}

// AddEvent adds an event for which the host waited for the given time.
func (s *Stream) AddEvent(waited time.Duration) {
	s.addWait(waited)
	s.events++
	s.totalEvents++
}

func (s *Stream) addWait(waited time.Duration) {
	weight := math.Exp2(-float64(waited) / float64(paceHalfLife))
	s.waited = time.Duration(weight*float64(s.waited)) + waited
	s.events *= weight
	s.totalWaited += waited
}

// TimePerEvent returns the current mean time for an event, if the host has waited for the next one
// for the given time. ok is false if the stream had no event yet or is too young.
func (s Stream) TimePerEvent(silence time.Duration) (d time.Duration, ok bool) {
	s.addWait(silence)
	if s.events == 0 || s.totalWaited < minWaited {
		return 0, false
	}
	// A silence of many half-lives would otherwise overflow the result.
	return time.Duration(min(float64(s.waited)/s.events, float64(time.Hour))), true
}

// MeanTime returns the mean time for an event over the whole stream; ok is false if it had none.
func (s *Stream) MeanTime() (d time.Duration, ok bool) {
	if s.totalEvents == 0 {
		return 0, false
	}
	return s.totalWaited / time.Duration(s.totalEvents), true
}

// Situation describes a stream at the time of a decision.
type Situation struct {
	// Silence is the time for which the host has waited for the next event.
	Silence time.Duration
	// MaxPause is the longest silence that is accepted.
	MaxPause time.Duration
	// RemainingEvents is the expected number of further events; 0 if it is unknown.
	RemainingEvents int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// UsualTime is the usual time for an event of such streams; 0 if it is unknown.
	UsualTime time.Duration
}

// Reason is why a stream should be moved.
type Reason string

const (
	// None: the stream should stay.
	None Reason = ""
	// Late: the stream is expected to end after its deadline.
	Late Reason = "late"
	// Silent: the stream has been silent for longer than is accepted.
	Silent Reason = "silent"
)

// ReasonToMove returns why the stream should be moved, if another engine can finish it in time. It
// returns None if the usual time for an event is unknown or the stream isn't much slower: if all
// engines are slow, moving streams only adds the work of reading their prompts again.
func (s *Stream) ReasonToMove(sit Situation) Reason {
	perEvent, ok := s.TimePerEvent(sit.Silence)
	if !ok || sit.UsualTime <= 0 || sit.TimeLeft < minTimeLeft || perEvent < minSlowness*sit.UsualTime {
		return None
	}
	switch {
	case sit.Silence > sit.MaxPause:
		return Silent
	case sit.RemainingEvents > 0 && float64(sit.RemainingEvents)*float64(perEvent) > float64(sit.TimeLeft):
		return Late
	}
	return None
}

// FinishesInTime reports whether an engine is expected to finish the stream before the deadline.
// timeToFirst is the expected time until its first event, slowness the time that its work takes as
// a multiple of the usual time. An unknown number of remaining events counts as one.
func FinishesInTime(sit Situation, timeToFirst time.Duration, slowness float64) bool {
	rest := finishMargin * max(1, slowness) * float64(max(1, sit.RemainingEvents)) * float64(sit.UsualTime)
	return float64(timeToFirst)+rest <= float64(sit.TimeLeft)
}
