// Package pause lets a test pause, resume and kill one of several processes
// that it runs as goroutines.
//
// Tests of leases, claims and the ledger use it. A pause takes hold at the next
// step only, so code without steps goes on.
package pause

import (
	"context"
	"runtime"
	"sync"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Process stands for one process. Its goroutines call Step wherever a pause
// may fall. It is safe for concurrent use.
type Process struct {
	mu sync.Mutex
	// running is closed while the process isn't paused.
	running chan struct{}
	paused  bool
	killed  bool
}

// New returns a running process.
func New() *Process {
	p := &Process{running: make(chan struct{})}
	close(p.running)
	return p
}

// Pause holds the process at its next steps, as SIGSTOP does.
func (p *Process) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused || p.killed {
		return
	}
	p.paused = true
	p.running = make(chan struct{})
}

// Resume ends a pause.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resume()
}

// Kill ends the process: each of its goroutines exits at its next step, with
// its deferred calls.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	p.resume()
}

func (p *Process) resume() {
	if !p.paused {
		return
	}
	p.paused = false
	close(p.running)
}

// Killed reports whether Kill was called.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Paused reports whether the process is paused.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// Step waits while the process is paused and doesn't return in a killed one.
func (p *Process) Step() {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	<-running
	if p.Killed() {
		runtime.Goexit()
	}
}

// Table returns the table as the process sees it: a pause or death can fall
// before each call, and between its effect and its answer.
func (p *Process) Table(inner storage.Table) storage.Table {
	return table{inner: inner, process: p}
}

type table struct {
	inner   storage.Table
	process *Process
}

func (t table) Get(ctx context.Context, key string) (storage.Row, error) {
	t.process.Step()
	defer t.process.Step()
	return t.inner.Get(ctx, key)
}

func (t table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.process.Step()
	defer t.process.Step()
	return t.inner.List(ctx, prefix, after, limit)
}

func (t table) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	t.process.Step()
	defer t.process.Step()
	return t.inner.Commit(ctx, txn)
}
