package history

import "github.com/quetzalweir/quetzalweir/runstate"

var notRun = runstate.NotRun.String()

// CheckRefusals checks that a request whose caller received the run state "not
// run" never arrived at an upstream, neither before nor after the refusal. The
// run state of a duplicate refers only to the duplicate, not to earlier requests
// with its key; for those see CheckDuplicateRefusals.
func CheckRefusals(events []Event) []Violation {
	byID, order := requestsByID(events)
	var found []Violation
	for _, id := range order {
		r := byID[id]
		if r.answered && r.answer.RunState == notRun && len(r.arrivals)+len(r.runs) > 0 {
			found = append(found, Violation{RuleTruthfulRefusal, r.answer, "reported as not run, but an upstream received it"})
		}
	}
	return found
}

// CheckDuplicateRefusals is a stricter check than CheckRefusals: the caller of a
// request with a key receives "not run" only if no request with that key had
// arrived at an upstream before.
func CheckDuplicateRefusals(events []Event) []Violation {
	byID, _ := requestsByID(events)
	arrived := make(map[string]bool)
	var found []Violation
	for _, e := range events {
		r := byID[e.RequestID]
		if r == nil || r.sent.Key == "" {
			continue
		}
		switch e.Kind {
		case UpstreamArrived, UpstreamRan:
			arrived[r.sharedID()] = true
		case CallerAnswered:
			if e.RunState == notRun && arrived[r.sharedID()] {
				found = append(found, Violation{RuleTruthfulRefusal, e, "reported as not run, but an earlier request with the key arrived"})
			}
		}
	}
	return found
}
