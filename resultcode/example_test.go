package resultcode_test

import (
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// The code of the error states that nothing was sent, but the run state shows that
// the request may have run. ForState therefore replaces the code by one that has no
// Retry-After.
func Example() {
	cause := errors.New("connection reset")
	e := resultcode.Wrap(resultcode.UpstreamUnreachable, cause, "engine-07")
	fmt.Println(int(e.Code), e.Code, resultcode.Lookup(e.Code).Status, e.Retry())

	var state runstate.Tracker
	state.Raise(runstate.MayHaveRun)
	adjusted := resultcode.ForState(e, state.State())
	fmt.Println(int(adjusted.Code), adjusted.Code, resultcode.Lookup(adjusted.Code).Status, adjusted.Retry())
	fmt.Println(errors.Is(adjusted, cause))
	// Output:
	// 4001 upstream-unreachable 502 1s
	// 4002 outcome-unknown 502 0s
	// true
}
