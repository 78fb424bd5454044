// Package faulty wraps a table, an object store and a rater with faults that a test
// switches on: outages, delays, and commits whose responses are lost.
//
// Tests and the platform's stand-in use it. It preserves the guarantees of the
// inner table: a commit takes effect whole or not at all, and no fault changes
// the result of a successful read.
package faulty

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.Table = (*Table)(nil)

// Counts are the numbers of calls that a Table received, failed ones included.
type Counts struct {
	Gets    int
	Lists   int
	Commits int
}

// Table passes calls to an inner table, subject to faults. Without a fault it
// changes nothing. It is safe for concurrent use.
//
// A slow call spends half of its delay before its effect and half after. A
// commit whose context ends in either half returns storage.ErrUnknown, so that
// the caller can't tell which half it was; a read returns
// storage.ErrUnavailable.
type Table struct {
	inner storage.Table

	mu     sync.Mutex
	faults faults
	counts Counts
	hooks  hooks
	// heldTxns holds the transactions that ApplyHeldCommits commits.
	heldTxns []storage.Txn
}

// hooks are called around each call; nil for none.
type hooks struct {
	before, after func()
}

// faults holds the current faults of a Table.
type faults struct {
	// down makes every call fail without effect; default false.
	down bool
	// delay is the delay of each call; default 0.
	delay time.Duration
	// dropCount, loseCount, lateCount and holdCount are the numbers of coming commits with that
	// fault; a commit uses the first of them that isn't zero. Default 0.
	dropCount, loseCount, lateCount, holdCount int
	// lateDelay is the time until a late commit takes effect.
	lateDelay time.Duration
}

// commitFault is the fault of one commit.
type commitFault int

const (
	faultNone commitFault = iota
	// faultDrop discards the commit and loses the response.
	faultDrop
	// faultLose applies the commit and loses the response.
	faultLose
	// faultLate loses the response and applies the commit later.
	faultLate
	// faultHold loses the response; the next ApplyHeldCommits applies the commit.
	faultHold
)

// NewTable returns a table without faults over inner.
func NewTable(inner storage.Table) *Table {
	return &Table{inner: inner}
}

// SetDown starts or ends an outage: every call has no effect and returns
// storage.ErrUnavailable.
func (t *Table) SetDown(down bool) {
	t.updateFaults(func(f *faults) { f.down = down })
}

// SetDelay makes each call take d longer; zero ends it.
func (t *Table) SetDelay(d time.Duration) {
	t.updateFaults(func(f *faults) { f.delay = d })
}

// LoseNextResponses makes the next n commits take effect, if their conditions
// hold, and return storage.ErrUnknown.
func (t *Table) LoseNextResponses(n int) {
	t.updateFaults(func(f *faults) { f.loseCount = n })
}

// DropNextCommits makes the next n commits have no effect and return
// storage.ErrUnknown.
func (t *Table) DropNextCommits(n int) {
	t.updateFaults(func(f *faults) { f.dropCount = n })
}

// DelayNextCommits makes the next n commits return storage.ErrUnknown at once
// and take effect after d, if their conditions hold then.
func (t *Table) DelayNextCommits(n int, d time.Duration) {
	t.updateFaults(func(f *faults) { f.lateCount, f.lateDelay = n, d })
}

// HoldNextCommits makes the next n commits return storage.ErrUnknown at once and
// take effect at the next ApplyHeldCommits, if their conditions hold then. It
// replaces DelayNextCommits in tests that use a clock of their own.
func (t *Table) HoldNextCommits(n int) {
	t.updateFaults(func(f *faults) { f.holdCount = n })
}

// ApplyHeldCommits applies the held commits in the order of their calls.
func (t *Table) ApplyHeldCommits() {
	t.mu.Lock()
	txns := t.heldTxns
	t.heldTxns = nil
	t.mu.Unlock()
	for _, txn := range txns {
		_, _ = t.inner.Commit(context.Background(), txn)
	}
}

// SetHooks sets functions that run before each call, and between a call's effect
// and its return, even if the call's context has ended. Tests block in them to
// simulate a caller that is paused there. Nil removes a hook.
func (t *Table) SetHooks(before, after func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hooks = hooks{before, after}
}

