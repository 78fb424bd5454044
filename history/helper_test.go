package history

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	v1 = Version{Model: "quote", Version: "v1"}
	v2 = Version{Model: "quote", Version: "v2"}
)

// numbered sets the Seq of events. An event without a time gets the time of the
// previous event plus one second.
func numbered(events ...Event) []Event {
	for i := range events {
		events[i].Seq = uint64(i) + 1
		if i > 0 && events[i].At == 0 {
			events[i].At = events[i-1].At + time.Second
		}
	}
	return events
}

func sent(id string) Event {
	return Event{Kind: RequestSent, RequestID: id, Account: "clydegate", Host: "h0"}
}

func sentWithKey(id, key string) Event {
	e := sent(id)
	e.Key = key
	return e
}

func sentWithBillID(id, bill string) Event {
	e := sentWithKey(id, "k")
	e.BillID = bill
	return e
}

func sentInSession(id string) Event {
	e := sent(id)
	e.Session = "s1"
	return e
}

func arrived(id string, v Version) Event {
	return Event{Kind: UpstreamArrived, RequestID: id, Upstream: "u1", Model: v.Model, Version: v.Version}
}

func ran(id string) Event {
	return Event{Kind: UpstreamRan, RequestID: id, Upstream: "u1", Digest: "answer-" + id}
}

func answered(id string) Event {
	return Event{Kind: CallerAnswered, RequestID: id, RunState: "ran", Digest: "answer-" + id, Host: "h0"}
}

func answeredBy(id string, v Version) Event {
	e := answered(id)
	e.Model, e.Version = v.Model, v.Version
	return e
}

func refused(id string, code int, state string) Event {
	return Event{Kind: CallerAnswered, RequestID: id, Code: code, RunState: state, Host: "h0"}
}

func lost(id string) Event {
	return Event{Kind: CallerAnswered, RequestID: id, RunState: "may-have-run", Lost: true}
}

func billed(id, request string) Event {
	return Event{Kind: Billed, BillID: id, RequestID: request, Account: "clydegate", CostMicro: 5}
}

func hostEvent(kind Kind, name string) Event {
	return Event{Kind: kind, Host: name}
}

func submitted(digest string) Event {
	return Event{Kind: ManifestSubmitted, Digest: digest}
}

func accepted(epoch uint64, digest string, permitted ...Version) Event {
	e := Event{Kind: ManifestAccepted, Epoch: epoch, Digest: digest}
	for _, v := range permitted {
		e.Permits = append(e.Permits, Permit{Account: "clydegate", Version: v})
	}
	return e
}

func withdrawing(e Event, v ...Version) Event {
	e.Withdrawn = v
	return e
}

func inForce(name string, epoch uint64) Event {
	return Event{Kind: InForce, Host: name, Epoch: epoch}
}

func at(d time.Duration, e Event) Event {
	e.At = d
	return e
}

// checkCase is a list of events and the detail of the violation that the checker
// must report. The detail is empty if the checker must report no violation.
type checkCase struct {
	desc   string
	events []Event
	want   string
}

func runCases(t *testing.T, check func([]Event) []Violation, tests []checkCase) {
	t.Helper()
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, v := range check(numbered(tc.events...)) {
				got = append(got, v.Detail)
			}
			var want []string
			if tc.want != "" {
				want = []string{tc.want}
			}
			is.Equal(got, want)
		})
	}
}
