package failover_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// A request that has begun must not be refused: its caller would be cut off, or wouldn't know whether it ran.
func TestRequestThatBeganIsRefused(t *testing.T) {
	for _, state := range []runstate.State{runstate.NotRun, runstate.MayHaveRun, runstate.Ran} {
		for _, answered := range []bool{false, true} {
			for _, reserved := range []bool{false, true} {
				p := failover.Progress{State: state, Answered: answered, Reserved: reserved}
				is.New(t).Equal(p.MayRefuse(), state == runstate.NotRun && !answered && !reserved)
			}
		}
	}
}

// A request that has begun must not be cut off while an upstream is expected to accept it in time.
func TestRequestThatBeganDoesNotWait(t *testing.T) {
	is := is.New(t)
	begun := failover.Progress{State: runstate.Ran}
	is.True(begun.ShouldWait(time.Second, 2*time.Second))
	is.True(!begun.ShouldWait(2*time.Second, 2*time.Second)) // too late for an attempt
	is.True(!begun.ShouldWait(0, 2*time.Second))             // none is expected
	is.True(!failover.Progress{}.ShouldWait(time.Second, 2*time.Second))
}

// A run that may still succeed must not be ended if the request would get no further attempt.
func TestRunIsEndedWithoutASuccessor(t *testing.T) {
	sure := failover.Successor{Repeatable: true, AttemptsLeft: true, TimeLeft: time.Second, EndsBeforeStop: true}
	without := map[string]func(*failover.Successor){
		"may run once":        func(s *failover.Successor) { s.Repeatable = false },
		"no attempt left":     func(s *failover.Successor) { s.AttemptsLeft = false },
		"quarantined":         func(s *failover.Successor) { s.Quarantined = true },
		"no time":             func(s *failover.Successor) { s.TimeLeft = failover.MinAttemptTime - 1 },
		"ends after the stop": func(s *failover.Successor) { s.EndsBeforeStop = false },
	}
	for _, reason := range []failover.Reason{failover.Silence, failover.Move, failover.Confidence} {
		is.New(t).True(failover.MayEndRun(reason, sure))
		for desc, remove := range without {
			t.Run(fmt.Sprint(reason, " ", desc), func(t *testing.T) {
				s := sure
				remove(&s)
				// Only an answer that would be whole is kept although the stop would end its successor.
				want := desc == "ends after the stop" && reason != failover.Confidence
				is.New(t).Equal(failover.MayEndRun(reason, s), want)
			})
		}
	}
}
