package history

import (
	"fmt"
	"time"
)

// Permitted checks that each request ran only on versions that its account was
// permitted by a manifest that can have been in force between the sending and
// the arrival. Plain services have no model and aren't looked at.
func Permitted(events []Event, inForce time.Duration) []Violation {
	list := manifests(events, inForce)
	byID, _ := requests(events)
	var found []Violation
	for _, e := range events {
		if e.Kind != UpstreamArrived || e.Model == "" {
			continue
		}
		r := byID[e.RequestID]
		if r == nil {
			found = append(found, Violation{RulePermitted, e, "arrival of a request that nobody sent"})
			continue
		}
		if !anyPermits(possible(list, r.sent.At, e.At), r.sent.Account, e.version()) {
			detail := fmt.Sprintf("account %q isn't permitted %s@%s", r.sent.Account, e.Model, e.Version)
			found = append(found, Violation{RulePermitted, e, detail})
		}
	}
	return found
}

func anyPermits(list []accepted, account string, v Version) bool {
	for _, m := range list {
		if m.permits(account, v) {
			return true
		}
	}
	return false
}
