package history

import "fmt"

// sessionID identifies what keeps a version: a session's use of one model.
type sessionID struct {
	account, session, model string
}

// Sessions checks that a request of a session has the version of every answer
// that the session had got before the request was sent. A version that a
// manifest withdraws, or no longer permits to the account, may be left.
func Sessions(events []Event) []Violation {
	list := manifests(events, 0)
	byID, _ := requests(events)
	earlier := make(map[sessionID][]Event)
	var found []Violation
	for _, e := range events {
		r := byID[e.RequestID]
		if e.Kind != CallerAnswered || r == nil || r.sent.Session == "" || e.Version == "" {
			continue
		}
		id := sessionID{account: r.sent.Account, session: r.sent.Session, model: e.Model}
		for _, before := range earlier[id] {
			if before.At < r.sent.At && before.Version != e.Version && !left(list, r, before, e) {
				detail := fmt.Sprintf("session %q went from version %s to %s", r.sent.Session, before.Version, e.Version)
				found = append(found, Violation{RuleSession, e, detail})
				break
			}
		}
		earlier[id] = withFirst(earlier[id], e)
	}
	return found
}

// withFirst adds an answer unless there is an earlier one of its version.
func withFirst(answers []Event, e Event) []Event {
	for _, a := range answers {
		if a.Version == e.Version {
			return answers
		}
	}
	return append(answers, e)
}

// left reports whether a manifest submitted before the answer e takes the
// version of the answer before from the account.
func left(list []accepted, r *request, before, e Event) bool {
	for _, m := range list {
		if m.from <= e.At && m.event.At >= before.At && !m.permits(r.sent.Account, before.version()) {
			return true
		}
	}
	return false
}
