package history

import (
	"iter"

	"github.com/quetzalweir/quetzalweir/ledger"
)

// AddBills records the bills read from a ledger at the end of a run. It stops
// at the reader's first error and returns it.
func (r *Recorder) AddBills(bills iter.Seq2[ledger.Bill, error]) error {
	for b, err := range bills {
		if err != nil {
			return err
		}
		r.Add(Event{
			Kind:      Billed,
			BillID:    b.ID,
			RequestID: b.RequestID,
			Account:   b.Account,
			Model:     b.Model,
			Version:   b.Version,
			Upstream:  b.Upstream,
			Epoch:     b.Epoch,
			Code:      b.Code,
			RunState:  b.RunState,
			CostMicro: b.CostMicro,
		})
	}
	return nil
}
