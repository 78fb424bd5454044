package history

import (
	"fmt"
	"time"
)

// firstFaultCode is the lowest result code for faults of upstreams, the platform
// and hosts. Lower codes concern the request: its form, its permissions and its
// admission.
const firstFaultCode = 4000

// CheckPlannedStops checks that a host that stops as planned ends every request
// that was sent to it before the stop began with a result that isn't a fault.
func CheckPlannedStops(events []Event) []Violation {
	byID, order := requestsByID(events)
	var found []Violation
	for host, stopping := range plannedStops(events) {
		for _, id := range order {
			r := byID[id]
			if r.sent.Host != host || r.sent.At >= stopping {
				continue
			}
			if detail := interruption(r, stopping); detail != "" {
				found = append(found, Violation{RulePlannedStop, r.sent, detail})
			}
		}
	}
	return found
}

// plannedStops returns when the planned stop of each host began. For a host that
// was restarted under the same name it returns the start of the last stop.
func plannedStops(events []Event) map[string]time.Duration {
	stops := make(map[string]time.Duration)
	for _, e := range events {
		if e.Kind == HostStopping {
			stops[e.Host] = e.At
		}
	}
	return stops
}

// interruption describes how a stop interrupted a request in progress. It is
// empty if the request ended properly.
func interruption(r *request, stopping time.Duration) string {
	switch {
	case !r.answered:
		return "no result"
	case r.answer.At < stopping:
		return ""
	case r.answer.Lost:
		return "connection lost"
	case r.answer.Code >= firstFaultCode:
		return fmt.Sprintf("result code %d", r.answer.Code)
	default:
		return ""
	}
}
