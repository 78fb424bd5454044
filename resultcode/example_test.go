package resultcode_test

import (
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// A layer believes that nothing was sent; the run state knows better, and the
// caller isn't told to come back.
func Example() {
	cause := errors.New("connection reset")
	e := resultcode.Wrap(resultcode.UpstreamUnreachable, cause, "engine-07")
	fmt.Println(int(e.Code), e.Code, resultcode.Lookup(e.Code).Status, e.Retry())

	var state runstate.Tracker
	state.Raise(runstate.MayHaveRun)
	told := resultcode.ForState(e, state.State())
	fmt.Println(int(told.Code), told.Code, resultcode.Lookup(told.Code).Status, told.Retry())
	fmt.Println(errors.Is(told, cause))
	// Output:
	// 4001 upstream-unreachable 502 1s
	// 4002 outcome-unknown 502 0s
	// true
}
