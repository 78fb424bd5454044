package ledger

import (
	"context"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Total holds the sums of a set of bills.
type Total struct {
	// Bills is the number of bills; Charged is how many of them have a charge.
	Bills, Charged                 int
	PromptTokens, CompletionTokens int
	// CostMicro is in micro units of currency.
	CostMicro int64
}

// Totals sums the bills that match q.
func Totals(ctx context.Context, table storage.Table, objects storage.Objects, q Query) (Total, error) {
	var t Total
	for b, err := range Read(ctx, table, objects, q) {
		if err != nil {
			return Total{}, err
		}
		t.add(b)
	}
	return t, nil
}

func (t *Total) add(b Bill) {
	t.Bills++
	if b.CostMicro != 0 {
		t.Charged++
	}
	t.PromptTokens += b.PromptTokens
	t.CompletionTokens += b.CompletionTokens
	t.CostMicro += b.CostMicro
}

// EpochTrace holds the outcomes of the requests under one manifest.
type EpochTrace struct {
	Bills []Bill
	// Refusals are the numbers of refusals by result code.
	Refusals map[int]int
}

// ByEpoch returns the bills and refusal counts of the requests under the
// manifest with the given epoch.
func ByEpoch(ctx context.Context, table storage.Table, objects storage.Objects, epoch uint64) (EpochTrace, error) {
	s, err := readBillSet(ctx, table, objects, Query{})
	if err != nil {
		return EpochTrace{}, err
	}
	trace := EpochTrace{Refusals: make(map[int]int)}
	for _, b := range s.sorted() {
		if b.Epoch == epoch {
			trace.Bills = append(trace.Bills, b)
		}
	}
	for _, r := range s.refusals {
		if r.Epoch == epoch {
			trace.Refusals[r.Code] += r.Count
		}
	}
	return trace, nil
}

// ByRequest returns the bill of a request, or storage.ErrNotFound if it has
// none. If a duplicate has the same request key and its bill takes precedence
// (see Prefer), the request has no bill of its own.
func ByRequest(ctx context.Context, table storage.Table, objects storage.Objects, requestID string) (Bill, error) {
	for b, err := range Read(ctx, table, objects, Query{RequestID: requestID}) {
		return b, err
	}
	return Bill{}, storage.ErrNotFound
}
