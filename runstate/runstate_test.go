package runstate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/runstate"
)

func TestStateNeverDecreases(t *testing.T) {
	is := is.New(t)
	var tracker runstate.Tracker
	is.Equal(tracker.State(), runstate.NotRun)
	tracker.Raise(runstate.Ran)
	tracker.Raise(runstate.MayHaveRun)
	is.Equal(tracker.State(), runstate.Ran)
}

func Example() {
	var tracker runstate.Tracker
	fmt.Println(tracker.State())
	tracker.Raise(runstate.MayHaveRun)
	tracker.Raise(runstate.NotRun)
	fmt.Println(tracker.State())
	// Output:
	// not-run
	// may-have-run
}
