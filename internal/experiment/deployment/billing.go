package deployment

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// billingCheck holds the result of comparing the ledger with the answers that
// callers got.
type billingCheck struct {
	complete int
	// unbilled counts complete answers without a bill, billedTwice the bills of
	// requests that already had one.
	unbilled, billedTwice int
	// callerLeft counts bills of complete answers that the caller didn't get,
	// since it had left before the end.
	callerLeft int
}

// readBills reads the ledger. The system must be closed, since that writes the
// last bills.
func (s *system) readBills(ctx context.Context) ([]ledger.Bill, error) {
	var list []ledger.Bill
	for b, err := range ledger.Read(ctx, s.env.Platform.Table(), s.env.Platform.Objects(), ledger.Query{}) {
		if err != nil {
			return nil, fmt.Errorf("read the ledger: %w", err)
		}
		list = append(list, b)
	}
	return list, nil
}

// checkBills compares bills with the ids of the requests whose callers got a
// complete answer.
func checkBills(bills []ledger.Bill, complete map[string]bool) billingCheck {
	b := billingCheck{complete: len(complete)}
	billed := map[string]bool{}
	for _, bill := range bills {
		if bill.Code != int(resultcode.OK) {
			continue
		}
		if billed[bill.RequestID] {
			b.billedTwice++
		}
		billed[bill.RequestID] = true
		if !complete[bill.RequestID] {
			b.callerLeft++
		}
	}
	for id := range complete {
		if !billed[id] {
			b.unbilled++
		}
	}
	return b
}
