package pause

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/storage"
)

var errKilled = errors.New("the process was killed")

// WaitWhilePaused blocks while the process is paused. It takes no context, since a
// paused process can't react to the end of one. After Kill, it returns an error that
// wraps storage.ErrUnavailable; unlike Checkpoint, it doesn't end the goroutine, so
// that tests can wait for the goroutine.
func (p *Process) WaitWhilePaused() error {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	<-running
	if p.Killed() {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, errKilled)
	}
	return nil
}

// TableFailingAfterKill wraps a table for a process whose goroutines continue after
// Kill. Calls of the wrapped table block while the process is paused. After Kill,
// they fail and have no effect.
func (p *Process) TableFailingAfterKill(inner storage.Table) storage.Table {
	return failingTable{inner: inner, process: p}
}

type failingTable struct {
	inner   storage.Table
	process *Process
}

func (t failingTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := t.process.WaitWhilePaused(); err != nil {
		return storage.Row{}, err
	}
	return t.inner.Get(ctx, key)
}

func (t failingTable) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if err := t.process.WaitWhilePaused(); err != nil {
		return nil, err
	}
	return t.inner.List(ctx, prefix, after, limit)
}

func (t failingTable) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	if err := t.process.WaitWhilePaused(); err != nil {
		return 0, err
	}
	return t.inner.Commit(ctx, txn)
}
