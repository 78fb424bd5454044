package history

import "fmt"

// CheckAtMostOnce checks that upstreams ran each request that isn't idempotent
// at most once, counting all requests with the same account and key as one.
func CheckAtMostOnce(events []Event) []Violation {
	byID, _ := requestsByID(events)
	runs := make(map[string]int)
	var found []Violation
	for _, e := range events {
		r := byID[e.RequestID]
		if e.Kind != UpstreamRan || r == nil || r.sent.Idempotent {
			continue
		}
		id := r.sharedID()
		runs[id]++
		if runs[id] > 1 {
			found = append(found, Violation{RuleAtMostOnce, e, fmt.Sprintf("%q: run %d", id, runs[id])})
		}
	}
	return found
}
