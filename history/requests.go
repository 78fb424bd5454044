package history

// request holds the recorded events of one request.
type request struct {
	sent Event
	// answer is valid if answered is set.
	answer   Event
	answered bool
	arrivals []Event
	runs     []Event
}

// requestsByID returns the requests by their IDs, and the IDs in the order in
// which they were sent.
func requestsByID(events []Event) (map[string]*request, []string) {
	byID := make(map[string]*request)
	var order []string
	for _, e := range events {
		if e.Kind == RequestSent {
			byID[e.RequestID] = &request{sent: e}
			order = append(order, e.RequestID)
		}
	}
	for _, e := range events {
		r := byID[e.RequestID]
		if r == nil {
			continue
		}
		switch e.Kind {
		case CallerAnswered:
			r.answer, r.answered = e, true
		case UpstreamArrived:
			r.arrivals = append(r.arrivals, e)
		case UpstreamRan:
			r.runs = append(r.runs, e)
		}
	}
	return byID, order
}

// dispatched reports whether an upstream received the request, or may have
// received it according to the run state that the caller got.
func (r *request) dispatched() bool {
	return len(r.arrivals) > 0 || len(r.runs) > 0 || r.answered && r.answer.RunState != notRun
}

// sharedID returns an ID that a request has in common with its duplicates: its
// account and key, or its request ID if it has no key.
func (r *request) sharedID() string {
	if r.sent.Key == "" {
		return r.sent.RequestID
	}
	return r.sent.Account + "/" + r.sent.Key
}

// billID returns the ID of the bill that the request shares with its duplicates.
func (r *request) billID() string {
	if r.sent.BillID != "" {
		return r.sent.BillID
	}
	return r.sharedID()
}
