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
	// ordersLease is the name that the host which orders engines holds.
	ordersLease = "orders"
	// ordersTTL is the life of that lease.
	ordersTTL = 10 * time.Second
	// ordersInterval is the time between looks for orders to give.
	ordersInterval = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
)

// unloader has engines drop withdrawn versions. It stands behind the manifest:
// a host that should not know of a withdrawal finds no engine with the version.
// One host at a time gives the orders, under a lease; engines that check
// fencing numbers refuse those of an earlier holder.
type unloader struct {
	host    *Host
	manager *lease.Manager
	held    *lease.Lease
	// blockedUntil is when another holder's lease can be over at the earliest.
	blockedUntil time.Time
}

// run gives orders until ctx ends.
func (u *unloader) run(ctx context.Context) error {
	defer u.release()
	return every(ctx, ordersInterval, func() { u.step(ctx) })
}

// withdrawal is a version that an engine has to drop.
type withdrawal struct {
	engine         *balance.Upstream
	model, version string
}

func (u *unloader) step(ctx context.Context) {
	due := u.due()
	if len(due) == 0 {
		u.release()
		return
	}
	if !u.hold(ctx) {
		return
	}
	for _, w := range due {
		u.order(ctx, w)
	}
}

// due lists the engines that report a withdrawn version as loaded.
func (u *unloader) due() []withdrawal {
	policy := u.host.watcher.Current()
	if policy == nil {
		return nil
	}
	var list []withdrawal
	for _, m := range policy.Document.Models {
		for _, v := range m.Versions {
			if v.State == manifest.Withdrawn {
				list = append(list, u.loaded(m.Name, v.Name)...)
			}
		}
	}
	return list
}

func (u *unloader) loaded(model, version string) []withdrawal {
	var list []withdrawal
	for _, e := range u.host.pool.View() {
		if e.Kind == storage.KindEngine && slices.Contains(e.Versions, model+"@"+version) {
			list = append(list, withdrawal{engine: e, model: model, version: version})
		}
	}
	return list
}

// hold says whether this host holds the lease, and takes or renews it.
func (u *unloader) hold(ctx context.Context) bool {
	if u.held != nil {
		if err := u.held.Renew(ctx); err == nil || u.held.Valid() {
			return true
		}
		u.held = nil
	}
	if boottime.Now().Before(u.blockedUntil) {
		return false
	}
	held, err := u.manager.Acquire(ctx, ordersLease, u.host.incarnation, ordersTTL)
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

func (u *unloader) order(ctx context.Context, w withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	target := upstream.Target{ID: w.engine.ID, Address: w.engine.Address}
	orders := lease.NewOrders(u.held, func(ctx context.Context, _ lease.Receiver, fencing uint64) error {
		return u.host.engine.Unload(ctx, target, w.model, w.version, fencing)
	})
	fenced := u.host.upstreams.fenced(w.engine.ID)
	err := orders.Send(ctx, lease.Receiver{ID: w.engine.ID, Fenced: fenced})
	var early *lease.TooEarlyError
	if errors.As(err, &early) {
		return // It comes up again.
	}
	u.host.log.Info().Str("event", "unload").Str("upstream", w.engine.ID).Str("model", w.model).
		Str("version", w.version).Uint64("fencing", u.held.Fencing()).Bool("checks_fencing", fenced).AnErr("error", err).Msg("")
}

// release gives the lease up when there is nothing to order.
func (u *unloader) release() {
	if u.held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	// A lease that can't be released lapses.
	_ = u.held.Release(ctx)
	u.held = nil
}
