package history_test

import (
	"fmt"

	"github.com/quetzalweir/quetzalweir/history"
)

func Example() {
	r := history.NewRecorder()
	r.Add(history.Event{Kind: history.RequestSent, RequestID: "r1", Account: "clydegate", Key: "order-9"})
	r.Add(history.Event{Kind: history.UpstreamRan, RequestID: "r1", Digest: "a"})
	r.Add(history.Event{Kind: history.CallerAnswered, RequestID: "r1", RunState: "not-run", Code: 5006})
	for _, v := range history.Check(r.Events(), history.Bounds{}) {
		fmt.Println(v)
	}
	// Output:
	// billed-once: event 1 (request-sent, request "r1"): a dispatched request has no bill
	// truthful-refusal: event 3 (caller-answered, request "r1"): reported as not run, but an upstream received it
}
