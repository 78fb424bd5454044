package history

import "fmt"

// sessionID identifies a session's use of one model, which stays on one version.
type sessionID struct {
	account, session, model string
}

// CheckSessions checks that a request of a session is answered by the version of
// every answer that the session had received before the request was sent. A
// session may change from a version that a manifest withdraws or no longer
// permits to the account.
func CheckSessions(events []Event) []Violation {
	list := acceptedManifests(events, 0)
	byID, _ := requestsByID(events)
	earlier := make(map[sessionID][]Event)
	var found []Violation
	for _, e := range events {
		r := byID[e.RequestID]
		if e.Kind != CallerAnswered || r == nil || r.sent.Session == "" || e.Version == "" {
			continue
		}
		id := sessionID{account: r.sent.Account, session: r.sent.Session, model: e.Model}
		for _, before := range earlier[id] {
			if before.At < r.sent.At && before.Version != e.Version && !versionRevoked(list, r, before, e) {
				detail := fmt.Sprintf("session %q changed from version %s to %s", r.sent.Session, before.Version, e.Version)
				found = append(found, Violation{RuleSession, e, detail})
				break
			}
		}
		earlier[id] = addFirstOfVersion(earlier[id], e)
	}
	return found
}

// addFirstOfVersion appends an answer unless the list contains one of its
// version.
func addFirstOfVersion(answers []Event, e Event) []Event {
	for _, a := range answers {
		if a.Version == e.Version {
			return answers
		}
	}
	return append(answers, e)
}

// versionRevoked reports whether some manifest may have revoked the account's
// permission for the version of an earlier answer, before, until the answer e. It
// checks the manifests that were accepted after the earlier answer and submitted
// before e.
func versionRevoked(list []acceptedManifest, r *request, before, e Event) bool {
	for _, m := range list {
		if m.earliest <= e.At && m.event.At >= before.At && !m.permits(r.sent.Account, before.version()) {
			return true
		}
	}
	return false
}
