package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/internal/pause"
	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

var errUnreachable = errors.New("no route to host")

// testHost is one host of a testCluster.
type testHost struct {
	*pause.Process
	name   string
	ledger *Ledger
	copies *CopyStore
	stop   context.CancelFunc
	done   chan struct{}
}

// testCluster is a set of hosts that share one table in which faults can be
// injected.
type testCluster struct {
	table   *faulty.Table
	objects storage.Objects
	hosts   []*testHost
}

// testReplicator is the Replicator of one host. It sends to the other hosts in turn.
type testReplicator struct {
	cluster *testCluster
	self    int
	offset  int
}

func (p *testReplicator) Replicate(ctx context.Context, owner string, seq uint64, bills []Bill) (string, error) {
	if err := p.cluster.hosts[p.self].WaitWhilePaused(); err != nil {
		return "", err
	}
	for i := range len(p.cluster.hosts) - 1 {
		n := (p.self + 1 + p.offset + i) % len(p.cluster.hosts)
		peer := p.cluster.hosts[n]
		if n == p.self {
			continue
		}
		if peer.Killed() {
			continue
		}
		if peer.Paused() {
			<-ctx.Done()
			p.offset++
			return peer.name, ctx.Err()
		}
		return peer.name, peer.copies.Store(owner, seq, bills)
	}
	return "", errUnreachable
}

func (p *testReplicator) Release(_ context.Context, holder, owner string, upTo uint64) error {
	for _, peer := range p.cluster.hosts {
		if peer.name == holder && peer.running() {
			peer.copies.Release(owner, upTo)
		}
	}
	return nil
}

// newCluster starts n hosts; stopAll stops them.
func newCluster(n int, opts Options) *testCluster {
	c := &testCluster{table: faulty.NewTable(memory.NewTable()), objects: memory.NewObjects()}
	for i := range n {
		h := &testHost{Process: pause.NewProcess(), name: fmt.Sprintf("h%d", i), done: make(chan struct{})}
		o := opts
		o.Table, o.Objects, o.Host = h.TableFailingAfterKill(c.table), c.objects, h.name
		if n > 1 {
			o.Replicator = &testReplicator{cluster: c, self: i}
		}
		h.ledger = New(o)
		h.copies = NewCopyStore(h.ledger, CopyStoreOptions{})
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		h.start()
	}
	return c
}

func (h *testHost) running() bool { return !h.Paused() && !h.Killed() }

func (h *testHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go h.sweepLoop(ctx)
	go func() {
		defer close(h.done)
		_ = h.ledger.Run(ctx)
	}()
}

// sweepLoop calls CopyStore.Sweep periodically, as a host does.
func (h *testHost) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait.For(ctx, 10*time.Second)
		if h.running() {
			// An error means only that the table is still unavailable.
			_ = h.copies.Sweep(ctx)
		}
	}
}

// killHost ends a host at once; the contents of its memory are lost.
func (c *testCluster) killHost(i int) {
	c.hosts[i].Kill()
	c.hosts[i].stop()
}

// reportHostDown reports a host as down to all hosts that weren't killed.
func (c *testCluster) reportHostDown(i int) {
	for _, h := range c.hosts {
		if !h.Killed() {
			h.ledger.PeerDown(c.hosts[i].name)
			// An error means only that the table is still unavailable.
			_ = h.copies.TakeOver(context.Background(), c.hosts[i].name)
		}
	}
}

func (c *testCluster) stopAll() {
	for _, h := range c.hosts {
		h.stop()
		h.Resume()
		<-h.done
	}
}

// readAll returns all bills in the table by ID.
func (c *testCluster) readAll(t rapid.TB) map[string]Bill {
	t.Helper()
	list := make(map[string]Bill)
	for b, err := range Read(context.Background(), c.table, c.objects, Query{}) {
		if err != nil {
			t.Fatal(err)
		}
		if _, duplicate := list[b.ID]; duplicate {
			t.Fatalf("%s is read twice", b.ID)
		}
		list[b.ID] = b
	}
	return list
}

// testBill returns a bill with the values of a typical request.
func testBill(id string) Bill {
	return Bill{
		ID:        "valley-auction/" + id,
		Account:   "valley-auction",
		RequestID: id,
		Model:     "lane-report",
		Version:   "2026-11",
		Upstream:  "engine-07",
		Class:     "reports",
		Epoch:     41,
		RunState:  "ran",
		Attempts:  1,
		Steps: []Step{{
			Model: "lane-report", Version: "2026-11", Upstream: "engine-07",
			PromptTokens: 812, CompletionTokens: 301, CostMicro: 1415,
		}},
		PromptTokens:     812,
		CompletionTokens: 301,
		CostMicro:        1415,
		At:               time.Now().Round(0).UTC(),
	}
}
