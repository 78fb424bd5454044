package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/lease"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const (
	// ordersLease is the name of the lease held by the host that sends unload
	// orders to engines.
	ordersLease = "orders"
	// ordersTTL is the duration of the lease for sending orders.
	ordersTTL = 10 * time.Second
	// ordersInterval is the interval between checks for versions to unload.
	ordersInterval = time.Second
	// orderTimeout is the timeout of sending one order, and of releasing the lease.
	orderTimeout = 2 * time.Second
)

// unloader orders engines to unload withdrawn versions. It is an additional safeguard:
// once the version is unloaded, a host that hasn't received the manifest with the
// withdrawal finds no engine that could run it. One host at a time sends the orders,
// under a lease; engines that check fencing numbers refuse the orders of an earlier
// holder of the lease.
type unloader struct {
	host   *Host
	leases *lease.Manager
	held   *lease.Lease
	// blockedUntil is the earliest time at which another host's lease can expire.
	// Before that, this host doesn't try to acquire the lease.
	blockedUntil time.Time
}

// run sends unload orders until ctx ends.
func (u *unloader) run(ctx context.Context) error {
	defer u.release()
	return runPeriodically(ctx, ordersInterval, func() { u.unloadWithdrawn(ctx) })
}

// pendingUnload is a withdrawn version that an engine has to unload.
type pendingUnload struct {
	engine         *balance.Upstream
	model, version string
}

func (u *unloader) unloadWithdrawn(ctx context.Context) {
	due := u.pendingUnloads()
	if len(due) == 0 {
		u.release()
		return
	}
	if !u.ensureLease(ctx) {
		return
	}
	for _, pending := range due {
		u.sendUnload(ctx, pending)
	}
}

// pendingUnloads returns the withdrawn versions that engines report as loaded.
func (u *unloader) pendingUnloads() []pendingUnload {
	policy := u.host.manifestWatcher.Current()
	if policy == nil {
		return nil
	}
	var list []pendingUnload
	for _, m := range policy.Document.Models {
		for _, v := range m.Versions {
			if v.State == manifest.Withdrawn {
				list = append(list, u.pendingUnloadsOf(m.Name, v.Name)...)
			}
		}
	}
	return list
}

func (u *unloader) pendingUnloadsOf(model, version string) []pendingUnload {
	var list []pendingUnload
	for _, e := range u.host.pool.View() {
		if e.Kind == storage.KindEngine && slices.Contains(e.Versions, model+"@"+version) {
			list = append(list, pendingUnload{engine: e, model: model, version: version})
		}
	}
	return list
}

// ensureLease acquires or renews the lease and reports whether this host holds it.
func (u *unloader) ensureLease(ctx context.Context) bool {
	if u.held != nil {
		if err := u.held.Renew(ctx); err == nil || u.held.Valid() {
			return true
		}
		u.held = nil
	}
	if boottime.Now().Before(u.blockedUntil) {
		return false
	}
	held, err := u.leases.Acquire(ctx, ordersLease, u.host.incarnation, ordersTTL)
	var other *lease.HeldError
	if errors.As(err, &other) {
		u.blockedUntil = boottime.Now().Add(other.Wait)
	}
	if err != nil {
		return false
	}
	u.held = held
	u.host.log.Info().Str("event", "orders-lease").Uint64("fencing", held.Fencing()).Msg("")
	return true
}

func (u *unloader) sendUnload(ctx context.Context, pending pendingUnload) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	target := upstream.Target{ID: pending.engine.ID, Address: pending.engine.Address}
	orders := lease.NewOrders(u.held, func(ctx context.Context, _ lease.Receiver, fencing uint64) error {
		return u.host.engine.Unload(ctx, target, pending.model, pending.version, fencing)
	})
	fenced := u.host.upstreams.checksFencing(pending.engine.ID)
	err := orders.Send(ctx, lease.Receiver{ID: pending.engine.ID, ChecksFencing: fenced})
	var early *lease.TooEarlyError
	if errors.As(err, &early) {
		return // The next check tries again.
	}
	u.host.log.Info().Str("event", "unload").Str("upstream", pending.engine.ID).Str("model", pending.model).
		Str("version", pending.version).Uint64("fencing", u.held.Fencing()).Bool("checks_fencing", fenced).AnErr("error", err).Msg("")
}

// release releases the lease if this host holds it.
func (u *unloader) release() {
	if u.held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	// A lease that can't be released expires.
	_ = u.held.Release(ctx)
	u.held = nil
}
