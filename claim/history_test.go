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
	historyHosts             = 4
	historyKeys              = 3
	historyClients           = 6
	historyRequestsPerClient = 5
)

// historyTotals counts events over a set of histories. acquireResults counts the
// results of Acquire by their names from describeAcquire.
type historyTotals struct {
	historyCount, runCount, killedHostCount int
	acquireResults                          map[string]int
}

// TestHistories sends requests with a few keys to several hosts, while the table has
// faults and hosts are paused and killed, and checks the history of each key against
// the model. It runs with and without a group committer on each host.
func TestHistories(t *testing.T) {
	const seeds = 100
	for _, grouped := range []bool{false, true} {
		t.Run(fmt.Sprintf("grouped=%v", grouped), func(t *testing.T) {
			total := &historyTotals{acquireResults: make(map[string]int)}
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					newSimulation(seed, grouped).run(t, total)
				})
			}
			for _, result := range []string{"claimed", "done", "in flight", "may have run", "unavailable"} {
				is.New(t).True(total.acquireResults[result] > 0) // each result occurred
			}
			t.Logf("%+v", *total)
		})
	}
}

// simulation runs the hosts, clients and faults of one seed.
type simulation struct {
	seed      uint64
	table     *faulty.Table
	hosts     []*host
	dead      *deadHosts
	recorders []*recorder
	running   sync.WaitGroup
}

// host is one process and its store.
type host struct {
	process   *pause.Process
	store     *claim.Store
	committer *groupcommit.Committer
}

// deadHosts is a Liveness that reports those hosts as dead that the test has marked with
// set.
type deadHosts struct {
	mu    sync.Mutex
	hosts map[string]bool
}

func newDeadHosts() *deadHosts { return &deadHosts{hosts: make(map[string]bool)} }

func (d *deadHosts) MayBeRunning(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.hosts[host]
}

// set sets whether a host is reported as dead. A host that is only paused may be
// reported as dead, too.
func (d *deadHosts) set(host string, dead bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts[host] = dead
}

func newSimulation(seed uint64, grouped bool) *simulation {
	s := &simulation{
		seed:  seed,
		table: faulty.NewTable(memory.NewTable()),
		dead:  newDeadHosts(),
	}
	for i := range historyHosts {
		s.hosts = append(s.hosts, s.newHost(i, grouped))
	}
	for range historyKeys {
		s.recorders = append(s.recorders, newRecorder())
	}
	return s
}

func (s *simulation) newHost(i int, grouped bool) *host {
	h := &host{process: pause.NewProcess()}
	table := h.process.Table(s.table)
	if grouped {
		h.committer = groupcommit.New(table, groupcommit.Options{})
		table = h.process.Table(h.committer)
	}
	h.store = claim.NewStore(claim.Options{
		Table:       table,
		Objects:     memory.NewObjects(),
		Host:        hostName(i),
		Liveness:    s.dead,
		InlineBytes: math.MaxInt32,
	})
	return h
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func (s *simulation) run(t *testing.T, total *historyTotals) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, h := range s.hosts {
		s.running.Go(func() { _ = h.store.Run(ctx) })
	}
	var clients sync.WaitGroup
	for i := range historyClients {
		clients.Go(func() { s.client(i) })
	}
	finished := make(chan struct{})
	go func() { clients.Wait(); close(finished) }()
	s.injectFaults(finished, total)
	s.flushAndVerify(t)
	cancel()
	s.running.Wait()
	s.check(t, total)
}

// injectFaults injects faults until the clients have finished.
func (s *simulation) injectFaults(finished chan struct{}, total *historyTotals) {
	random := rand.New(rand.NewPCG(s.seed, 1000))
	for {
		i := random.IntN(historyHosts)
		s.injectFault(i, random, total)
		select {
		case <-finished:
			return
		case <-time.After(time.Duration(random.IntN(400)) * time.Millisecond):
		}
	}
}

func (s *simulation) injectFault(i int, random *rand.Rand, total *historyTotals) {
	process := s.hosts[i].process
	switch random.IntN(12) {
	case 0:
		process.Pause()
		s.dead.set(hostName(i), random.IntN(2) == 0) // half of the paused hosts are reported as dead
	case 1, 2:
		process.Resume()
		s.dead.set(hostName(i), process.Killed())
	case 3:
		if i == 0 && !process.Killed() { // only host 0 is killed, so that the others finish
			process.Kill()
			s.dead.set(hostName(i), true)
			total.killedHostCount++
		}
	default:
		s.table.SetRandomFault(random, faulty.Bounds{Commits: 5, Delay: 1500 * time.Millisecond, Late: 3 * time.Second})
	}
}

// flushAndVerify ends the faults, flushes the outcomes on the hosts that weren't
// killed, and sends one more request per key, whose result the model checks.
func (s *simulation) flushAndVerify(t *testing.T) {
	s.table.ClearFaults()
	for i, h := range s.hosts {
		h.process.Resume()
		if h.process.Killed() {
			continue
		}
		s.dead.set(hostName(i), false)
		if err := h.store.Flush(t.Context()); err != nil {
			t.Errorf("flush: %v", err)
		}
		s.recordFlush(i)
	}
	time.Sleep(10 * time.Second) // late commits are applied
	for key := range s.recorders {
		s.request(historyHosts-1, key, "last", historyClients, nil)
	}
	for _, h := range s.hosts {
		if h.committer != nil {
			_ = h.committer.Close()
		}
	}
}

