package lease_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/pause"
	"github.com/quetzalweir/quetzalweir/lease"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// operationKind is the kind of operation in a history.
type operationKind int

const (
	// acquired is a successful call of Acquire.
	acquired operationKind = iota
	// valid is a call of Valid that returned true.
	valid
	// released is a call of Release, with any result.
	released
)

// operation is one operation with the fencing number of its lease.
type operation struct {
	kind    operationKind
	fencing uint64
}

// holderState is the state of the model: the fencing number of the last
// acquisition, and whether that lease was released.
type holderState struct {
	fencing  uint64
	released bool
}

// model requires that each acquisition has a higher fencing number than all
// earlier ones, and that a lease isn't valid after a later acquisition.
var model = porcupine.Model{
	Init: func() any { return holderState{} },
	Step: func(state, input, _ any) (bool, any) {
		current, op := state.(holderState), input.(operation)
		switch op.kind {
		case acquired:
			return op.fencing > current.fencing, holderState{fencing: op.fencing}
		case valid:
			return op.fencing == current.fencing && !current.released, current
		default:
			if op.fencing == current.fencing {
				current.released = true
			}
			return true, current
		}
	},
}

// recordOperation calls do and adds its operation to the history if do returns
// true.
func recordOperation(h *storagetest.History, client int, do func() (operation, bool)) {
	start := h.Tick()
	if op, ok := do(); ok {
		h.AddCompleted(client, start, op, nil)
	}
}

func TestModelRejectsBadHistories(t *testing.T) {
	at := func(client int, k operationKind, fencing uint64, call, back int64) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: operation{k, fencing}, Call: call, Return: back}
	}
	tests := []struct {
		desc    string
		history []porcupine.Operation
		want    bool
	}{
		{"one after the other", []porcupine.Operation{
			at(0, acquired, 1, 1, 2), at(0, valid, 1, 3, 4), at(1, acquired, 2, 5, 6), at(1, valid, 2, 7, 8),
		}, true},
		{"valid after a takeover", []porcupine.Operation{
			at(0, acquired, 1, 1, 2), at(1, acquired, 2, 3, 4), at(0, valid, 1, 5, 6),
		}, false},
		{"same fencing number twice", []porcupine.Operation{
			at(0, acquired, 1, 1, 2), at(1, acquired, 1, 3, 4),
		}, false},
		{"fencing number decreases", []porcupine.Operation{
			at(0, acquired, 2, 1, 2), at(1, acquired, 1, 3, 4),
		}, false},
		{"valid after release", []porcupine.Operation{
			at(0, acquired, 1, 1, 2), at(0, released, 1, 3, 4), at(0, valid, 1, 5, 6),
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is.New(t).Equal(storagetest.IsLinearizable(model, tt.history), tt.want)
		})
	}
}

// TestHistories runs four contending hosts with table faults and paused hosts,
// and checks the history of each seed against the model.
func TestHistories(t *testing.T) {
	const seeds = 100
	var acquisitions, checks int
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ops := runHistory(t, seed)
			storagetest.CheckModel(t, fmt.Sprint("seed ", seed), model, ops) // there are never two holders at a time
			for _, op := range ops {
				switch op.Input.(operation).kind {
				case acquired:
					acquisitions++
				case valid:
					checks++
				}
			}
		})
	}
	is.New(t).True(acquisitions > seeds) // more than one acquisition per history on average
	t.Logf("%d histories, %d acquisitions, %d times valid", seeds, acquisitions, checks)
}

func runHistory(t *testing.T, seed uint64) []porcupine.Operation {
	const hosts, length = 4, 2 * time.Minute
	table := faulty.NewTable(memory.NewTable())
	history := new(storagetest.History)
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	processes := make([]*pause.Process, hosts)
	var wg sync.WaitGroup
	for i := range processes {
		processes[i] = pause.NewProcess()
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		c := &contender{history: history, id: i, process: processes[i], random: random}
		c.manager = lease.NewManager(lease.Options{Table: processes[i].Table(table)})
		wg.Go(func() { c.run(ctx) })
	}
	random := rand.New(rand.NewPCG(seed, hosts))
	for ctx.Err() == nil {
		injectFault(table, processes[random.IntN(hosts)], random)
		time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
	}
	for _, p := range processes {
		p.Resume()
	}
	wg.Wait()
	return history.Operations()
}

func injectFault(table *faulty.Table, process *pause.Process, random *rand.Rand) {
	switch random.IntN(8) {
	case 0:
		process.Pause()
	case 1:
		process.Resume()
	default:
		table.SetRandomFault(random, faulty.Bounds{Commits: 5, Delay: 8 * time.Second, Late: 15 * time.Second})
	}
}

// contender is a host that acquires the lease repeatedly.
type contender struct {
	history *storagetest.History
	id      int
	process *pause.Process
	random  *rand.Rand
	manager *lease.Manager
}

func (c *contender) run(ctx context.Context) {
	for ctx.Err() == nil {
		l := c.acquire(ctx)
		if l != nil {
			c.hold(ctx, l)
		}
		c.sleep(500)
	}
}

func (c *contender) acquire(ctx context.Context) *lease.Lease {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	var l *lease.Lease
	recordOperation(c.history, c.id, func() (operation, bool) {
		got, err := c.manager.Acquire(ctx, name, "host", ttl)
		if err != nil {
			return operation{}, false
		}
		l = got
		return operation{acquired, l.Fencing()}, true
	})
	return l
}

// hold renews the lease until it lapses or ctx ends. After each check of the lease,
// hold releases it with a probability of 1 in 15 and returns.
func (c *contender) hold(ctx context.Context, l *lease.Lease) {
	keep, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = l.KeepRenewing(keep) }()
	for ctx.Err() == nil && c.checkValid(l) {
		c.sleep(1500)
		if c.random.IntN(15) == 0 {
			c.release(ctx, l)
			return
		}
	}
}

// checkValid calls Valid, records the call in the history if it returned true, and
// returns its result. The operation spans only the call, so it doesn't include a
// later pause of the host.
func (c *contender) checkValid(l *lease.Lease) bool {
	c.process.Checkpoint()
	ok := false
	recordOperation(c.history, c.id, func() (operation, bool) {
		ok = l.Valid()
		return operation{valid, l.Fencing()}, ok
	})
	return ok
}

func (c *contender) release(ctx context.Context, l *lease.Lease) {
	recordOperation(c.history, c.id, func() (operation, bool) {
		err := l.Release(ctx)
		return operation{released, l.Fencing()}, !errors.Is(err, lease.ErrLost)
	})
}

func (c *contender) sleep(maxMillis int) {
	time.Sleep(time.Duration(1+c.random.IntN(maxMillis)) * time.Millisecond)
	c.process.Checkpoint()
}
