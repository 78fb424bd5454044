package lease_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/pause"
	"github.com/quetzalweir/quetzalweir/lease"
	"github.com/quetzalweir/quetzalweir/platform/faulty"
	"github.com/quetzalweir/quetzalweir/platform/memory"
)

// kind is what an operation of a history does.
type kind int

const (
	// acquired is a successful Acquire.
	acquired kind = iota
	// valid is a call of Valid that returned true.
	valid
	// released is a call of Release, whatever it returned.
	released
)

// operation is one operation with its lease's fencing number.
type operation struct {
	kind    kind
	fencing uint64
}

// holder is the model's state: the fencing number of the holder, and whether
// it has released.
type holder struct {
	fencing  uint64
	released bool
}

// model says that each acquisition has a higher fencing number than those
// before it, and that a lease isn't valid after a later acquisition.
var model = porcupine.Model{
	Init: func() any { return holder{} },
	Step: func(state, input, _ any) (bool, any) {
		now, op := state.(holder), input.(operation)
		switch op.kind {
		case acquired:
			return op.fencing > now.fencing, holder{fencing: op.fencing}
		case valid:
			return op.fencing == now.fencing && !now.released, now
		default:
			if op.fencing == now.fencing {
				now.released = true
			}
			return true, now
		}
	},
}

// recorder collects a history. Its clock is a counter, as times in a synctest
// bubble are often equal.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// record calls do between the operation's call and return. The operation is
// kept if do reports true.
func (r *recorder) record(client int, do func() (operation, bool)) {
	call := r.clock.Add(1)
	op, ok := do()
	back := r.clock.Add(1)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Return: back})
}

func TestModelRejectsBadHistories(t *testing.T) {
	at := func(client int, k kind, fencing uint64, call, back int64) porcupine.Operation {
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
		{"fencing number falls", []porcupine.Operation{
			at(0, acquired, 2, 1, 2), at(1, acquired, 1, 3, 4),
		}, false},
		{"valid after release", []porcupine.Operation{
			at(0, acquired, 1, 1, 2), at(0, released, 1, 3, 4), at(0, valid, 1, 5, 6),
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is.New(t).Equal(porcupine.CheckOperations(model, tt.history), tt.want)
		})
	}
}

// TestHistories lets four hosts contend while the table fails and hosts are
// paused, and checks the history of each seed.
func TestHistories(t *testing.T) {
	const seeds = 100
	var acquisitions, checks int
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ops := runHistory(t, seed)
			if !porcupine.CheckOperations(model, ops) {
				t.Errorf("seed %d: two holders at a time", seed)
			}
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
	is.New(t).True(acquisitions > seeds) // the lease changed hands
	t.Logf("%d histories, %d acquisitions, %d times valid", seeds, acquisitions, checks)
}

func runHistory(t *testing.T, seed uint64) []porcupine.Operation {
	const hosts, length = 4, 2 * time.Minute
	table := faulty.New(memory.New())
	rec := &recorder{}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	processes := make([]*pause.Process, hosts)
	var wg sync.WaitGroup
	for i := range processes {
		processes[i] = pause.New()
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		c := &contender{rec: rec, id: i, process: processes[i], random: random}
		c.manager = lease.New(lease.Options{Table: processes[i].Table(table)})
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
	return rec.ops
}

func injectFault(table *faulty.Table, process *pause.Process, random *rand.Rand) {
	few := 1 + random.IntN(4)
	switch random.IntN(8) {
	case 0:
		table.SetDown(true)
	case 1:
		table.SetDelay(time.Duration(random.IntN(8000)) * time.Millisecond)
	case 2:
		table.LoseNext(few)
	case 3:
		table.DropNext(few)
	case 4:
		table.DelayNext(few, time.Duration(random.IntN(15000))*time.Millisecond)
	case 5:
		process.Pause()
	case 6:
		process.Resume()
	default:
		table.Heal()
	}
}

// contender is a host that wants the lease again and again.
type contender struct {
	rec     *recorder
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
	c.rec.record(c.id, func() (operation, bool) {
		got, err := c.manager.Acquire(ctx, name, "host", ttl)
		if err != nil {
			return operation{}, false
		}
		l = got
		return operation{acquired, l.Fencing()}, true
	})
	return l
}

// hold keeps the lease until it lapses or, in one of three cases, releases it
// after a while.
func (c *contender) hold(ctx context.Context, l *lease.Lease) {
	keep, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = l.Keep(keep) }()
	for ctx.Err() == nil && c.check(l) {
		c.sleep(1500)
		if c.random.IntN(15) == 0 {
			c.release(ctx, l)
			return
		}
	}
}

// check records a use of the lease: its time lies within the call of Valid, so
// a pause between the check and what follows isn't part of it.
func (c *contender) check(l *lease.Lease) bool {
	c.process.Step()
	ok := false
	c.rec.record(c.id, func() (operation, bool) {
		ok = l.Valid()
		return operation{valid, l.Fencing()}, ok
	})
	return ok
}

func (c *contender) release(ctx context.Context, l *lease.Lease) {
	c.rec.record(c.id, func() (operation, bool) {
		err := l.Release(ctx)
		return operation{released, l.Fencing()}, !errors.Is(err, lease.ErrLost)
	})
}

func (c *contender) sleep(most int) {
	time.Sleep(time.Duration(1+c.random.IntN(most)) * time.Millisecond)
	c.process.Step()
}
