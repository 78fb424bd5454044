package streampace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	eventTime = 45 * time.Millisecond
	events    = 40
	deadline  = 20 * time.Second
	pause     = time.Second
	// restart is the time in which another engine reads the prompt again.
	restart = 300 * time.Millisecond
)

// preempted returns the function that tells how long an engine needs for the next event at a time:
// it works for 300 ms and is then occupied by more urgent requests for the given time.
func preempted(occupied time.Duration) func(now time.Duration) time.Duration {
	const works = 300 * time.Millisecond
	return func(now time.Duration) time.Duration {
		if phase := now % (works + occupied); phase+eventTime > works {
			return works + occupied - phase + eventTime
		}
		return eventTime
	}
}

// replay runs streams in virtual time, one for each engine, all begun at the same time. It returns
// when each of them ended (deadline if it didn't end in time) and the number of moves. A moved stream
// continues at the last engine.
func replay(engines []func(time.Duration) time.Duration, allowMoves bool) (ends []time.Duration, moves int) {
	type run struct {
		Stream
		engine      func(time.Duration) time.Duration
		record      *Record
		sent        int
		since, next time.Duration
		moved       bool
	}
	usual, start := &Usual{}, time.Unix(0, 0)
	usual.AddLength(4*events, events)
	runs := make([]run, len(engines))
	for i := range runs {
		runs[i] = run{engine: engines[i], next: engines[i](0)}
	}
	ends = make([]time.Duration, len(engines))
	for now := time.Duration(0); now < deadline; now += 10 * time.Millisecond {
		for i := range runs {
			r := &runs[i]
			for ; r.sent < events && r.next <= now; r.next += r.engine(r.next) {
				r.AddEvent(r.next - r.since)
				r.since = r.next
				if r.sent++; r.sent == events {
					ends[i] = r.next
				}
			}
			if r.sent == events || now%(200*time.Millisecond) != 0 {
				continue
			}
			if perEvent, ok := r.TimePerEvent(now - r.since); ok {
				r.record = usual.Update(r.record, perEvent, start.Add(now))
			}
			sit := Situation{
				Silence: now - r.since, MaxPause: pause, RemainingEvents: usual.RemainingEvents(4*events, r.sent),
				TimeLeft: deadline - now, UsualTime: usual.TimePerEvent(r.record, start.Add(now)),
			}
			if allowMoves && !r.moved && r.ReasonToMove(sit) != None && FinishesInTime(sit, restart, 1) {
				r.moved, r.engine, r.since, r.next, r.Stream = true, engines[len(engines)-1], now, now+restart, Stream{}
				moves++
			}
		}
	}
	for i := range ends {
		if ends[i] == 0 {
			ends[i] = deadline
		}
	}
	return ends, moves
}

// A low-priority stream of 40 events of 45 ms that is preempted again and again: its engine works on
// it for 300 ms and is then occupied for 3.5 s. Without a move it is still running at its deadline
// after 20 s. The other seven engines are free.
func TestReplayStreamThatIsPreemptedAgainAndAgain(t *testing.T) {
	is := is.New(t)
	engines := []func(time.Duration) time.Duration{preempted(3500 * time.Millisecond)}
	for range 7 {
		engines = append(engines, preempted(0))
	}
	ends, moves := replay(engines, false)
	is.Equal(ends[0], deadline)
	is.Equal(moves, 0)
	ends, moves = replay(engines, true)
	t.Log("ends", ends)
	is.Equal(moves, 1) // the other streams stay
	is.True(ends[0] < deadline/2)
}

// All engines are slow: 20 streams are preempted for the same part of the time, and no engine would
// finish them sooner. Moving them would only make the engines read their prompts again.
func TestReplayAllEnginesSlow(t *testing.T) {
	is := is.New(t)
	var engines []func(time.Duration) time.Duration
	for range 20 {
		engines = append(engines, preempted(3500*time.Millisecond))
	}
	_, moves := replay(engines, true)
	is.Equal(moves, 0)
}

// Each rule against a move, with a stream that would be moved otherwise.
func TestReasonToMove(t *testing.T) {
	slow := Situation{Silence: 100 * time.Millisecond, MaxPause: pause, RemainingEvents: 30, TimeLeft: 10 * time.Second, UsualTime: eventTime}
	tests := []struct {
		desc   string
		change func(*Situation)
		want   Reason
	}{
		{"late", func(*Situation) {}, Late},
		{"silent", func(s *Situation) { s.Silence = 2 * pause }, Silent},
		{"length unknown", func(s *Situation) { s.RemainingEvents = 0 }, None},
		{"silent and length unknown", func(s *Situation) { s.RemainingEvents, s.Silence = 0, 2*pause }, Silent},
		{"usual time unknown", func(s *Situation) { s.UsualTime = 0 }, None},
		{"all streams as slow", func(s *Situation) { s.UsualTime = 400 * time.Millisecond }, None},
		{"too close to the deadline", func(s *Situation) { s.TimeLeft = 400 * time.Millisecond }, None},
		{"ends in time", func(s *Situation) { s.RemainingEvents = 5 }, None},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			var s Stream
			for range 5 {
				s.AddEvent(500 * time.Millisecond)
			}
			sit := slow
			test.change(&sit)
			is.Equal(s.ReasonToMove(sit), test.want)
		})
	}
	is := is.New(t)
	is.True(FinishesInTime(slow, restart, 1))
	is.True(!FinishesInTime(slow, restart, 10)) // the engine is slow
	is.True(!FinishesInTime(slow, slow.TimeLeft, 1))
	var young Stream
	young.AddEvent(time.Millisecond)
	is.Equal(young.ReasonToMove(slow), None)
}

// The records are bounded, and old ones and the stream's own don't count.
func TestUsualTimePerEvent(t *testing.T) {
	is := is.New(t)
	var u Usual
	now := time.Unix(0, 0)
	own := u.Update(nil, time.Hour, now)
	is.Equal(u.TimePerEvent(own, now), time.Duration(0))
	for i := range 3 {
		u.Update(nil, time.Duration(i+1), now)
	}
	is.Equal(u.TimePerEvent(own, now), time.Duration(2)) // not 3, the median of all four
	for i := range 100 {
		u.Update(nil, time.Duration(i), now)
	}
	is.Equal(len(u.records), maxRecords)
	is.Equal(u.TimePerEvent(own, now), time.Duration(100-maxRecords/2))
	is.Equal(u.TimePerEvent(own, now.Add(2*maxRecordAge)), time.Duration(0))
	is.Equal(u.RemainingEvents(100, 1), 0)
	u.AddLength(100, 25)
	is.Equal(u.RemainingEvents(200, 10), 40)
	is.Equal(u.RemainingEvents(200, 90), 1)
}
