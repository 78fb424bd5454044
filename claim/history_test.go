package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/internal/pause"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/groupcommit"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

const (
	historyHosts   = 4
	historyKeys    = 3
	historyClients = 6
	historyRepeats = 5
)

// tally sums up what a set of histories went through.
type tally struct {
	histories, runs, killed int
	told                    map[string]int
}

// TestHistories repeats a few keys at several hosts while the table fails and
// hosts are paused and killed, and checks each key's history. Once with a
// group committer on each host, once without.
func TestHistories(t *testing.T) {
	const seeds = 100
	for _, grouped := range []bool{false, true} {
		t.Run(fmt.Sprintf("grouped=%v", grouped), func(t *testing.T) {
			total := &tally{told: make(map[string]int)}
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					newBench(seed, grouped).run(t, total)
				})
			}
			for _, told := range []string{"claimed", "done", "in flight", "may have run", "unavailable"} {
				is.New(t).True(total.told[told] > 0) // each answer was met
			}
			t.Logf("%+v", *total)
		})
	}
}

// bench is the set of hosts of one history.
type bench struct {
	seed    uint64
	table   *faulty.Table
	hosts   []*host
	gone    *goneHosts
	keys    []*recorder
	running sync.WaitGroup
}

// host is one process with its store.
type host struct {
	process   *pause.Process
	store     *claim.Store
	committer *groupcommit.Committer
}

// goneHosts is a Liveness that learns of deaths at any time after them.
type goneHosts struct {
	mu    sync.Mutex
	hosts map[string]bool
}

func newGoneHosts() *goneHosts { return &goneHosts{hosts: make(map[string]bool)} }

func (g *goneHosts) Alive(host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.hosts[host]
}

// set may also be called with a host that is only paused.
func (g *goneHosts) set(host string, isGone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts[host] = isGone
}

func newBench(seed uint64, grouped bool) *bench {
	b := &bench{
		seed:  seed,
		table: faulty.New(memory.New()),
		gone:  newGoneHosts(),
	}
	for i := range historyHosts {
		b.hosts = append(b.hosts, b.newHost(i, grouped))
	}
	for range historyKeys {
		b.keys = append(b.keys, newRecorder())
	}
	return b
}

func (b *bench) newHost(i int, grouped bool) *host {
	h := &host{process: pause.New()}
	table := h.process.Table(b.table)
	if grouped {
		h.committer = groupcommit.New(table, groupcommit.Options{})
		table = h.process.Table(h.committer)
	}
	h.store = claim.New(claim.Options{
		Table:       table,
		Objects:     memory.NewObjects(),
		Host:        hostName(i),
		Alive:       b.gone,
		InlineBytes: math.MaxInt32,
	})
	return h
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func (b *bench) run(t *testing.T, total *tally) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, h := range b.hosts {
		b.running.Go(func() { _ = h.store.Run(ctx) })
	}
	var clients sync.WaitGroup
	for i := range historyClients {
		clients.Go(func() { b.client(i) })
	}
	finished := make(chan struct{})
	go func() { clients.Wait(); close(finished) }()
	b.injectFaults(finished, total)
	b.settle(t)
	cancel()
	b.running.Wait()
	b.check(t, total)
}

// injectFaults goes on until the clients have finished.
func (b *bench) injectFaults(finished chan struct{}, total *tally) {
	random := rand.New(rand.NewPCG(b.seed, 1000))
	for {
		i := random.IntN(historyHosts)
		b.injectFault(i, random, total)
		select {
		case <-finished:
			return
		case <-time.After(time.Duration(random.IntN(400)) * time.Millisecond):
		}
	}
}

func (b *bench) injectFault(i int, random *rand.Rand, total *tally) {
	process := b.hosts[i].process
	switch random.IntN(12) {
	case 0:
		process.Pause()
		b.gone.set(hostName(i), random.IntN(2) == 0) // taken for dead, perhaps
	case 1, 2:
		process.Resume()
		b.gone.set(hostName(i), process.Killed())
	case 3:
		if i == 0 && !process.Killed() { // host 0 only, so that most survive
			process.Kill()
			b.gone.set(hostName(i), true)
			total.killed++
		}
	default:
		b.table.SetRandom(random, faulty.Bounds{Commits: 5, Delay: 1500 * time.Millisecond, Late: 3 * time.Second})
	}
}

// settle lets the living hosts record their outcomes and asks once more for
// each key.
func (b *bench) settle(t *testing.T) {
	b.table.Heal()
	for i, h := range b.hosts {
		h.process.Resume()
		if h.process.Killed() {
			continue
		}
		b.gone.set(hostName(i), false)
		if err := h.store.Flush(t.Context()); err != nil {
			t.Errorf("flush: %v", err)
		}
		b.noteFlush(i)
	}
	time.Sleep(10 * time.Second) // late commits arrive
	for key := range b.keys {
		b.request(historyHosts-1, key, "last", historyClients, nil)
	}
	for _, h := range b.hosts {
		if h.committer != nil {
			_ = h.committer.Close()
		}
	}
}

