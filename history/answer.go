package history

import "slices"

// WholeOwnAnswers checks that each whole answer is the answer to its own
// request: the one that the sender expected or, where it had none to expect,
// one that an upstream made for the request or a request with the same key. It
// also checks that no request is answered twice.
func WholeOwnAnswers(events []Event) []Violation {
	byID, _ := requests(events)
	made := madeAnswers(events, byID)
	answered := make(map[string]bool)
	var found []Violation
	for _, e := range events {
		if e.Kind != CallerAnswered {
			continue
		}
		r := byID[e.RequestID]
		switch {
		case r == nil:
			found = append(found, Violation{RuleAnswer, e, "answer to a request that nobody sent"})
		case answered[e.RequestID]:
			found = append(found, Violation{RuleAnswer, e, "second answer"})
		case e.whole() && !own(r, e, made[r.keyID()]):
			found = append(found, Violation{RuleAnswer, e, "answer of another request, or not whole"})
		}
		answered[e.RequestID] = true
	}
	return found
}

// madeAnswers returns the digests of the answers that upstreams made, by the
// ID that the repeats of a request share.
func madeAnswers(events []Event, byID map[string]*request) map[string][]string {
	made := make(map[string][]string)
	for _, e := range events {
		if r := byID[e.RequestID]; e.Kind == UpstreamRan && r != nil {
			made[r.keyID()] = append(made[r.keyID()], e.Digest)
		}
	}
	return made
}

func own(r *request, answer Event, made []string) bool {
	if r.sent.Digest != "" {
		return answer.Digest == r.sent.Digest
	}
	return slices.Contains(made, answer.Digest)
}
