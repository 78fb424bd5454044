package history

// request is what was seen of one request.
type request struct {
	sent Event
	// answer is valid where answered is set.
	answer   Event
	answered bool
	arrivals []Event
	runs     []Event
}

// requests returns the requests by their IDs, and the IDs in the order in
// which they were sent.
func requests(events []Event) (map[string]*request, []string) {
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

// dispatched reports whether an upstream saw the request, or the caller was
// told that one may have.
func (r *request) dispatched() bool {
	return len(r.arrivals) > 0 || len(r.runs) > 0 || r.answered && r.answer.RunState != notRun
}

// keyID identifies what the repeats of a request share.
func (r *request) keyID() string {
	if r.sent.Key == "" {
		return r.sent.RequestID
	}
	return r.sent.Account + "/" + r.sent.Key
}

// billID identifies the bill that the request shares with its repeats.
func (r *request) billID() string {
	if r.sent.BillID != "" {
		return r.sent.BillID
	}
	return r.keyID()
}
