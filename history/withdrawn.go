package history

import (
	"fmt"
	"time"
)

// WithdrawnWork checks that no work arrives for a version when every manifest
// that can be in force at that time withdraws it.
func WithdrawnWork(events []Event, inForce time.Duration) []Violation {
	list := manifests(events, inForce)
	var found []Violation
	for _, e := range events {
		if e.Kind != UpstreamArrived || e.Model == "" {
			continue
		}
		if allWithdraw(possible(list, e.At, e.At), e.version()) {
			detail := fmt.Sprintf("%s@%s is withdrawn", e.Model, e.Version)
			found = append(found, Violation{RuleWithdrawn, e, detail})
		}
	}
	return found
}

func allWithdraw(list []accepted, v Version) bool {
	for _, m := range list {
		if !m.withdraws(v) {
			return false
		}
	}
	return len(list) > 0
}
