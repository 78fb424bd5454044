package runstate_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// A status that guarantees that a request didn't run must not reach the caller after the request ran or may have run.
func TestStatusGuaranteesNotRunAfterARun(t *testing.T) {
	guarantees := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 200; status < 600; status++ {
		for _, state := range []runstate.State{runstate.NotRun, runstate.MayHaveRun, runstate.Ran} {
			is.New(t).Equal(state.PermitsStatus(status), state == runstate.NotRun || !guarantees[status])
		}
	}
}

// Only a marked answer and 421 state that a request didn't run; 429 and 503 alone don't.
func TestUnmarkedAnswerStatesNotRun(t *testing.T) {
	for _, status := range []int{400, 408, 429, 500, 503} {
		is.New(t).True(!runstate.StatesNotRun(status, false))
		is.New(t).True(runstate.StatesNotRun(status, true))
	}
	is.New(t).True(runstate.StatesNotRun(http.StatusMisdirectedRequest, false))
}

// A request that may run once must not run again once it may have run, nor may its answer be dropped for another run.
func TestRequestThatMayRunOnceRunsAgain(t *testing.T) {
	tests := []struct {
		state      runstate.State
		repeatable bool
		want       bool
	}{
		{runstate.NotRun, false, true},
		{runstate.NotRun, true, true},
		{runstate.MayHaveRun, false, false},
		{runstate.MayHaveRun, true, true},
		{runstate.Ran, false, false},
		{runstate.Ran, true, true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.state, test.repeatable), func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.state.MayRunAgain(test.repeatable), test.want)
		})
	}
	is := is.New(t)
	is.True(runstate.MayDropAnswer(true, false))
	is.True(!runstate.MayDropAnswer(true, true))
	is.True(!runstate.MayDropAnswer(false, false))
}
