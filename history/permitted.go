package history

import (
	"fmt"
	"time"
)

// CheckPermissions checks that each request arrived only at versions that its
// account was permitted to use by a manifest that can have been in force between
// the sending and the arrival. Requests to plain services have no model and
// aren't checked.
func CheckPermissions(events []Event, inForce time.Duration) []Violation {
	list := acceptedManifests(events, inForce)
	byID, _ := requestsByID(events)
	var found []Violation
	for _, e := range events {
		if e.Kind != UpstreamArrived || e.Model == "" {
			continue
		}
		r := byID[e.RequestID]
		if r == nil {
			found = append(found, Violation{RulePermitted, e, "arrival of a request that was not sent"})
			continue
		}
		if !anyPermits(possiblyInForce(list, r.sent.At, e.At), r.sent.Account, e.version()) {
			detail := fmt.Sprintf("account %q isn't permitted %s@%s", r.sent.Account, e.Model, e.Version)
			found = append(found, Violation{RulePermitted, e, detail})
		}
	}
	return found
}

func anyPermits(list []acceptedManifest, account string, v Version) bool {
	for _, m := range list {
		if m.permits(account, v) {
			return true
		}
	}
	return false
}
