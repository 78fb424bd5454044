package history

import "fmt"

// BilledOnce compares the ledger with what callers got. Requests with one key
// share a bill, unless their senders expected other bill IDs; a bill belongs to
// its request's group, whatever its own ID. For each bill's requests: a whole answer has one bill with its
// code; a request that was dispatched and failed has one bill without a charge;
// one that wasn't dispatched has none; and where a caller's connection was lost
// or the run ended first, there is at most one.
func BilledOnce(events []Event) []Violation {
	byID, sent := requests(events)
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
			found = append(found, Violation{RuleBilledOnce, e, "bill of a request that nobody sent"})
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

// billGroup is the requests that share a bill.
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
	whole, open, dispatched := g.outcome()
	switch {
	case len(g.bills) == 0 && whole:
		return g.violation("a whole answer wasn't billed")
	case len(g.bills) == 0 && dispatched && !open:
		return g.violation("a dispatched request has no bill")
	case len(g.bills) == 0:
		return Violation{}, false
	}
	bill := g.bills[0]
	switch {
	case bill.Account != g.requests[0].sent.Account:
		return Violation{RuleBilledOnce, bill, "billed to another account"}, true
	case whole && bill.Code != 0:
		return Violation{RuleBilledOnce, bill, "a whole answer is billed as a failure"}, true
	case !whole && !open && !dispatched:
		return Violation{RuleBilledOnce, bill, "billed although nothing was sent"}, true
	case !whole && !open && bill.CostMicro != 0:
		return Violation{RuleBilledOnce, bill, "a failed request has a charge"}, true
	}
	return Violation{}, false
}

// outcome says whether a caller got a whole answer, whether what a caller got
// isn't known, and whether a request was dispatched.
func (g *billGroup) outcome() (whole, open, dispatched bool) {
	for _, r := range g.requests {
		whole = whole || r.answered && r.answer.whole()
		open = open || !r.answered || r.answer.Lost
		dispatched = dispatched || r.dispatched()
	}
	return whole, open, dispatched
}

func (g *billGroup) violation(detail string) (Violation, bool) {
	return Violation{RuleBilledOnce, g.requests[0].sent, detail}, true
}
