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
	// envelopeBytes is what frames, JSON-RPC, TCP and IP add to one message
	// of an exchange: 95 and 3 half shares of segments with 52 byte headers.
	envelopeBytes = 95 + 78
)

var errCut = errors.New("network: cut")

// network connects memberships in one process. Lost messages give no answer
// until the caller's timeout.
type network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	hosts map[string]*host
	// loss is the part of messages that are lost.
	loss float64
	// cut says which pairs of hosts can't talk; nil means none.
	cut             func(a, b string) bool
	bytes, messages uint64
	table           *memoryTable
	// handling counts messages being answered, whose callers may be gone.
	handling sync.WaitGroup
}

// host is one membership with its place in the network.
type host struct {
	*Membership
	net    *network
	cancel context.CancelFunc
	done   chan error

	mu     sync.Mutex
	killed bool
	// thawed is closed at the end of a freeze; nil while not frozen.
	thawed chan struct{}
}

func newNetwork() *network {
	return &network{
		rng:   rand.New(rand.NewPCG(1, 2)),
		hosts: make(map[string]*host),
		table: &memoryTable{rows: make(map[string]storage.Row)},
	}
}

func hostID(i int) string { return fmt.Sprintf("host-%03d", i) }

// start adds n hosts in the given number of zones.
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
	m.pause = h.waitThawed
	n.mu.Lock()
	n.hosts[o.Self.ID] = h
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.done <- m.Run(ctx) }()
	return h
}

// stop ends all hosts; each test calls it before its bubble ends.
func (n *network) stop(t *testing.T) {
	t.Helper()
	for _, h := range n.hosts {
		h.thaw()
		h.cancel()
	}
	for id, h := range n.hosts {
		if err := <-h.done; err != nil {
			t.Errorf("%s: run: %v", id, err)
		}
	}
	n.handling.Wait()
	synctest.Wait() // all other goroutines of the bubble have ended or block
}

// kill makes a host silent for ever.
func (h *host) kill() {
	h.mu.Lock()
	h.killed = true
	h.mu.Unlock()
	h.cancel()
}

func (h *host) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.thawed = make(chan struct{})
}

// thaw ends a freeze and lets the host catch up before it returns. With Go
// 1.26 the race detector itself crashes (a failed check in tsan_rtl.cpp, or
// SIGSEGV) when two threads receive at once from lapsed timer channels of one
// synctest bubble, so no two hosts may wake at the same instant.
func (h *host) thaw() {
	h.mu.Lock()
	thawed := h.thawed
	h.thawed = nil
	h.mu.Unlock()
	if thawed != nil {
		close(thawed)
		time.Sleep(latency)
	}
}

func (h *host) waitThawed() {
	h.mu.Lock()
	thawed := h.thawed
	h.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (h *host) dead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed
}

// Exchange implements Transport for the host as the sender.
func (h *host) Exchange(ctx context.Context, to Member, message Message) (Message, error) {
	h.waitThawed()
	n := h.net
	receiver, err := n.carry(ctx, h.options.Self.ID, to, &message)
	if err != nil {
		h.waitThawed()
		return Message{}, err
	}
	answer, err := receiver.handle(ctx, message)
	if err == nil {
		_, err = n.carry(ctx, receiver.options.Self.ID, Member{ID: h.options.Self.ID}, &answer)
	}
	h.waitThawed()
	return answer, err
}

// handle answers a message. A frozen host does so when it thaws, whether or
// not the caller still waits.
func (h *host) handle(ctx context.Context, message Message) (Message, error) {
	type outcome struct {
		answer Message
		err    error
	}
	done := make(chan outcome, 1)
	h.net.handling.Go(func() {
		h.waitThawed()
		answer, err := h.HandleExchange(ctx, message)
		h.waitThawed()
		done <- outcome{answer, err}
	})
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
}

// carry brings a message over the network in its wire form.
func (n *network) carry(ctx context.Context, from string, to Member, message *Message) (*host, error) {
	data, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	receiver := n.find(to)
	n.bytes += uint64(len(data) + envelopeBytes)
	n.messages++
	lost := receiver == nil || receiver.dead() || n.hosts[from].dead() || n.rng.Float64() < n.loss
	if !lost && n.cut != nil {
		lost = n.cut(from, receiver.options.Self.ID)
	}
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errCut
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

func (n *network) setLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

func (n *network) setCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// waitFor steps time until the condition holds and returns how long it took.
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

// allSee says that all hosts but those skipped hold a state of a member.
func allSee(hosts []*host, id string, states ...State) bool {
	for _, h := range hosts {
		if h.dead() || h.options.Self.ID == id {
			continue
		}
		member, _ := h.Lookup(id)
		if !slices.Contains(states, member.State) {
			return false
		}
	}
	return true
}

// whole says that all hosts see all others as Up.
func whole(hosts []*host) bool {
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

// allHave says that all living hosts have a version of a fact.
func allHave(hosts []*host, key string, version uint64) bool {
	for _, h := range hosts {
		if f, ok := h.Get(key); !h.dead() && (!ok || f.Version != version) {
			return false
		}
	}
	return true
}

// inBubble runs a test on a network with its own time. The hosts are up when
// it begins.
func inBubble(t *testing.T, count, zones int, test func(t *testing.T, n *network, hosts []*host)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		hosts := n.start(t, count, zones)
		defer n.stop(t)
		waitFor(t, 2*time.Minute, "all hosts up", func() bool { return whole(hosts) })
		test(t, n, hosts)
	})
}

// memoryTable is a storage.Table in memory, which can fail.
type memoryTable struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]storage.Row
	// fail is what all calls return; nil means none.
	fail error
	// readOnly makes all commits fail.
	readOnly bool
	// loseAnswers makes commits take effect and return ErrUnknown.
	loseAnswers bool
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

func (t *memoryTable) setLoseAnswers(lose bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseAnswers = lose
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
	if t.loseAnswers {
		return 0, storage.ErrUnknown
	}
	return t.revision, nil
}
