package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// latency is the network's delay in one direction.
	latency = time.Millisecond
	// framingBytes is the overhead of frames, JSON-RPC, TCP and IP per message
	// of an exchange: 95 bytes, and half of 3 segment headers of 52 bytes each,
	// as an exchange has two messages.
	framingBytes = 95 + 78
)

var errUnreachable = errors.New("network: unreachable")

// network is a simulated network of hosts in one process. If a message is lost,
// its exchange fails at the caller's timeout.
type network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	hosts map[string]*host
	// lossRate is the fraction of messages that are lost.
	lossRate float64
	// partitioned reports whether two hosts can't communicate; nil means that all
	// hosts can.
	partitioned     func(a, b string) bool
	bytes, messages uint64
	table           *memoryTable
	// handling counts the messages that hosts are processing, including those
	// whose senders have timed out.
	handling sync.WaitGroup
}

// host is a Membership and its transport in the network.
type host struct {
	*Membership
	net    *network
	cancel context.CancelFunc
	done   chan error

	mu     sync.Mutex
	killed bool
	// resumed is closed at the end of a pause. It is nil while the host isn't
	// paused.
	resumed chan struct{}
}

func newNetwork() *network {
	return &network{
		rng:   rand.New(rand.NewPCG(1, 2)),
		hosts: make(map[string]*host),
		table: &memoryTable{rows: make(map[string]storage.Row)},
	}
}

func hostID(i int) string { return fmt.Sprintf("host-%03d", i) }

// start starts count hosts in the given number of zones.
func (n *network) start(t *testing.T, count, zones int) []*host {
	t.Helper()
	var hosts []*host
	for i := range count {
		hosts = append(hosts, n.startHost(t, i, zones, func(*Options) {}))
	}
	return hosts
}

func (n *network) startHost(t *testing.T, i, zones int, change func(*Options)) *host {
	t.Helper()
	h := &host{net: n, done: make(chan error, 1)}
	o := Options{
		Self: Member{
			ID: hostID(i), Zone: fmt.Sprintf("zone-%02d", i%zones),
			PeerAddr: fmt.Sprintf("127.1.%d.%d:7946", i/256, i%256), CallerAddr: fmt.Sprintf("127.1.%d.%d:8080", i/256, i%256),
		},
		Table:     n.table,
		Transport: h,
		Seed:      uint64(i) + 1,
	}
	change(&o)
	m, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	h.Membership = m
	m.blockHook = h.waitResumed
	n.mu.Lock()
	n.hosts[o.Self.ID] = h
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.done <- m.Run(ctx) }()
	return h
}

// stop stops all hosts. Each test must call it within its synctest bubble.
func (n *network) stop(t *testing.T) {
	t.Helper()
	for _, h := range n.hosts {
		h.resume()
		h.cancel()
	}
	for id, h := range n.hosts {
		if err := <-h.done; err != nil {
			t.Errorf("%s: run: %v", id, err)
		}
	}
	n.handling.Wait()
	synctest.Wait() // all other goroutines of the bubble have ended or are blocked
}

// kill stops the host permanently without notifying the other hosts.
func (h *host) kill() {
	h.mu.Lock()
	h.killed = true
	h.mu.Unlock()
	h.cancel()
}

func (h *host) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumed = make(chan struct{})
}

// resume ends a pause and waits while the host processes what arrived during it,
// so that no two hosts resume at the same instant. With Go 1.26 the race detector
// itself crashes (a failed check in tsan_rtl.cpp, or SIGSEGV) if two threads
// receive at the same time from expired timer channels of one synctest bubble.
func (h *host) resume() {
	h.mu.Lock()
	resumed := h.resumed
	h.resumed = nil
	h.mu.Unlock()
	if resumed != nil {
		close(resumed)
		time.Sleep(latency)
	}
}

func (h *host) waitResumed() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (h *host) isKilled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed
}

// Exchange implements Transport. The host is the sender.
func (h *host) Exchange(ctx context.Context, to Member, message Message) (Message, error) {
	h.waitResumed()
	n := h.net
	receiver, err := n.deliver(ctx, h.options.Self.ID, to, &message)
	if err != nil {
		h.waitResumed()
		return Message{}, err
	}
	answer, err := receiver.handle(ctx, message)
	if err == nil {
		_, err = n.deliver(ctx, receiver.options.Self.ID, Member{ID: h.options.Self.ID}, &answer)
	}
	h.waitResumed()
	return answer, err
}