// runHooks runs the hook before a call and returns a function that runs the hook
// after it.
func (t *Table) runHooks() (after func()) {
	if before := t.currentHooks().before; before != nil {
		before()
	}
	return func() {
		if after := t.currentHooks().after; after != nil {
			after()
		}
	}
}

func (t *Table) currentHooks() hooks {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hooks
}

// ClearFaults ends all faults. Late and held commits still take effect.
func (t *Table) ClearFaults() {
	t.updateFaults(func(f *faults) { *f = faults{} })
}

// Counts returns the numbers of calls received so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key string) (storage.Row, error) {
	t.updateCounts(func(c *Counts) { c.Gets++ })
	defer t.runHooks()()
	return read(ctx, t, func() (storage.Row, error) {
		return t.inner.Get(ctx, key)
	})
}

// List implements storage.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.updateCounts(func(c *Counts) { c.Lists++ })
	defer t.runHooks()()
	return read(ctx, t, func() ([]storage.Row, error) {
		return t.inner.List(ctx, prefix, after, limit)
	})
}

// Commit implements storage.Table.
func (t *Table) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	t.updateCounts(func(c *Counts) { c.Commits++ })
	defer t.runHooks()()
	current := t.currentFaults()
	if current.down {
		return 0, errDown()
	}
	if err := sleep(ctx, current.delay/2); err != nil {
		return 0, fmt.Errorf("%w: %w", storage.ErrUnknown, err)
	}
	if t.currentFaults().down {
		return 0, errDown()
	}
	revision, err := t.commitWithFault(ctx, txn)
	if sleepErr := sleep(ctx, current.delay/2); sleepErr != nil {
		return 0, fmt.Errorf("%w: %w", storage.ErrUnknown, sleepErr)
	}
	return revision, err
}

// commitWithFault commits the transaction to the inner table, subject to the next
// counted fault.
func (t *Table) commitWithFault(ctx context.Context, txn storage.Txn) (uint64, error) {
	fault, lateDelay := t.takeCommitFault()
	switch fault {
	case faultDrop:
		return 0, errResponseLost()
	case faultLose:
		// A conflict isn't reported either: its response is lost like any other.
		_, _ = t.inner.Commit(ctx, txn)
		return 0, errResponseLost()
	case faultLate:
		// The caller's context ends with its call, but the transaction must
		// still be applied later.
		arrival := context.WithoutCancel(ctx)
		copied := copyTxn(txn)
		time.AfterFunc(lateDelay, func() { _, _ = t.inner.Commit(arrival, copied) })
		return 0, errResponseLost()
	case faultHold:
		copied := copyTxn(txn)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.heldTxns = append(t.heldTxns, copied)
		return 0, errResponseLost()
	default:
		return t.inner.Commit(ctx, txn)
	}
}

// read makes one read between the two halves of its delay.
func read[T any](ctx context.Context, t *Table, call func() (T, error)) (T, error) {
	var zero T
	current := t.currentFaults()
	if current.down {
		return zero, errDown()
	}
	if err := sleep(ctx, current.delay/2); err != nil {
		return zero, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	if t.currentFaults().down {
		return zero, errDown()
	}
	result, callErr := call()
	if err := sleep(ctx, current.delay/2); err != nil {
		return zero, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return result, callErr
}

func (t *Table) updateFaults(f func(*faults)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.faults)
}

func (t *Table) updateCounts(f func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.counts)
}

func (t *Table) currentFaults() faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// takeCommitFault uses up one of the counted faults, if there is one.
func (t *Table) takeCommitFault() (commitFault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.faults
	switch {
	case f.dropCount > 0:
		f.dropCount--
		return faultDrop, 0
	case f.loseCount > 0:
		f.loseCount--
		return faultLose, 0
	case f.lateCount > 0:
		f.lateCount--
		return faultLate, f.lateDelay
	case f.holdCount > 0:
		f.holdCount--
		return faultHold, 0
	default:
		return faultNone, 0
	}
}
