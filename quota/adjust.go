package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// adjust takes over what a row states and commits the holding that the policy
// goes for. A commit that failed without effect is left to the next pass.
func (l *Limiter) adjust(ctx context.Context, b *bucket, row storage.Row, period time.Duration) error {
	full, err := parseAccountRow(row)
	if err != nil {
		return err
	}
	own := l.lease.Load()
	current, dead := full.without(l.isDead)
	l.observe(b, current, own.id)
	v := view{
		needs: b.measure(l.opts.Clock(), period),
		held:  b.control.held,
		free:  current.free(),
		hosts: len(l.hosts),
	}
	v.wanted, v.entitled, v.excess = current.scarcity(own.id, v.fair())
	d := decide(v)
	b.control.short = v.refused && d.slots <= b.control.held
	if d.slots == b.control.held && !wishChanged(current.wish(own.id), d.wants) && b.control.open == nil {
		return nil
	}
	return l.change(ctx, b, current, dead, d)
}

// wishChanged reports whether a wish differs enough to be written.
func wishChanged(old, wish int) bool {
	if (old == 0) != (wish == 0) {
		return true
	}
	difference := wish - old
	return max(difference, -difference) > old/hysteresis
}

// isDead reports whether a holder has no host row. The list of hosts may be
// older than the account's row, so a commit that relies on it has the row's
// absence among its conditions.
func (l *Limiter) isDead(id string) bool {
	_, alive := l.hosts[id]
	return !alive
}

// observe takes over what the row states of this host. Only this host changes
// its holding while it is registered, so a row that is a little old will do.
func (l *Limiter) observe(b *bucket, row accountRow, id string) {
	c := &b.control
	c.held = row.heldBy(id)
	if c.open != nil && c.open.base != row.version {
		c.open = nil
	}
	certain := c.held
	if c.open != nil {
		certain = min(certain, c.open.held)
	}
	now := l.opts.Clock()
	b.hold(now, l.leaseEnd(), certain, 0)
	c.holders = c.holders[:0]
	for _, h := range row.Holdings {
		if h.Holder != id {
			c.holders = append(c.holders, h)
		}
	}
	sort.Slice(c.holders, func(i, j int) bool { return c.holders[i].Slots > c.holders[j].Slots })
}

// change commits a holding. Slots that are given back are no longer spent from
// before the commit; slots that are taken are spent after it.
func (l *Limiter) change(ctx context.Context, b *bucket, row accountRow, dead []string, d decision) error {
	c := &b.control
	now := l.opts.Clock()
	if d.slots < c.held {
		certain := d.slots
		if c.open != nil {
			certain = min(certain, c.open.held)
		}
		d.slots = max(d.slots, b.hold(now, l.leaseEnd(), certain, 0))
	}
	id := l.lease.Load().id
	next, fresh := row.with(id, d)
	_, err := l.commitRow(ctx, b.account, next, dead)
	now = l.opts.Clock()
	switch {
	case err == nil:
		c.open = nil
		c.held = d.slots
		b.hold(now, l.leaseEnd(), d.slots, fresh)
		return nil
	case errors.Is(err, storage.ErrConflict):
		return nil
	case errors.Is(err, storage.ErrUnavailable):
		return err
	}
	l.markOpen(b, row.version, d.slots)
	return err
}

// markOpen limits the host to what it holds whether or not the commit, and any
// earlier open one, takes effect.
func (l *Limiter) markOpen(b *bucket, base uint64, held int) {
	c := &b.control
	if c.open != nil && c.open.base == base {
		held = min(held, c.open.held)
	}
	c.open = &openCommit{base: base, held: held}
	now := l.opts.Clock()
	b.hold(now, l.leaseEnd(), min(c.held, held), 0)
}

func (l *Limiter) commitRow(ctx context.Context, account string, row accountRow, dead []string) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fmt.Errorf("quota: encode row: %w", err)
	}
	key := accountKey(account)
	txn := storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: row.version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	}
	for _, id := range dead {
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: hostKey(id)})
	}
	return l.commit(ctx, txn)
}
