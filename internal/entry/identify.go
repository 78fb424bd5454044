package entry

import (
	"context"

	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// identify looks up the client account by its key.
type identify struct{}

// Serve implements Filter.
func (identify) Serve(ctx context.Context, r *Request, next Next) error {
	account, err := accountOf(r.Policy, r.AccountKey)
	if err != nil {
		return err
	}
	r.Account = account
	return next(ctx, r)
}

// accountOf returns the account with the given key.
func accountOf(policy *manifest.Policy, key string) (*manifest.Account, error) {
	account, ok := policy.AccountByKey(key)
	if !ok {
		return nil, resultcode.New(resultcode.UnknownKey, "the account key is missing or unknown")
	}
	return account, nil
}
