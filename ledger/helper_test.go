package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/platform"
	"github.com/quetzalweir/quetzalweir/platform/faulty"
	"github.com/quetzalweir/quetzalweir/platform/memory"
)

var errDead = errors.New("no route to host")

// gate stands between a host and all else. A closed gate holds up every call
// until it opens, whatever its context says, as a paused process would.
type gate struct {
	platform.Table
	mu     sync.Mutex
	frozen chan struct{}
	dead   bool
}

func (g *gate) pass() error {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, errDead)
	}
	return nil
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = make(chan struct{})
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

func (g *gate) state() (frozen, dead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen != nil, g.dead
}

func (g *gate) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if err := g.pass(); err != nil {
		return 0, err
	}
	return g.Table.Commit(ctx, txn)
}

// testHost is one host of a testCluster.
type testHost struct {
	*gate
	name    string
	ledger  *Ledger
	custody *Custody
	stop    context.CancelFunc
	done    chan struct{}
}

// testCluster is a set of hosts over one table with faults.
type testCluster struct {
	table   *faulty.Table
	objects platform.Objects
	hosts   []*testHost
}

// peers is the Holder of one host: it tries the other hosts in turn.
type peers struct {
	cluster *testCluster
	self    int
	first   int
}

func (p *peers) Hold(ctx context.Context, owner string, seq uint64, bills []Bill) (string, error) {
	if err := p.cluster.hosts[p.self].pass(); err != nil {
		return "", err
	}
	for i := range len(p.cluster.hosts) - 1 {
		n := (p.self + 1 + p.first + i) % len(p.cluster.hosts)
		peer := p.cluster.hosts[n]
		if n == p.self {
			continue
		}
		frozen, dead := peer.state()
		if dead {
			continue
		}
		if frozen {
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
		if frozen, dead := peer.state(); peer.name == holder && !frozen && !dead {
			peer.custody.Drop(owner, upTo)
		}
	}
	return nil
}

// newCluster starts n hosts; stopAll ends them.
func newCluster(n int, opts Options) *testCluster {
	c := &testCluster{table: faulty.New(memory.New()), objects: memory.NewObjects()}
	for i := range n {
		h := &testHost{gate: &gate{Table: c.table}, name: fmt.Sprintf("h%d", i), done: make(chan struct{})}
		o := opts
		o.Table, o.Objects, o.Host = h.gate, c.objects, h.name
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
		sleep(ctx, 10*time.Second)
		if frozen, dead := h.state(); !frozen && !dead {
			// An error says only that the table isn't there yet.
			_ = h.custody.Sweep(ctx)
		}
	}
}

// killHost ends a host at once; nothing in its memory is seen again.
func (c *testCluster) killHost(i int) {
	c.hosts[i].kill()
	c.hosts[i].stop()
	c.hosts[i].thaw()
}

// hostDown tells the live hosts that another is down.
func (c *testCluster) hostDown(i int) {
	for _, h := range c.hosts {
		if _, dead := h.state(); !dead {
			h.ledger.HolderDown(c.hosts[i].name)
			// An error says only that the table isn't there yet.
			_ = h.custody.Settle(context.Background(), c.hosts[i].name)
		}
	}
}

func (c *testCluster) stopAll() {
	for _, h := range c.hosts {
		h.stop()
		h.thaw()
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
