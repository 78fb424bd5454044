package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// recordBill records one bill for each request that was sent to an upstream, before
// the end of the answer is sent to the caller. The bill of a request that ended with an
// error has a cost of zero.
type recordBill struct {
	ledger *ledger.Ledger
	log    zerolog.Logger
}

// Serve implements Filter.
func (f *recordBill) Serve(ctx context.Context, r *Request, next Next) error {
	if err := f.ledger.Admit(); err != nil {
		return resultcode.Wrap(resultcode.StoreUnavailable, err, "too many bills wait for the table")
	}
	err := next(ctx, r)
	if r.state.State() == runstate.NotRun {
		return err
	}
	// The bill is recorded even if the caller disconnected or the deadline expired.
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
		b.Code = int(r.reportedError(err).Code)
		return b
	}
	for _, s := range r.Steps {
		b.PromptTokens += s.PromptTokens
		b.CompletionTokens += s.CompletionTokens
		b.CostMicro += s.CostMicro
	}
	return b
}

// newStep returns the billing entry for the model run that just ended.
func newStep(r *Request) ledger.Step {
	return ledger.Step{
		Model:            r.Model,
		Version:          r.Version.Name,
		Upstream:         r.Target.ID,
		PromptTokens:     r.Usage.PromptTokens,
		CompletionTokens: r.Usage.CompletionTokens,
		CostMicro:        usageCost(r.Version, r.Usage),
	}
}

// tokensPerPrice is the number of tokens to which a price in the manifest applies.
const tokensPerPrice = 1000

func usageCost(v manifest.Version, u upstream.Usage) int64 {
	prompt := v.PromptPrice * int64(u.PromptTokens)
	completion := v.CompletionPrice * int64(u.CompletionTokens)
	return (prompt + completion) / tokensPerPrice
}
