package history

import "github.com/quetzalweir/quetzalweir/runstate"

var notRun = runstate.NotRun.String()

// TruthfulRefusals checks that no upstream ever saw a request whose caller was
// told that it wasn't run, also after the refusal. A repeat is told of itself,
// not of earlier requests with its key; see TruthfulRepeats.
func TruthfulRefusals(events []Event) []Violation {
	byID, order := requests(events)
	var found []Violation
	for _, id := range order {
		r := byID[id]
		if r.answered && r.answer.RunState == notRun && len(r.arrivals)+len(r.runs) > 0 {
			found = append(found, Violation{RuleTruthful, r.answer, "told not run, but an upstream saw it"})
		}
	}
	return found
}

// TruthfulRepeats is the stricter check that a request with a key is told "not
// run" only if no request with that key had arrived at an upstream before.
func TruthfulRepeats(events []Event) []Violation {
	byID, _ := requests(events)
	arrived := make(map[string]bool)
	var found []Violation
	for _, e := range events {
		r := byID[e.RequestID]
		if r == nil || r.sent.Key == "" {
			continue
		}
		switch e.Kind {
		case UpstreamArrived, UpstreamRan:
			arrived[r.keyID()] = true
		case CallerAnswered:
			if e.RunState == notRun && arrived[r.keyID()] {
				found = append(found, Violation{RuleTruthful, e, "told not run, but an earlier request with the key arrived"})
			}
		}
	}
	return found
}
