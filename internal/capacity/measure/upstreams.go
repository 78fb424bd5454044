package measure

import (
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

func (r *run) upstreams() error {
	steps := []func() error{r.loadPolls, r.pool, r.prefixes}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// engines are bare engines on addresses of their own.
type engines struct {
	bareEngine
	listeners []net.Listener
}

func startEngines(n int) (*engines, error) {
	e := &engines{}
	e.hold = make(chan struct{})
	for range n {
		l, err := e.wire.listen()
		if err != nil {
			return nil, err
		}
		e.listeners = append(e.listeners, l)
		go e.serve(l)
	}
	return e, nil
}

func (e *engines) address(i int) string { return e.listeners[i].Addr().String() }

func (e *engines) close() {
	for _, l := range e.listeners {
		l.Close()
	}
}

// loadPolls measures questions for load reports, as entry.Host asks them.
func (r *run) loadPolls() error {
	const many = 2000
	e, err := startEngines(many)
	if err != nil {
		return err
	}
	defer e.close()
	client := upstream.NewEngine(upstream.EngineOptions{})
	defer client.Close()
	pool := balance.NewPool(balance.Options{})
	ask := func(i int) error {
		load, err := client.Load(r.ctx, upstream.Target{ID: "e", Address: e.address(i)})
		pool.Report("e", load, time.Now())
		return err
	}
	if err := ask(0); err != nil {
		return err
	}
	before := e.wire.settled()
	if err := ask(0); err != nil {
		return err
	}
	r.constant(capacity.PollBytes, unitBytes, "question and answer with one version", e.wire.settled()-before)
	next := 0
	micros, err := r.cpuPer(2000, func() error {
		next++
		return ask(next % many)
	})
	if err != nil {
		return err
	}
	r.constant(capacity.PollCPU, unitCPU, "with the reads and writes of a bare server, over 2,000 kept connections", micros)
	return r.pollMemory(e, client, ask)
}

// pollMemory compares kept connections of the client with bare ones, so that
// the server's end doesn't count.
func (r *run) pollMemory(e *engines, client *upstream.EngineClient, ask func(int) error) error {
	client.Close()
	time.Sleep(100 * time.Millisecond)
	points := []capacity.Point{}
	for _, n := range []int{100, 500, 2000} {
		before := heapAndStacks()
		var conns []*bareCaller
		for i := range n {
			c, err := dialBare(r.ctx, e.address(i))
			if err != nil {
				return err
			}
			conns = append(conns, c)
		}
		time.Sleep(50 * time.Millisecond)
		bare := heapAndStacks() - before - float64(n*bareBuffer)
		runtime.KeepAlive(conns)
		for _, c := range conns {
			c.conn.Close()
		}
		conns = nil
		time.Sleep(100 * time.Millisecond)
		before = heapAndStacks()
		for i := range n {
			if err := ask(i); err != nil {
				return err
			}
		}
		kept := heapAndStacks() - before
		client.Close()
		time.Sleep(100 * time.Millisecond)
		points = append(points, capacity.Point{X: float64(n), Y: kept - bare})
	}
	r.line(capacity.PollMemory, unitBytes, "upstreams", "heap and stacks of kept connections of the client, less those of the server's ends", points...)
	return nil
}

func hostsOf(n int) []storage.Host {
	list := make([]storage.Host, n)
	for i := range list {
		list[i] = listed(i, pools, zones)
	}
	return list
}

// pool measures the pool with the options that entry.Host gives it.
func (r *run) pool() error {
	var update, kept, choose []capacity.Point
	for _, n := range []int{21, 1000, 4000, 12_000} {
		list := hostsOf(n)
		pool := balance.NewPool(balance.Options{Host: "entry-000", Zone: "zone-00"})
		micros, err := r.cpuPer(20, func() error {
			pool.Update(list)
			return nil
		})
		if err != nil {
			return err
		}
		update = append(update, capacity.Point{X: float64(n), Y: micros})
	}
	for _, n := range []int{24, 240, 1200} {
		list := hostsOf(n)
		wide := balance.Options{Host: "entry-000", Zone: "zone-00", Subset: balance.Subset{Min: n}}
		kept = append(kept, capacity.Point{X: float64(n), Y: heapOf(func() any {
			pool := balance.NewPool(wide)
			pool.Update(list)
			report(pool, list)
			return pool
		})})
		pool := balance.NewPool(wide)
		pool.Update(list)
		report(pool, list)
		prompt := balance.PrefixHashes(string(make([]byte, 8*balance.BlockBytes)))
		request := &balance.Request{Model: "small", Version: "v1", Zone: "zone-01", SessionID: "s", PrefixHashes: prompt}
		micros, err := r.cpuPer(500, func() error {
			choice, ok := pool.Choose(request)
			if !ok || !pool.Begin(choice.Upstream.ID) {
				return fmt.Errorf("%w: no upstream among %d", ErrMeasure, n)
			}
			pool.End(choice.Upstream.ID, balance.Outcome{FirstToken: time.Second})
			return nil
		})
		if err != nil {
			return err
		}
		choose = append(choose, capacity.Point{X: float64(n), Y: micros})
	}
	r.line(capacity.UpdateCPU, unitCPU, "hosts listed", "one Update with an unchanged list", update...)
	r.line(capacity.PoolMemory, unitBytes, "upstreams in the subset", "entries, snapshots and reports", kept...)
	r.line(capacity.ChooseCPU, unitCPU, "upstreams in the subset", "Choose, Begin and End; all upstreams have the version", choose...)
	return nil
}

func report(pool *balance.Pool, list []storage.Host) {
	for _, h := range list {
		pool.Report(h.ID, upstream.Load{Running: 7, Capacity: 16, Versions: []string{"small@v1"}}, time.Now())
	}
}

func (r *run) prefixes() error {
	var points []capacity.Point
	for _, upstreams := range []int{1, 4, 16} {
		blocks := balance.DefaultIndexBlocks * upstreams
		points = append(points, capacity.Point{X: float64(blocks), Y: heapOf(func() any {
			index := balance.NewPrefixIndex(0, time.Now)
			for u := range upstreams {
				hashes := make([]uint64, balance.DefaultIndexBlocks)
				for i := range hashes {
					hashes[i] = uint64(u)<<32 + uint64(i)
				}
				index.Sent(fmt.Sprint("engine-", u), hashes)
			}
			return index
		})})
	}
	r.line(capacity.PrefixMemory, unitBytes, "blocks", "an index filled to its bound", points...)
	return nil
}
