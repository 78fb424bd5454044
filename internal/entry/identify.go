package entry

import (
	"context"

	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// identify is the filter that looks up the request's client account by the account key.
type identify struct{}

// Serve implements Filter.
func (identify) Serve(ctx context.Context, r *Request, next Next) error {
	account, err := accountByKey(r.Policy, r.AccountKey)
	if err != nil {
		return err
	}
	r.Account = account
	return next(ctx, r)
}

// accountByKey returns the account with the given key.
func accountByKey(policy *manifest.Policy, key string) (*manifest.Account, error) {
	account, ok := policy.AccountByKey(key)
	if !ok {
		return nil, resultcode.New(resultcode.UnknownKey, "the account key is missing or unknown")
	}
	return account, nil
}
