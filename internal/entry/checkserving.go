package entry

import (
	"context"
	"sync/atomic"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// checkServing refuses requests while the host is stopping or can't confirm that
// its manifest is the one in force.
type checkServing struct {
	watcher  *config.Watcher
	stopping *atomic.Bool
}

// Serve implements Filter.
func (f *checkServing) Serve(ctx context.Context, r *Request, next Next) error {
	if f.stopping.Load() {
		return resultcode.New(resultcode.HostStopping, "this host is stopping")
	}
	policy, err := currentPolicy(f.watcher)
	if err != nil {
		return err
	}
	r.Policy = policy
	return next(ctx, r)
}