// noteFlush records that the outcomes of a host's requests are in the table.
func (b *bench) noteFlush(i int) {
	for _, rec := range b.keys {
		for request, at := range rec.hosts {
			if at == i {
				rec.end(historyClients, rec.Tick(), operation{action: actFlush, request: request})
			}
		}
	}
}

func (b *bench) check(t *testing.T, total *tally) {
	total.histories += len(b.keys)
	for key, rec := range b.keys {
		history := rec.history()
		storagetest.CheckModel(t, fmt.Sprintf("seed %d, key %d", b.seed, key), model, history)
		if rec.runs > 1 {
			t.Errorf("seed %d, key %d: ran %d times", b.seed, key, rec.runs)
		}
		total.runs += rec.runs
		for _, op := range history {
			if told := op.Input.(operation).told; told != "" {
				total.told[told]++
			}
		}
	}
}

// client sends keyed requests to random hosts. A request that dies with its
// host takes only its own goroutine along.
func (b *bench) client(id int) {
	random := rand.New(rand.NewPCG(b.seed, uint64(id)))
	for n := range historyRepeats {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		host, key := random.IntN(historyHosts), random.IntN(historyKeys)
		request := fmt.Sprintf("%d-%d", id, n)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			b.request(host, key, request, id*historyRepeats+n, random)
		}()
		<-ended
	}
}

// request is one request at a host: claim, run, record the outcome.
func (b *bench) request(host, key int, request string, client int, random *rand.Rand) {
	rec, h := b.keys[key], b.hosts[host]
	rec.arrive(request, host)
	h.process.Step()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	call := rec.Tick()
	c, err := h.store.Acquire(ctx, claim.Key{Account: "a", RequestKey: fmt.Sprint(key)}, testDigest, request)
	h.process.Step()
	if err == nil {
		rec.setGhost(request, false)
	}
	rec.end(client, call, acquireOperation(request, err))
	if c != nil && random != nil {
		b.work(ctx, c, work{rec: rec, process: h.process, request: request, client: client, random: random})
	}
}

func acquireOperation(request string, err error) operation {
	op := operation{action: actAcquire, request: request, told: describe(err)}
	var done *claim.DoneError
	var inFlight *claim.InFlightError
	var mayHaveRun *claim.MayHaveRunError
	switch {
	case errors.As(err, &done):
		op.about, op.body = done.Result.RequestID, done.Result.Body
	case errors.As(err, &inFlight):
		op.about = inFlight.RequestID
	case errors.As(err, &mayHaveRun):
		op.about = mayHaveRun.RequestID
	}
	return op
}

// work is a request that got its claim.
type work struct {
	rec     *recorder
	process *pause.Process
	request string
	client  int
	random  *rand.Rand
}

func (b *bench) work(ctx context.Context, c *claim.Claim, w work) {
	if w.random.IntN(4) == 0 {
		w.end(ctx, operation{action: actRelease}, c.Release)
		return
	}
	time.Sleep(time.Duration(w.random.IntN(500)) * time.Millisecond)
	w.process.Step()
	w.rec.end(w.client, w.rec.Tick(), operation{action: actRun, request: w.request})
	time.Sleep(time.Duration(w.random.IntN(500)) * time.Millisecond)
	w.process.Step()
	if w.random.IntN(3) == 0 {
		w.end(ctx, operation{action: actMayHaveRun}, c.MayHaveRun)
		return
	}
	body := []byte("answer to " + w.request)
	w.end(ctx, operation{action: actFinish, body: body}, func(ctx context.Context) error {
		return c.Finish(ctx, claim.Result{RequestID: w.request, Body: body})
	})
}

// end records an outcome. If the host dies meanwhile, the outcome may be in
// the table or not, and the operation stays open.
func (w work) end(ctx context.Context, op operation, do func(context.Context) error) {
	op.request = w.request
	op.pending = true
	call, back := w.rec.Tick(), int64(math.MaxInt64)
	defer func() {
		if op.pending && op.action == actRelease {
			w.rec.setGhost(w.request, true)
		}
		w.rec.add(w.client, call, back, op)
		if !op.pending && op.action != actRelease {
			w.rec.add(w.client, call, back, operation{action: actRecord, request: w.request})
		}
	}()
	err := do(ctx)
	w.process.Step()
	op.pending = err != nil
	back = w.rec.Tick()
}