// recordFlush adds a flush operation to the history for each request that arrived at
// host i: the request's outcome is in the table now.
func (s *simulation) recordFlush(i int) {
	for _, rec := range s.recorders {
		for request, arrivalHost := range rec.hosts {
			if arrivalHost == i {
				rec.addEnded(historyClients, rec.Tick(), operation{action: actFlush, request: request})
			}
		}
	}
}

func (s *simulation) check(t *testing.T, total *historyTotals) {
	total.historyCount += len(s.recorders)
	for key, rec := range s.recorders {
		history := rec.history()
		storagetest.CheckModel(t, fmt.Sprintf("seed %d, key %d", s.seed, key), model, history)
		if rec.runs > 1 {
			t.Errorf("seed %d, key %d: ran %d times", s.seed, key, rec.runs)
		}
		total.runCount += rec.runs
		for _, op := range history {
			if result := op.Input.(operation).result; result != "" {
				total.acquireResults[result]++
			}
		}
	}
}

// client sends requests with random keys to random hosts, one after the other. Each
// request has its own goroutine, which exits if the host is killed.
func (s *simulation) client(id int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(id)))
	for n := range historyRequestsPerClient {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		host, key := random.IntN(historyHosts), random.IntN(historyKeys)
		request := fmt.Sprintf("%d-%d", id, n)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.request(host, key, request, id*historyRequestsPerClient+n, random)
		}()
		<-ended
	}
}

// request handles one request on a host: it claims the key, runs the request and
// records the outcome. client is the client's number in the history. With a nil
// random, the request only claims the key.
func (s *simulation) request(host, key int, request string, client int, random *rand.Rand) {
	rec, h := s.recorders[key], s.hosts[host]
	rec.registerRequest(request, host)
	h.process.Checkpoint()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	call := rec.Tick()
	c, err := h.store.Acquire(ctx, claim.Key{Account: "a", RequestKey: fmt.Sprint(key)}, testDigest, request)
	h.process.Checkpoint()
	if err == nil {
		rec.setStaleRow(request, false)
	}
	rec.addEnded(client, call, acquireOperation(request, err))
	if c != nil && random != nil {
		s.runClaimed(ctx, c, claimedRequest{recorder: rec, process: h.process, request: request, client: client, random: random})
	}
}

func acquireOperation(request string, err error) operation {
	op := operation{action: actAcquire, request: request, result: describeAcquire(err)}
	var done *claim.DoneError
	var inFlight *claim.InFlightError
	var mayHaveRun *claim.MayHaveRunError
	switch {
	case errors.As(err, &done):
		op.resultRequest, op.body = done.Result.RequestID, done.Result.Body
	case errors.As(err, &inFlight):
		op.resultRequest = inFlight.RequestID
	case errors.As(err, &mayHaveRun):
		op.resultRequest = mayHaveRun.RequestID
	}
	return op
}

// claimedRequest is a request whose claim was acquired.
type claimedRequest struct {
	recorder *recorder
	process  *pause.Process
	request  string
	client   int
	random   *rand.Rand
}

func (s *simulation) runClaimed(ctx context.Context, c *claim.Claim, r claimedRequest) {
	if r.random.IntN(4) == 0 {
		r.recordOutcome(ctx, operation{action: actRelease}, c.Release)
		return
	}
	time.Sleep(time.Duration(r.random.IntN(500)) * time.Millisecond)
	r.process.Checkpoint()
	r.recorder.addEnded(r.client, r.recorder.Tick(), operation{action: actRun, request: r.request})
	time.Sleep(time.Duration(r.random.IntN(500)) * time.Millisecond)
	r.process.Checkpoint()
	if r.random.IntN(3) == 0 {
		r.recordOutcome(ctx, operation{action: actMayHaveRun}, c.MayHaveRun)
		return
	}
	body := []byte("response to " + r.request)
	r.recordOutcome(ctx, operation{action: actFinish, body: body}, func(ctx context.Context) error {
		return c.Finish(ctx, claim.Result{RequestID: r.request, Body: body})
	})
}

// recordOutcome sets the outcome of a claim by calling do and adds op to the history.
// If the host is killed in the meantime, the outcome may or may not be in the table,
// and the operation has no end.
func (r claimedRequest) recordOutcome(ctx context.Context, op operation, do func(context.Context) error) {
	op.request = r.request
	op.pending = true
	call, back := r.recorder.Tick(), int64(math.MaxInt64)
	defer func() {
		if op.pending && op.action == actRelease {
			r.recorder.setStaleRow(r.request, true)
		}
		r.recorder.add(r.client, call, back, op)
		if !op.pending && op.action != actRelease {
			r.recorder.add(r.client, call, back, operation{action: actRecord, request: r.request})
		}
	}()
	err := do(ctx)
	r.process.Checkpoint()
	op.pending = err != nil
	back = r.recorder.Tick()
}
