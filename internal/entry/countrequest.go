package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// countRequest counts every request and logs its end. Requests that were neither billed
// nor replayed are counted as refusals in the ledger.
type countRequest struct {
	ledger  *ledger.Ledger
	metrics *requestMetrics
	log     zerolog.Logger
}

// Serve implements Filter.
func (f *countRequest) Serve(ctx context.Context, r *Request, next Next) error {
	err := next(ctx, r)
	code := resultcode.OK
	if err != nil {
		coded := r.reportedError(err)
		code = coded.Code
		err = coded
	}
	if !r.Billed && !r.Replayed {
		f.ledger.CountRefusal(r.AccountName(), r.Epoch(), int(code))
	}
	f.metrics.record(r, code)
	f.logEnd(r, code, err)
	return err
}

func (f *countRequest) logEnd(r *Request, code resultcode.Code, err error) {
	event := f.log.Info().
		Str("event", "request").
		Str("request", r.ID).
		Stringer("digest", r.digest).
		Str("account", r.AccountName()).
		Str("class", r.Class.Name).
		Uint64("epoch", r.Epoch()).
		Str("route", r.Route).
		Str("model", r.Model).
		Str("version", r.Version.Name).
		Str("upstream", r.Target.ID).
		Str("run_state", r.RunState().String()).
		Int("code", int(code)).
		Str("result", code.String()).
		Int("attempts", r.Attempts).
		Bool("replayed", r.Replayed).
		Dur("took_ms", time.Since(r.Arrived))
	if err != nil {
		event = event.AnErr("error", err)
	}
	event.Msg("")
}
