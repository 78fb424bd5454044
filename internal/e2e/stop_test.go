package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/latebody"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// balancer picks among the hosts that were ready at its last check. Like the
// platform's balancer, it still picks a host for a while after the host stopped
// being ready.
type balancer struct {
	mu        sync.Mutex
	ready     []*entryHost
	pickCount int
}

// balancerInterval is the time between the balancer's readiness checks. The setting
// QUETZALWEIR_BALANCER_LAG of the hosts is longer.
const balancerInterval = 100 * time.Millisecond

func (b *balancer) run(ctx context.Context, hosts func() []*entryHost) {
	for ctx.Err() == nil {
		var ready []*entryHost
		for _, h := range hosts() {
			if isReady(h) {
				ready = append(ready, h)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(balancerInterval)
	}
}

// startBalancer starts a balancer for all hosts of the system, which runs until the
// test ends. Changes of the returned fleet change the balancer's hosts.
func (s *system) startBalancer() (*fleet, *balancer) {
	s.t.Helper()
	f := &fleet{hosts: append([]*entryHost(nil), s.hosts...)}
	b := new(balancer)
	go b.run(s.t.Context(), f.list)
	eventually(s.t, "the balancer has a ready host", func() bool { return b.pick() != nil })
	return f, b
}

func isReady(h *entryHost) bool {
	resp, err := client.Get("http://" + h.operatorAddr + entry.PathReady)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) pick() *entryHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.pickCount++
	return b.ready[b.pickCount%len(b.ready)]
}

// TestRollingRestartOfAllHosts replaces every host, one after the other, under a load
// with long streams. No request may fail and no bill may be lost.
func TestRollingRestartOfAllHosts(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	head := s.submit(devenv.Manifest())
	fleet, b := s.startBalancer()
	load := startLoad(t, b)
	for i := range 3 {
		old := fleet.list()[0]
		fleet.add(s.addHost(fmt.Sprintf("entry-new-%d", i+1), zone(i)))
		eventually(t, "the new host is ready", func() bool { return isReady(fleet.last()) })
		load.waitForAnswers(20)
		is.NoErr(old.terminate()) // exits with 0: no request was broken off and no bill is unwritten
		fleet.remove(old)
		load.waitForAnswers(20)
	}
	s.checkBills(fleet.last(), head.Epoch, load.stop())
}

// fleet is a list of the hosts in service. It is safe for concurrent use.
type fleet struct {
	mu    sync.Mutex
	hosts []*entryHost
}

func (f *fleet) list() []*entryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*entryHost(nil), f.hosts...)
}

func (f *fleet) last() *entryHost {
	list := f.list()
	return list[len(list)-1]
}

func (f *fleet) add(h *entryHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, h)
}

func (f *fleet) remove(h *entryHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		if f.hosts[i] == h {
			f.hosts = append(f.hosts[:i:i], f.hosts[i+1:]...)
			return
		}
	}
}

// load runs concurrent callers that send one request after the other without a
// pause, and collects their answers.
type load struct {
	t       *testing.T
	stopped atomic.Bool
	wait    sync.WaitGroup
	mu      sync.Mutex
	answers map[string]answer
}

// loadCallers is the number of concurrent callers of a load.
const loadCallers = 8

// startLoad starts callers that send chats of about 200 ms, half of them streamed,
// through the balancer. Every request must get a complete answer.
func startLoad(t *testing.T, b *balancer) *load {
	l := &load{t: t, answers: map[string]answer{}}
	for c := range loadCallers {
		l.wait.Go(func() {
			for i := 0; !l.stopped.Load(); i++ {
				l.sendOne(b, fmt.Sprintf("caller %d request %d tokens=200", c, i), i%2 == 0)
			}
		})
	}
	return l
}

func (l *load) sendOne(b *balancer, prompt string, stream bool) {
	h := b.pick()
	if h == nil {
		time.Sleep(balancerInterval)
		return
	}
	a, err := chat("large", prompt, stream).send(h)
	if err != nil {
		l.t.Errorf("%s on %s: %v", prompt, h.id, err)
		return
	}
	checkChat(l.t, a, "large", prompt)
	l.add(a)
}

func (l *load) add(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[a.get("Quetzalweir-Request-Id")] = a
}

