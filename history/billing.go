package history

import "fmt"

// CheckBilling compares the bills in the ledger with the answers that callers
// received. Requests with the same key share a bill, unless their senders
// expected different bill IDs; a bill belongs to the group of its request,
// whatever its own ID. For each group: a complete answer has one bill with its
// code; a request that was dispatched and failed has one bill without a charge;
// one that wasn't dispatched has none; and if a caller's connection was lost or
// the run ended before the answer, there is at most one.
func CheckBilling(events []Event) []Violation {
	byID, sent := requestsByID(events)
	groups, order := billGroups(byID, sent)
	var found []Violation
	for _, e := range events {
		if e.Kind != Billed {
			continue
		}
		g := groups[e.BillID]
		if r := byID[e.RequestID]; r != nil {
			g = groups[r.billID()]
		}
		if g == nil {
			found = append(found, Violation{RuleBilledOnce, e, "bill of a request that was not sent"})
			continue
		}
		g.bills = append(g.bills, e)
	}
	for _, id := range order {
		if v, bad := groups[id].check(); bad {
			found = append(found, v)
		}
	}
	return found
}

// billGroup holds the requests that share a bill, and the bills found for them.
type billGroup struct {
	requests []*request
	bills    []Event
}

func billGroups(byID map[string]*request, sent []string) (map[string]*billGroup, []string) {
	groups := make(map[string]*billGroup)
	var order []string
	for _, requestID := range sent {
		r := byID[requestID]
		id := r.billID()
		if groups[id] == nil {
			groups[id] = &billGroup{}
			order = append(order, id)
		}
		groups[id].requests = append(groups[id].requests, r)
	}
	return groups, order
}

// check returns the group's first violation.
func (g *billGroup) check() (Violation, bool) {
	if len(g.bills) > 1 {
		return Violation{RuleBilledOnce, g.bills[1], fmt.Sprintf("billed %d times", len(g.bills))}, true
	}
	complete, unknown, dispatched := g.outcome()
	switch {
	case len(g.bills) == 0 && complete:
		return g.violation("a complete answer wasn't billed")
	case len(g.bills) == 0 && dispatched && !unknown:
		return g.violation("a dispatched request has no bill")
	case len(g.bills) == 0:
		return Violation{}, false
	}
	bill := g.bills[0]
	switch {
	case bill.Account != g.requests[0].sent.Account:
		return Violation{RuleBilledOnce, bill, "billed to another account"}, true
	case complete && bill.Code != 0:
		return Violation{RuleBilledOnce, bill, "a complete answer is billed as a failure"}, true
	case !complete && !unknown && !dispatched:
		return Violation{RuleBilledOnce, bill, "billed although the request wasn't dispatched"}, true
	case !complete && !unknown && bill.CostMicro != 0:
		return Violation{RuleBilledOnce, bill, "a failed request has a charge"}, true
	}
	return Violation{}, false
}

// outcome reports whether a caller received a complete answer, whether it is
// unknown what a caller received, and whether a request was dispatched.
func (g *billGroup) outcome() (complete, unknown, dispatched bool) {
	for _, r := range g.requests {
		complete = complete || r.answered && r.answer.complete()
		unknown = unknown || !r.answered || r.answer.Lost
		dispatched = dispatched || r.dispatched()
	}
	return complete, unknown, dispatched
}

func (g *billGroup) violation(detail string) (Violation, bool) {
	return Violation{RuleBilledOnce, g.requests[0].sent, detail}, true
}
