package deployment

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// books compares the ledger with what callers got.
type books struct {
	whole int
	// unbilled are whole answers without a bill, twice the requests with more
	// than one.
	unbilled, twice int
	// unseen are bills of whole answers whose caller had left by then.
	unseen int
}

// bills reads the ledger of a system that was closed.
func (s *system) bills(ctx context.Context) ([]ledger.Bill, error) {
	var list []ledger.Bill
	for b, err := range ledger.Read(ctx, s.env.Platform.Table(), s.env.Platform.Objects(), ledger.Query{}) {
		if err != nil {
			return nil, fmt.Errorf("read the ledger: %w", err)
		}
		list = append(list, b)
	}
	return list, nil
}

// compare checks bills against the requests with whole answers.
func compare(bills []ledger.Bill, whole map[string]bool) books {
	b := books{whole: len(whole)}
	seen := map[string]bool{}
	for _, bill := range bills {
		if bill.Code != int(resultcode.OK) {
			continue
		}
		if seen[bill.RequestID] {
			b.twice++
		}
		seen[bill.RequestID] = true
		if !whole[bill.RequestID] {
			b.unseen++
		}
	}
	for id := range whole {
		if !seen[id] {
			b.unbilled++
		}
	}
	return b
}
