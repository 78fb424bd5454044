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

var errDead = errors.New("no route to host")

// testHost is one host of a testCluster.
type testHost struct {
	*pause.Process
	name    string
	ledger  *Ledger
	custody *Custody
	stop    context.CancelFunc
	done    chan struct{}
}

// testCluster is a set of hosts over one table with faults.
type testCluster struct {
	table   *faulty.Table
	objects storage.Objects
	hosts   []*testHost
}

// peers is the Holder of one host: it tries the other hosts in turn.
type peers struct {
	cluster *testCluster
	self    int
	first   int
}

func (p *peers) Hold(ctx context.Context, owner string, seq uint64, bills []Bill) (string, error) {
	if err := p.cluster.hosts[p.self].WaitWhilePaused(); err != nil {
		return "", err
	}
	for i := range len(p.cluster.hosts) - 1 {
		n := (p.self + 1 + p.first + i) % len(p.cluster.hosts)
		peer := p.cluster.hosts[n]
		if n == p.self {
			continue
		}
		if peer.Killed() {
			continue
		}
		if peer.Paused() {
			<-ctx.Done()
			p.first++
			return peer.name, ctx.Err()
		}
		return peer.name, peer.custody.Hold(owner, seq, bills)
	}
	return "", errDead
}

func (p *peers) Drop(_ context.Context, holder, owner string, upTo uint64) error {
	for _, peer := range p.cluster.hosts {
		if peer.name == holder && peer.up() {
			peer.custody.Drop(owner, upTo)
		}
	}
	return nil
}

// newCluster starts n hosts; stopAll ends them.
func newCluster(n int, opts Options) *testCluster {
	c := &testCluster{table: faulty.New(memory.New()), objects: memory.NewObjects()}
	for i := range n {
		h := &testHost{Process: pause.New(), name: fmt.Sprintf("h%d", i), done: make(chan struct{})}
		o := opts
		o.Table, o.Objects, o.Host = h.TableFailingAfterKill(c.table), c.objects, h.name
		if n > 1 {
			o.Holders = &peers{cluster: c, self: i}
		}
		h.ledger = New(o)
		h.custody = NewCustody(h.ledger, CustodyOptions{})
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		h.start()
	}
	return c
}

func (h *testHost) up() bool { return !h.Paused() && !h.Killed() }

func (h *testHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go h.sweep(ctx)
	go func() {
		defer close(h.done)
		_ = h.ledger.Run(ctx)
	}()
}

// sweep looks for copies whose owner is gone, as a host does.
func (h *testHost) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait.For(ctx, 10*time.Second)
		if h.up() {
			// An error says only that the table isn't there yet.
			_ = h.custody.Sweep(ctx)
		}
	}
}

// killHost ends a host at once; nothing in its memory is seen again.
func (c *testCluster) killHost(i int) {
	c.hosts[i].Kill()
	c.hosts[i].stop()
}

// hostDown tells the live hosts that another is down.
func (c *testCluster) hostDown(i int) {
	for _, h := range c.hosts {
		if !h.Killed() {
			h.ledger.HolderDown(c.hosts[i].name)
			// An error says only that the table isn't there yet.
			_ = h.custody.Settle(context.Background(), c.hosts[i].name)
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

// all reads the ledger by ID.
func (c *testCluster) all(t rapid.TB) map[string]Bill {
	t.Helper()
	list := make(map[string]Bill)
	for b, err := range Read(context.Background(), c.table, c.objects, Query{}) {
		if err != nil {
			t.Fatal(err)
		}
		if _, twice := list[b.ID]; twice {
			t.Fatalf("%s is read twice", b.ID)
		}
		list[b.ID] = b
	}
	return list
}

// testBill is a bill like that of a usual request.
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
