package history

import "slices"

// CheckAnswers checks that each complete answer belongs to its request: that it
// is the answer that the sender expected or, if the sender expected none, one
// that an upstream produced for the request or a request with the same key. It
// also checks that no request is answered twice.
func CheckAnswers(events []Event) []Violation {
	byID, _ := requestsByID(events)
	digests := upstreamDigests(events, byID)
	answered := make(map[string]bool)
	var found []Violation
	for _, e := range events {
		if e.Kind != CallerAnswered {
			continue
		}
		r := byID[e.RequestID]
		switch {
		case r == nil:
			found = append(found, Violation{RuleAnswer, e, "answer to a request that was not sent"})
		case answered[e.RequestID]:
			found = append(found, Violation{RuleAnswer, e, "second answer"})
		case e.complete() && !isOwnAnswer(r, e, digests[r.sharedID()]):
			found = append(found, Violation{RuleAnswer, e, "answer of another request, or incomplete"})
		}
		answered[e.RequestID] = true
	}
	return found
}

// upstreamDigests returns the digests of the answers that upstreams produced,
// by request.sharedID.
func upstreamDigests(events []Event, byID map[string]*request) map[string][]string {
	digests := make(map[string][]string)
	for _, e := range events {
		if r := byID[e.RequestID]; e.Kind == UpstreamRan && r != nil {
			digests[r.sharedID()] = append(digests[r.sharedID()], e.Digest)
		}
	}
	return digests
}

func isOwnAnswer(r *request, answer Event, upstreamAnswers []string) bool {
	if r.sent.Digest != "" {
		return answer.Digest == r.sent.Digest
	}
	return slices.Contains(upstreamAnswers, answer.Digest)
}
