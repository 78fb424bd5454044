package history

import (
	"fmt"
	"time"
)

// CheckLeaving checks that an upstream receives no new work once it has been
// leaving for longer than bound.
func CheckLeaving(events []Event, bound time.Duration) []Violation {
	leaving := make(map[string]time.Duration)
	var found []Violation
	for _, e := range events {
		switch e.Kind {
		case UpstreamLeaving:
			if _, again := leaving[e.Upstream]; !again {
				leaving[e.Upstream] = e.At
			}
		case UpstreamLive:
			delete(leaving, e.Upstream)
		case UpstreamArrived:
			since, isLeaving := leaving[e.Upstream]
			if isLeaving && e.At > since+bound {
				detail := fmt.Sprintf("%s had been leaving for %v", e.Upstream, e.At-since)
				found = append(found, Violation{RuleLeaving, e, detail})
			}
		}
	}
	return found
}
