// Package pause simulates processes in tests. Each process is a group of
// goroutines that a test can pause, resume and kill.
//
// Tests of leases, claims and the ledger use it. A pause takes effect only at the
// next call of Checkpoint or WaitWhilePaused, so code without such calls continues.
package pause

import (
	"context"
	"runtime"
	"sync"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Process is a simulated process. Its goroutines call Checkpoint wherever a pause
// may occur. It is safe for concurrent use.
type Process struct {
	mu sync.Mutex
	// running is a channel that is closed while the process isn't paused.
	running chan struct{}
	paused  bool
	killed  bool
}

// NewProcess returns a running process.
func NewProcess() *Process {
	p := &Process{running: make(chan struct{})}
	close(p.running)
	return p
}

// Pause blocks each goroutine of the process at its next checkpoint, as SIGSTOP
// stops a real process. It has no effect after Kill.
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

// Kill ends the process. Each of its goroutines exits at its next checkpoint and
// runs its deferred calls.
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

// Checkpoint blocks while the process is paused. After Kill, it ends the calling
// goroutine.
func (p *Process) Checkpoint() {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	<-running
	if p.Killed() {
		runtime.Goexit()
	}
}

// Table wraps a table. The process can be paused or killed before each call of the
// wrapped table, and between the call's effect and its return.
func (p *Process) Table(inner storage.Table) storage.Table {
	return exitingTable{inner: inner, process: p}
}

type exitingTable struct {
	inner   storage.Table
	process *Process
}

func (t exitingTable) Get(ctx context.Context, key string) (storage.Row, error) {
	t.process.Checkpoint()
	defer t.process.Checkpoint()
	return t.inner.Get(ctx, key)
}

func (t exitingTable) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.process.Checkpoint()
	defer t.process.Checkpoint()
	return t.inner.List(ctx, prefix, after, limit)
}

func (t exitingTable) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	t.process.Checkpoint()
	defer t.process.Checkpoint()
	return t.inner.Commit(ctx, txn)
}
