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
)

// balancer sends to hosts that were ready when it last looked, so for a while
// also to hosts that have turned it away, as the platform's balancer does.
type balancer struct {
	mu   sync.Mutex
	open []*entryHost
	next int
}

// balancerLag is the time between the balancer's looks; hosts are started with
// a longer allowance for it.
const balancerLag = 100 * time.Millisecond

func (b *balancer) run(ctx context.Context, hosts func() []*entryHost) {
	for ctx.Err() == nil {
		var open []*entryHost
		for _, h := range hosts() {
			if ready(h) {
				open = append(open, h)
			}
		}
		b.mu.Lock()
		b.open = open
		b.mu.Unlock()
		time.Sleep(balancerLag)
	}
}

// startBalancer puts all hosts of the system in service behind a balancer,
// until the test ends.
func (s *system) startBalancer() (*fleet, *balancer) {
	s.t.Helper()
	f := &fleet{hosts: append([]*entryHost(nil), s.hosts...)}
	b := new(balancer)
	go b.run(s.t.Context(), f.list)
	eventually(s.t, "the balancer sees a host", func() bool { return b.pick() != nil })
	return f, b
}

func ready(h *entryHost) bool {
	resp, err := client.Get("http://" + h.operators + entry.PathReady)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) pick() *entryHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.open) == 0 {
		return nil
	}
	b.next++
	return b.open[b.next%len(b.open)]
}

// TestRollThroughAllHosts replaces every host, one after the other, under a
// load with long streams. No request fails and no bill is lost.
func TestRollThroughAllHosts(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	head := s.submit(devenv.Manifest())
	fleet, b := s.startBalancer()
	load := startLoad(t, b)
	for i := range 3 {
		old := fleet.list()[0]
		fleet.add(s.addHost(fmt.Sprintf("entry-new-%d", i+1), zone(i)))
		eventually(t, "the new host is ready", func() bool { return ready(fleet.last()) })
		load.more(20)
		is.NoErr(old.terminate()) // exits 0: nothing was cut, nothing left unsettled
		fleet.remove(old)
		load.more(20)
	}
	s.checkBills(fleet.last(), head.Epoch, load.stop())
}

// fleet is the hosts in service.
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

// load is callers that send without a pause, one request after the other.
type load struct {
	t       *testing.T
	stopped atomic.Bool
	wait    sync.WaitGroup
	mu      sync.Mutex
	answers map[string]answer
}

// callers is the number of concurrent callers of a load.
const callers = 8

// startLoad sends streams of about 200 ms through the balancer. Every request
// must be answered whole.
func startLoad(t *testing.T, b *balancer) *load {
	l := &load{t: t, answers: map[string]answer{}}
	for c := range callers {
		l.wait.Go(func() {
			for i := 0; !l.stopped.Load(); i++ {
				l.one(b, fmt.Sprintf("caller %d request %d tokens=200", c, i), i%2 == 0)
			}
		})
	}
	return l
}

func (l *load) one(b *balancer, prompt string, stream bool) {
	h := b.pick()
	if h == nil {
		time.Sleep(balancerLag)
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

// more waits for n further answers.
func (l *load) more(n int) {
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

// checkBills compares the ledger with what callers got: one bill for each whole
// answer, and none of another request that cost something.
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
		err := s.get(h, fmt.Sprintf("/v1/trace/epochs/%d", epoch), &trace)
		return err == nil && missing() <= 0
	})
	seen := map[string]bool{}
	for _, bill := range trace.Bills {
		if seen[bill.RequestID] {
			s.t.Errorf("request %s is billed twice", bill.RequestID)
		}
		seen[bill.RequestID] = true
		if _, ok := answers[bill.RequestID]; !ok && bill.CostMicro > 0 {
			s.t.Errorf("bill of %d for request %s, which no caller got a whole answer to", bill.CostMicro, bill.RequestID)
		}
	}
}

// TestSecondSignalCutsShort asks a host twice to stop while a stream runs that
// would take minutes. It says how many requests it cut and exits with an error;
// the caller sees a broken answer, not a whole one, and isn't charged.
func TestSecondSignalCutsShort(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2)
	head := s.submit(devenv.Manifest())
	h := s.hosts[0]
	ended := make(chan error, 1)
	go func() {
		_, err := chat("large", "long tokens=200000", true).with("Quetzalweir-Deadline-Ms", "600000").send(h)
		ended <- err
	}()
	eventually(t, "the stream runs", func() bool { return s.runsOf("large@v1") == 1 })
	h.signal(syscall.SIGTERM)
	is.Equal(h.field("event=stopping", "event="), "stopping")
	h.signal(syscall.SIGTERM)
	<-h.done
	is.True(h.err != nil)                            // not a clean stop
	is.Equal(h.field("event=cut", "requests="), "1") // and it says so
	is.True(<-ended != nil)                          // no cut answer looks whole
	s.checkBills(s.hosts[1], head.Epoch, nil)
}
