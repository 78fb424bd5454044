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

// adjust applies an account's row and commits the holding that decide returns.
// A commit that failed with a conflict is retried by the next reconciliation.
func (l *Limiter) adjust(ctx context.Context, b *bucket, row storage.Row, period time.Duration) error {
	full, err := parseAccountRow(row)
	if err != nil {
		return err
	}
	own := l.lease.Load()
	current, expired := full.withoutExpired(l.isExpired)
	l.applyRow(b, current, own.id)
	v := decisionInput{
		demandStats: b.measureDemand(l.opts.Clock(), period),
		held:        b.state.held,
		free:        current.free(),
		hosts:       len(l.hostRows),
	}
	v.othersShortage, v.othersEntitled, v.othersExcess = current.sumOthers(own.id, v.fairShare())
	d := decide(v)
	b.state.short = v.refused && d.slots <= b.state.held
	if d.slots == b.state.held && !shortageChanged(current.shortageOf(own.id), d.shortage) && b.state.unresolved == nil {
		return nil
	}
	return l.commitHolding(ctx, b, current, expired, d)
}

// shortageChanged reports whether a shortage differs enough to be committed.
func shortageChanged(old, shortage int) bool {
	if (old == 0) != (shortage == 0) {
		return true
	}
	difference := shortage - old
	return max(difference, -difference) > old/hysteresisDivisor
}

// isExpired reports whether a holder has no host row. The host rows may have
// been read before the account's row, so a commit that removes a holder has the
// absence of its host row as a condition.
func (l *Limiter) isExpired(id string) bool {
	_, alive := l.hostRows[id]
	return !alive
}

// applyRow updates the account's state from its row. While this host is
// registered, no other host changes its holding, so a slightly stale row is
// correct.
func (l *Limiter) applyRow(b *bucket, row accountRow, id string) {
	c := &b.state
	c.held = row.heldBy(id)
	if c.unresolved != nil && c.unresolved.baseVersion != row.version {
		c.unresolved = nil
	}
	confirmed := c.held
	if c.unresolved != nil {
		confirmed = min(confirmed, c.unresolved.held)
	}
	now := l.opts.Clock()
	b.setOwnSlots(now, l.leaseEnd(), confirmed, 0)
	c.holders = c.holders[:0]
	for _, h := range row.Holdings {
		if h.Holder != id {
			c.holders = append(c.holders, h)
		}
	}
	sort.Slice(c.holders, func(i, j int) bool { return c.holders[i].Slots > c.holders[j].Slots })
}

// commitHolding commits a decision. Slots that are given back are no longer used
// from before the commit; slots that are taken are used only after it.
func (l *Limiter) commitHolding(ctx context.Context, b *bucket, row accountRow, expired []string, d decision) error {
	c := &b.state
	now := l.opts.Clock()
	if d.slots < c.held {
		confirmed := d.slots
		if c.unresolved != nil {
			confirmed = min(confirmed, c.unresolved.held)
		}
		d.slots = max(d.slots, b.setOwnSlots(now, l.leaseEnd(), confirmed, 0))
	}
	id := l.lease.Load().id
	next, neverHeld := row.withDecision(id, d)
	_, err := l.commitRow(ctx, b.account, next, expired)
	now = l.opts.Clock()
	switch {
	case err == nil:
		c.unresolved = nil
		c.held = d.slots
		b.setOwnSlots(now, l.leaseEnd(), d.slots, neverHeld)
		return nil
	case errors.Is(err, storage.ErrConflict):
		return nil
	case errors.Is(err, storage.ErrUnavailable):
		return err
	}
	l.recordUnresolved(b, row.version, d.slots)
	return err
}

// recordUnresolved records a commit whose outcome is unknown and limits the host
// to the slots that it holds whether or not this commit, and any earlier
// unresolved one, takes effect.
func (l *Limiter) recordUnresolved(b *bucket, baseVersion uint64, held int) {
	c := &b.state
	if c.unresolved != nil && c.unresolved.baseVersion == baseVersion {
		held = min(held, c.unresolved.held)
	}
	c.unresolved = &unresolvedCommit{baseVersion: baseVersion, held: held}
	now := l.opts.Clock()
	b.setOwnSlots(now, l.leaseEnd(), min(c.held, held), 0)
}

func (l *Limiter) commitRow(ctx context.Context, account string, row accountRow, expired []string) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fmt.Errorf("quota: encode row: %w", err)
	}
	key := accountKey(account)
	txn := storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: row.version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	}
	for _, id := range expired {
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: hostKey(id)})
	}
	return l.commit(ctx, txn)
}
