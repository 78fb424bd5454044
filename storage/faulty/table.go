// Package faulty wraps a table, an object store and a rater with faults that a test
// switches on: outages, slowness, and commits whose answers are lost.
//
// Tests and the platform's stand-in use it. It never breaks the inner table's
// own promises: a commit takes effect whole or not at all, and reads are
// damaged by no fault.
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
// commit whose context ends in either half gives storage.ErrUnknown, so that
// a caller can't learn which half it was; a read gives storage.ErrUnavailable.
type Table struct {
	inner storage.Table

	mu     sync.Mutex
	faults faults
	counts Counts
	hooks  hooks
	// held are the commits on their way until Deliver.
	held []storage.Txn
}

// hooks are called around each call; nil for none.
type hooks struct {
	before, after func()
}

// faults is what a Table does wrong at present.
type faults struct {
	// down fails every call without effect; default false.
	down bool
	// delay is how long each call takes; default 0.
	delay time.Duration
	// drop, lose, late and hold count the coming commits with that fault; a
	// commit takes from the first of them that isn't zero. Default 0.
	drop, lose, late, hold int
	// lateBy is how long a late commit stays on its way.
	lateBy time.Duration
}

// commitFault is the fault of one commit.
type commitFault int

const (
	faultNone commitFault = iota
	// faultDrop has no effect.
	faultDrop
	// faultLose takes effect and loses the answer.
	faultLose
	// faultLate loses the answer and takes effect later.
	faultLate
	// faultHold loses the answer and takes effect when the test says so.
	faultHold
)

// New returns a table without faults over inner.
func New(inner storage.Table) *Table {
	return &Table{inner: inner}
}

// SetDown starts or ends an outage: every call has no effect and gives
// storage.ErrUnavailable.
func (t *Table) SetDown(down bool) {
	t.change(func(f *faults) { f.down = down })
}

// SetDelay makes each call take d longer; zero ends it.
func (t *Table) SetDelay(d time.Duration) {
	t.change(func(f *faults) { f.delay = d })
}

// LoseNext makes the next n commits take effect, if their conditions hold, and
// give storage.ErrUnknown.
func (t *Table) LoseNext(n int) {
	t.change(func(f *faults) { f.lose = n })
}

// DropNext makes the next n commits have no effect and give
// storage.ErrUnknown.
func (t *Table) DropNext(n int) {
	t.change(func(f *faults) { f.drop = n })
}

// DelayNext makes the next n commits give storage.ErrUnknown at once and take
// effect after d, if their conditions hold then.
func (t *Table) DelayNext(n int, d time.Duration) {
	t.change(func(f *faults) { f.late, f.lateBy = n, d })
}

// HoldNext makes the next n commits give storage.ErrUnknown at once and take
// effect at the next Deliver, if their conditions hold then. It is DelayNext for
// tests whose time is their own.
func (t *Table) HoldNext(n int) {
	t.change(func(f *faults) { f.hold = n })
}

// Deliver lets the held commits arrive, in the order of their calls.
func (t *Table) Deliver() {
	t.mu.Lock()
	arrived := t.held
	t.held = nil
	t.mu.Unlock()
	for _, txn := range arrived {
		_, _ = t.inner.Commit(context.Background(), txn)
	}
}

// SetHooks has before run ahead of each call, and after between a call's effect
// and its answer, whatever the call's context says. That is where a paused
// caller stands still. Nil ends either.
func (t *Table) SetHooks(before, after func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hooks = hooks{before, after}
}

// around runs the hook before a call and returns the one behind it.
func (t *Table) around() (after func()) {
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

// Heal ends all faults. Late and held commits still arrive.
func (t *Table) Heal() {
	t.change(func(f *faults) { *f = faults{} })
}

// Counts returns the numbers of calls received so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key string) (storage.Row, error) {
	t.count(func(c *Counts) { c.Gets++ })
	defer t.around()()
	return read(ctx, t, func() (storage.Row, error) {
		return t.inner.Get(ctx, key)
	})
}

// List implements storage.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.count(func(c *Counts) { c.Lists++ })
	defer t.around()()
	return read(ctx, t, func() ([]storage.Row, error) {
		return t.inner.List(ctx, prefix, after, limit)
	})
}

// Commit implements storage.Table.
func (t *Table) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	t.count(func(c *Counts) { c.Commits++ })
	defer t.around()()
	current := t.current()
	if current.down {
		return 0, errDown()
	}
	if err := sleep(ctx, current.delay/2); err != nil {
		return 0, fmt.Errorf("%w: %w", storage.ErrUnknown, err)
	}
	if t.current().down {
		return 0, errDown()
	}
	revision, err := t.commit(ctx, txn)
	if sleepErr := sleep(ctx, current.delay/2); sleepErr != nil {
		return 0, fmt.Errorf("%w: %w", storage.ErrUnknown, sleepErr)
	}
	return revision, err
}

// commit passes the transaction on with the fault that is due.
func (t *Table) commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	fault, lateBy := t.takeCommitFault()
	switch fault {
	case faultDrop:
		return 0, errLost()
	case faultLose:
		// A conflict is hidden as well: its answer is lost like any other.
		_, _ = t.inner.Commit(ctx, txn)
		return 0, errLost()
	case faultLate:
		// The caller's context ends with its call; the transaction is already
		// on its way and must arrive all the same.
		arrival := context.WithoutCancel(ctx)
		copied := copyTxn(txn)
		time.AfterFunc(lateBy, func() { _, _ = t.inner.Commit(arrival, copied) })
		return 0, errLost()
	case faultHold:
		copied := copyTxn(txn)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.held = append(t.held, copied)
		return 0, errLost()
	default:
		return t.inner.Commit(ctx, txn)
	}
}

// read runs one read between the halves of its delay.
func read[T any](ctx context.Context, t *Table, call func() (T, error)) (T, error) {
	var none T
	current := t.current()
	if current.down {
		return none, errDown()
	}
	if err := sleep(ctx, current.delay/2); err != nil {
		return none, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	if t.current().down {
		return none, errDown()
	}
	result, callErr := call()
	if err := sleep(ctx, current.delay/2); err != nil {
		return none, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return result, callErr
}

func (t *Table) change(f func(*faults)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.faults)
}

func (t *Table) count(f func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.counts)
}

func (t *Table) current() faults {
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
	case f.drop > 0:
		f.drop--
		return faultDrop, 0
	case f.lose > 0:
		f.lose--
		return faultLose, 0
	case f.late > 0:
		f.late--
		return faultLate, f.lateBy
	case f.hold > 0:
		f.hold--
		return faultHold, 0
	default:
		return faultNone, 0
	}
}
