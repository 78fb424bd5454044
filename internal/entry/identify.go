package entry

import (
	"context"

	"github.com/quetzalweir/quetzalweir/resultcode"
)

// identify finds the client account by its key.
type identify struct{}

// Serve implements Filter.
func (identify) Serve(ctx context.Context, r *Request, next Next) error {
	account, ok := r.Policy.AccountByKey(r.Key)
	if !ok {
		return resultcode.New(resultcode.UnknownKey, "the account key is missing or unknown")
	}
	r.Account = account
	return next(ctx, r)
}
