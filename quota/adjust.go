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
	stored, err := parseAccountRow(row)
	if err != nil {
		return err
	}
	own := l.lease.Load()
	current, expired := stored.withoutExpired(l.isExpired)
	l.applyRow(b, current, own.id)
	input := decisionInput{
		demandStats: b.measureDemand(l.opts.Clock(), period),
		held:        b.state.held,
		free:        current.free(),
		hosts:       len(l.hostRows),
	}
	input.othersShortage, input.othersEntitled, input.othersExcess = current.sumOthers(own.id, input.fairShare())
	d := decide(input)
	b.state.short = input.refused && d.slots <= b.state.held
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
// registered, no other host changes this host's holding, so the holding in a
// slightly stale row is still correct.
func (l *Limiter) applyRow(b *bucket, row accountRow, id string) {
	state := &b.state
	state.held = row.heldBy(id)
	if state.unresolved != nil && state.unresolved.baseVersion != row.version {
		state.unresolved = nil
	}
	confirmed := state.held
	if state.unresolved != nil {
		confirmed = min(confirmed, state.unresolved.held)
	}
	now := l.opts.Clock()
	b.setOwnSlots(now, l.leaseEnd(), confirmed, 0)
	state.holders = state.holders[:0]
	for _, h := range row.Holdings {
		if h.Holder != id {
			state.holders = append(state.holders, h)
		}
	}
	sort.Slice(state.holders, func(i, j int) bool { return state.holders[i].Slots > state.holders[j].Slots })
}

// commitHolding commits a decision. The host stops using slots that it gives back
// before the commit, and starts using slots that it takes after it.
func (l *Limiter) commitHolding(ctx context.Context, b *bucket, row accountRow, expired []string, d decision) error {
	state := &b.state
	now := l.opts.Clock()
	if d.slots < state.held {
		confirmed := d.slots
		if state.unresolved != nil {
			confirmed = min(confirmed, state.unresolved.held)
		}
		d.slots = max(d.slots, b.setOwnSlots(now, l.leaseEnd(), confirmed, 0))
	}
	id := l.lease.Load().id
	next, neverHeld := row.withDecision(id, d)
	_, err := l.commitRow(ctx, b.account, next, expired)
	now = l.opts.Clock()
	switch {
	case err == nil:
		state.unresolved = nil
		state.held = d.slots
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

// recordUnresolved records a commit that sets the holding to held and whose
// outcome is unknown. It limits the host to the slots that it holds whether or
// not this commit, or an earlier unresolved one, takes effect.
func (l *Limiter) recordUnresolved(b *bucket, baseVersion uint64, held int) {
	state := &b.state
	if state.unresolved != nil && state.unresolved.baseVersion == baseVersion {
		held = min(held, state.unresolved.held)
	}
	state.unresolved = &unresolvedCommit{baseVersion: baseVersion, held: held}
	now := l.opts.Clock()
	b.setOwnSlots(now, l.leaseEnd(), min(state.held, held), 0)
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
