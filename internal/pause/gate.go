package pause

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/storage"
)

var errKilled = errors.New("the process was killed")

// Pass waits while the process is paused, whatever the context of its caller
// says, and fails with storage.ErrUnavailable in a killed one. It is Step for
// goroutines that the test has to wait for.
func (p *Process) Pass() error {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	<-running
	if p.Killed() {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, errKilled)
	}
	return nil
}

// GatedTable returns the table as the process sees it if its goroutines live
// on after Kill: their calls fail then, without effect.
func (p *Process) GatedTable(inner storage.Table) storage.Table {
	return gatedTable{inner: inner, process: p}
}

type gatedTable struct {
	inner   storage.Table
	process *Process
}

func (t gatedTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := t.process.Pass(); err != nil {
		return storage.Row{}, err
	}
	return t.inner.Get(ctx, key)
}

func (t gatedTable) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if err := t.process.Pass(); err != nil {
		return nil, err
	}
	return t.inner.List(ctx, prefix, after, limit)
}

func (t gatedTable) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	if err := t.process.Pass(); err != nil {
		return 0, err
	}
	return t.inner.Commit(ctx, txn)
}