// handle processes a message at the receiver. A paused host processes it after it
// resumes, whether or not the sender still waits.
func (h *host) handle(ctx context.Context, message Message) (Message, error) {
	type outcome struct {
		answer Message
		err    error
	}
	done := make(chan outcome, 1)
	h.net.handling.Go(func() {
		h.waitResumed()
		answer, err := h.HandleExchange(ctx, message)
		h.waitResumed()
		done <- outcome{answer, err}
	})
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
}

// deliver encodes a message, transfers it and decodes it at the receiver.
func (n *network) deliver(ctx context.Context, from string, to Member, message *Message) (*host, error) {
	data, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	receiver := n.find(to)
	n.bytes += uint64(len(data) + framingBytes)
	n.messages++
	lost := receiver == nil || receiver.isKilled() || n.hosts[from].isKilled() || n.rng.Float64() < n.lossRate
	if !lost && n.partitioned != nil {
		lost = n.partitioned(from, receiver.options.Self.ID)
	}
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errUnreachable
	}
	time.Sleep(latency)
	*message = Message{}
	return receiver, json.Unmarshal(data, message)
}

func (n *network) find(to Member) *host {
	if h, ok := n.hosts[to.ID]; ok {
		return h
	}
	for _, h := range n.hosts {
		if h.options.Self.PeerAddr == to.PeerAddr {
			return h
		}
	}
	return nil
}

func (n *network) traffic() (bytes, messages uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes, n.messages
}

func (n *network) setLossRate(lossRate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = lossRate
}

func (n *network) setPartition(partitioned func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// waitFor waits until the condition holds and returns how long that took. It fails
// the test if that takes longer than limit.
func waitFor(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	const step = 10 * time.Millisecond
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(step)
	}
	return time.Since(start)
}

// allHaveState reports whether all hosts, except killed ones and the member itself,
// store the member in one of the states.
func allHaveState(hosts []*host, id string, states ...State) bool {
	for _, h := range hosts {
		if h.isKilled() || h.options.Self.ID == id {
			continue
		}
		member, _ := h.Lookup(id)
		if !slices.Contains(states, member.State) {
			return false
		}
	}
	return true
}

// allUp reports whether each host stores all hosts as Up.
func allUp(hosts []*host) bool {
	for _, h := range hosts {
		up := 0
		for _, member := range h.Members() {
			if member.State == Up {
				up++
			}
		}
		if up != len(hosts) {
			return false
		}
	}
	return true
}

// allHaveFact reports whether all hosts that aren't killed store this version of a
// fact.
func allHaveFact(hosts []*host, key string, version uint64) bool {
	for _, h := range hosts {
		if f, ok := h.Get(key); !h.isKilled() && (!ok || f.Version != version) {
			return false
		}
	}
	return true
}

// runNetwork runs a test with a network of hosts in a synctest bubble. The test
// begins when each host stores all hosts as Up.
func runNetwork(t *testing.T, count, zones int, test func(t *testing.T, n *network, hosts []*host)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		hosts := n.start(t, count, zones)
		defer n.stop(t)
		waitFor(t, 2*time.Minute, "all hosts up", func() bool { return allUp(hosts) })
		test(t, n, hosts)
	})
}

// memoryTable is an in-memory storage.Table with fault injection.
type memoryTable struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]storage.Row
	// fail is the error that all calls return; nil means none.
	fail error
	// readOnly makes all commits fail.
	readOnly bool
	// loseResponses makes commits take effect and return ErrUnknown.
	loseResponses bool
}

func (t *memoryTable) setFail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail = err
}

func (t *memoryTable) setReadOnly(readOnly bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readOnly = readOnly
}

func (t *memoryTable) setLoseResponses(lose bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseResponses = lose
}

func (t *memoryTable) Get(_ context.Context, key string) (storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if t.fail == nil && !ok {
		return row, storage.ErrNotFound
	}
	return row, t.fail
}

func (t *memoryTable) List(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []storage.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storage.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], t.fail
}

func (t *memoryTable) Commit(_ context.Context, txn storage.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fail != nil {
		return 0, t.fail
	}
	if t.readOnly {
		return 0, storage.ErrUnavailable
	}
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return 0, storage.ErrConflict
		}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: t.revision}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	if t.loseResponses {
		return 0, storage.ErrUnknown
	}
	return t.revision, nil
}