// waitForAnswers waits for n further answers.
func (l *load) waitForAnswers(n int) {
	l.t.Helper()
	want := l.count() + n
	eventually(l.t, "further answers", func() bool { return l.count() >= want })
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

func (l *load) stop() map[string]answer {
	l.stopped.Store(true)
	l.wait.Wait()
	return l.answers
}

// checkBills checks that the ledger has one bill for each complete answer, and no bill
// with a cost for any other request.
func (s *system) checkBills(h *entryHost, epoch uint64, answers map[string]answer) {
	s.t.Helper()
	var trace entry.EpochTrace
	missing := func() int {
		n := len(answers)
		for _, bill := range trace.Bills {
			if _, ok := answers[bill.RequestID]; ok {
				n--
			}
		}
		return n
	}
	eventually(s.t, "all answers are billed", func() bool {
		err := s.operatorGet(h, fmt.Sprintf("/v1/trace/epochs/%d", epoch), &trace)
		return err == nil && missing() <= 0
	})
	seen := map[string]bool{}
	for _, bill := range trace.Bills {
		if seen[bill.RequestID] {
			s.t.Errorf("request %s is billed twice", bill.RequestID)
		}
		seen[bill.RequestID] = true
		if _, ok := answers[bill.RequestID]; !ok && bill.CostMicro > 0 {
			s.t.Errorf("bill of %d for request %s, which got no complete answer", bill.CostMicro, bill.RequestID)
		}
	}
}

// TestSecondSignalForcesStop sends a host two SIGTERM signals during a stream that
// would take minutes and has begun. The host must log how many requests it broke off and
// exit with an error. The caller must get an incomplete answer and must not be charged.
func TestSecondSignalForcesStop(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2)
	head := s.submit(devenv.Manifest())
	h := s.hosts[0]
	began, ended := make(chan int, 1), make(chan error, 1)
	c := chat("large", "long tokens=200000", true).withDeadline(10 * time.Minute)
	c.onHead = func(status int) { began <- status }
	go func() {
		_, err := c.send(h)
		ended <- err
	}()
	select {
	case status := <-began:
		is.Equal(status, http.StatusOK)
	case err := <-ended:
		t.Fatalf("the stream ended before it began: %v", err)
	}
	is.Equal(s.runsOf("large@v1"), 1)
	h.signal(syscall.SIGTERM)
	is.Equal(h.waitForField("event=stopping", "event="), "stopping")
	h.signal(syscall.SIGTERM)
	<-h.done
	is.True(h.err != nil)                                   // not a clean stop
	is.Equal(h.waitForField("event=cut", "requests="), "1") // and the host logs it
	is.True(<-ended != nil)                                 // the incomplete answer must not look complete
	s.checkBills(s.hosts[1], head.Epoch, nil)
}

// A request that came late in a planned stop was sent, and its caller's connection closed without an answer at the end.
// Callers are told that it didn't run, or that it may have run if it was sent before.
func TestRequestsLateInAPlannedStopOfServeAreAnswered(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1)
	h := s.addHost("entry-stops", zone(1), "--stop-timeout=2s", "--balancer-lag=500ms")
	s.submit(devenv.Manifest())
	s.setServiceFaults(service.Faults{SlowMs: 1200})
	for i := range 3 { // the usual time becomes known
		a, err := bid(fmt.Sprint("known-", i), "bid").send(h)
		is.NoErr(err)
		is.Equal(a.status, http.StatusOK)
	}
	s.setServiceFaults(service.Faults{SlowMs: 20_000})
	var running, late outcome
	var group sync.WaitGroup
	group.Go(func() { running = bid("running", "bid").withDeadline(time.Minute).outcome(context.Background(), h) })
	eventually(t, "the service runs the bid", func() bool { return s.runsOfKey("running") > 0 })
	s.setServiceFaults(service.Faults{SlowMs: 1200})
	signaled := time.Now()
	h.signal(syscall.SIGTERM)
	group.Go(func() {
		c := bid("late", "bid").withDeadline(time.Minute)
		c.reader = latebody.New(c.body, signaled.Add(1800*time.Millisecond))
		late = c.outcome(context.Background(), h)
	})
	group.Wait()
	<-h.done
	is.NoErr(running.err)
	is.Equal(running.code, resultcode.OutcomeUnknown)
	is.Equal(running.runState, "may-have-run")
	is.NoErr(late.err)
	is.Equal(late.code, resultcode.HostStopping)
	is.Equal(late.runState, "not-run")
	is.Equal(s.runsOfKey("late"), 0)
}
