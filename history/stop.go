package history

import (
	"fmt"
	"time"
)

// Result codes in the thousands from this one on are faults of upstreams, of
// the platform and of hosts; those below are matters of the request.
const firstFaultCode = 4000

// PlannedStops checks that a host in a planned stop ends every request that was
// sent to it before the stop began with a result, and with no fault.
func PlannedStops(events []Event) []Violation {
	byID, order := requests(events)
	var found []Violation
	for host, stopping := range plannedStops(events) {
		for _, id := range order {
			r := byID[id]
			if r.sent.Host != host || r.sent.At >= stopping {
				continue
			}
			if detail := cut(r, stopping); detail != "" {
				found = append(found, Violation{RuleStop, r.sent, detail})
			}
		}
	}
	return found
}

// plannedStops returns when the hosts that stop by plan began to. A host that
// started again under its name is one with the last stop.
func plannedStops(events []Event) map[string]time.Duration {
	stops := make(map[string]time.Duration)
	for _, e := range events {
		if e.Kind == HostStopping {
			stops[e.Host] = e.At
		}
	}
	return stops
}

// cut says how a stop cut a request that was under way; empty if it didn't.
func cut(r *request, stopping time.Duration) string {
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
