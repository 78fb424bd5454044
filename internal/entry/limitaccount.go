package entry

import (
	"context"

	"github.com/quetzalweir/quetzalweir/quota"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// limitAccount refuses requests beyond the account's request rate.
type limitAccount struct {
	quota *quota.Limiter
}

// Serve implements Filter.
func (f *limitAccount) Serve(ctx context.Context, r *Request, next Next) error {
	if r.Account.RequestsPerSecond == 0 {
		return next(ctx, r)
	}
	ok, retryAfter := f.quota.Take(r.Account.Name, 1)
	if !ok {
		err := resultcode.New(resultcode.AccountLimit, "the account's limit of %g requests a second is spent", r.Account.RequestsPerSecond)
		err.RetryAfter = retryAfter
		return err
	}
	return next(ctx, r)
}
