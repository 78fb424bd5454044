package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// bill records one bill for each request that was sent, before the end of the
// answer goes to the caller. What the system or an upstream failed costs
// nothing.
type bill struct {
	ledger *ledger.Ledger
	log    zerolog.Logger
}

// Serve implements Filter.
func (f *bill) Serve(ctx context.Context, r *Request, next Next) error {
	if err := f.ledger.Admit(); err != nil {
		return resultcode.Wrap(resultcode.StoreUnavailable, err, "too many bills wait for the table")
	}
	err := next(ctx, r)
	if r.state.State() == runstate.NotRun {
		return err
	}
	// The bill outlives the caller's connection and deadline.
	recordErr := f.ledger.Record(context.WithoutCancel(ctx), newBill(r, err))
	if errors.Is(recordErr, ledger.ErrAtRisk) {
		f.log.Warn().Str("event", "bill-at-risk").Str("request", r.ID).Err(recordErr).Msg("")
	} else if recordErr != nil {
		f.log.Error().Str("event", "bill").Str("request", r.ID).Err(recordErr).Msg("")
	}
	r.Billed = true
	return err
}

func newBill(r *Request, err error) ledger.Bill {
	b := ledger.Bill{
		ID:        r.BillID(),
		Account:   r.Account.Name,
		RequestID: r.ID,
		Model:     r.Model,
		Version:   r.Version.Name,
		Upstream:  r.Target.ID,
		Class:     r.Class.Name,
		Epoch:     r.Epoch(),
		RunState:  r.state.State().String(),
		Attempts:  r.Attempts,
		Steps:     r.Steps,
		At:        time.Now(),
	}
	if r.Kind == KindService {
		b.Service = r.Route
	}
	if err != nil {
		b.Code = int(resultcode.ForState(resultcode.From(err), r.state.State()).Code)
		return b
	}
	for _, s := range r.Steps {
		b.PromptTokens += s.PromptTokens
		b.CompletionTokens += s.CompletionTokens
		b.CostMicro += s.CostMicro
	}
	return b
}
