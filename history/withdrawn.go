package history

import (
	"fmt"
	"time"
)

// CheckWithdrawn checks that no request arrives for a version at a time when
// every manifest that can be in force withdraws that version.
func CheckWithdrawn(events []Event, inForce time.Duration) []Violation {
	list := acceptedManifests(events, inForce)
	var found []Violation
	for _, e := range events {
		if e.Kind != UpstreamArrived || e.Model == "" {
			continue
		}
		if allWithdraw(possiblyInForce(list, e.At, e.At), e.version()) {
			detail := fmt.Sprintf("%s@%s is withdrawn", e.Model, e.Version)
			found = append(found, Violation{RuleWithdrawn, e, detail})
		}
	}
	return found
}

func allWithdraw(list []acceptedManifest, v Version) bool {
	for _, m := range list {
		if !m.withdraws(v) {
			return false
		}
	}
	return len(list) > 0
}
