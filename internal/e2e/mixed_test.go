package e2e

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/history"
	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// The mixed run is longer with: go test ./internal/e2e -run TestMixedFaults
// -mixed.duration=5m -mixed.seed=7 -mixed.out=DIR -timeout 15m
var (
	mixedDuration = flag.Duration("mixed.duration", 16*time.Second, "how long faults go on in the mixed run")
	mixedSeed     = flag.Uint64("mixed.seed", 1, "seed of the mixed run's faults and callers")
	mixedOut      = flag.String("mixed.out", "", "directory for the mixed run's history and verdict; empty writes none")
)

// mixed is a run of all kinds of callers under all kinds of faults.
type mixed struct {
	s       *system
	hosts   *fleet
	line    *timeline
	seen    *sightings
	watch   *watch
	load    sync.WaitGroup
	stopped context.Context
	// current is the last accepted manifest, last its epoch and acceptance.
	current []byte
	last    atomic.Pointer[acceptance]
	// impaired counts the faults on each host.
	impaired map[string]int
	// changes are manifests and leaving upstreams, done one after the other.
	changes chan func()
	// leaving guards the engines' faults: left are the engines that leave.
	leaving      sync.Mutex
	left         map[int]bool
	engineFaults engine.Faults
	// killed are the processes that were killed.
	killed []*entryHost
	faults map[string]int
}

// acceptance is when a manifest was accepted.
type acceptance struct {
	epoch uint64
	at    time.Time
}

// maxChanges bounds the changes that wait.
const maxChanges = 4096

// mixedBounds allow a manifest the time that the project sets as its target.
var mixedBounds = history.Bounds{InForce: 10 * time.Second, Leaving: 5 * time.Second}

// TestMixedFaults sends chats, streams, sessions and bids to three hosts under a
// seeded schedule of faults that come together and twice, and checks the
// history for each promise.
func TestMixedFaults(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	s.addEngine("engine-4", "zone-a")
	s.addEngine("engine-5", "zone-b")
	s.addService("lanes-2", "zone-b")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := newMixed(s, ctx)
	m.accept(mixedManifest(t))
	s.waitReady()
	s.waitUpstreams()
	var watchers sync.WaitGroup
	watchCtx, stopWatch := context.WithCancel(context.Background())
	watchers.Go(func() { m.watch.run(watchCtx) })
	watchers.Go(func() { m.watchHosts(watchCtx) })
	m.startLoad()
	var changes sync.WaitGroup
	changes.Go(func() {
		for change := range m.changes {
			change()
		}
	})
	m.schedule(rand.New(rand.NewPCG(*mixedSeed, 0)), *mixedDuration)
	close(m.changes)
	changes.Wait()
	cancel()
	m.load.Wait()
	s.waitReady()
	stopWatch()
	watchers.Wait()
	m.watch.look()
	m.judge()
}

func newMixed(s *system, ctx context.Context) *mixed {
	line := newTimeline()
	m := &mixed{
		s: s, line: line, stopped: ctx,
		hosts:    &fleet{hosts: append([]*entryHost(nil), s.hosts...)},
		seen:     &sightings{line: line, sent: map[string]history.Event{}, prompts: map[string]string{}, codes: map[string]int{}},
		watch:    &watch{s: s, line: line, arrivals: map[string]*arrival{}},
		impaired: map[string]int{}, left: map[int]bool{}, faults: map[string]int{},
		changes: make(chan func(), maxChanges),
	}
	for _, h := range s.hosts {
		line.add(history.Event{Kind: history.HostStarted, Host: h.id})
	}
	return m
}

// mixedManifest is the sample without a stop of the new version: the engines'
// faults here aren't the version's.
func mixedManifest(t *testing.T) []byte {
	t.Helper()
	doc, err := manifest.Parse(devenv.Manifest())
	if err != nil {
		t.Fatal(err)
	}
	v2 := &doc.Models[0].Versions[1]
	v2.Exposure.MaxErrorRate = 1
	v2.Exposure.Answers = 1_000_000
	return manifest.Encode(doc)
}

// accept submits a manifest, on one host after the other, until one accepts.
func (m *mixed) accept(data []byte) {
	doc, err := manifest.Parse(data)
	if err != nil {
		m.s.t.Error(err)
		return
	}
	id := manifest.Digest(data)
	m.line.add(history.Event{Kind: history.ManifestSubmitted, Digest: id})
	for try := range bidTries {
		hosts := m.hosts.list()
		var got entry.SubmitResponse
		if err = m.submit(hosts[try%len(hosts)], data, &got); err == nil {
			m.line.add(history.Accepted(got.Head.Epoch, id, *doc))
			m.last.Store(&acceptance{got.Head.Epoch, time.Now()})
			m.current = data
			return
		}
		time.Sleep(bidPause)
	}
	m.s.t.Errorf("manifest wasn't accepted: %v", err)
}

func (m *mixed) submit(h *entryHost, data []byte, into *entry.SubmitResponse) error {
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.operators+entry.PathManifest, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set(entry.HeaderSubmitToken, manifest.Digest(data))
	return m.s.operator(req, into)
}

// watchHosts records which manifest each host works by, until the context ends and
// the last manifest was seen in force or is late. Bills are recorded for up to
// settleWait after the run, so a watch that ends with the run misses manifests that
// the record is long enough to judge: it named two hosts late whose logs have the last
// epoch in force 0.2 s after its acceptance.
func (m *mixed) watchHosts(ctx context.Context) {
	epochs := map[*entryHost]uint64{}
	for ctx.Err() == nil || m.awaitsLast(epochs) {
		for _, h := range m.hosts.list() {
			if epoch := m.epochOf(h); epoch > epochs[h] {
				epochs[h] = epoch
				m.line.add(history.Event{Kind: history.InForce, Host: h.id, Epoch: epoch})
			}
		}
		time.Sleep(watchPause)
	}
}

// awaitsLast says whether a host may still come to work by the last manifest in time.
func (m *mixed) awaitsLast(epochs map[*entryHost]uint64) bool {
	last := m.last.Load()
	if last == nil || time.Since(last.at) > mixedBounds.InForce {
		return false
	}
	return slices.ContainsFunc(m.hosts.list(), func(h *entryHost) bool { return epochs[h] < last.epoch })
}

// epochOf asks a host; a host that doesn't answer soon works by none.
func (m *mixed) epochOf(h *entryHost) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), watchPause)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operators+entry.PathHosts, nil)
	if err != nil {
		return 0
	}
	var view struct{ Epoch uint64 }
	if m.s.operator(req, &view) != nil {
		return 0
	}
	return view.Epoch
}

// Numbers of callers of each kind.
const (
	mixedChatters = 4
	mixedSessions = 3
	mixedBidders  = 3
	// mixedPause is the mean pause of a caller between two requests.
	mixedPause = 20 * time.Millisecond
)

func (m *mixed) startLoad() {
	for i := range mixedChatters {
		m.caller(i, func(r *rand.Rand, n int) { m.chat(r, fmt.Sprintf("chat %d %d tokens=%d", i, n, 1+r.IntN(40)), nil) })
	}
	for i := range mixedSessions {
		keeps := &keptSession{}
		m.caller(100+i, func(r *rand.Rand, n int) {
			keeps.begin(i, n)
			m.chat(r, fmt.Sprintf("session %d %d tokens=%d", i, n, 1+r.IntN(10)), keeps)
		})
	}
	for i := range mixedBidders {
		m.caller(200+i, func(r *rand.Rand, n int) { m.bid(r, fmt.Sprintf("mixed-%d-%d", i, n)) })
	}
}

// caller repeats a request until the run stops.
func (m *mixed) caller(i int, send func(r *rand.Rand, n int)) {
	m.load.Go(func() {
		r := rand.New(rand.NewPCG(*mixedSeed, uint64(i+1)))
		for n := 0; m.stopped.Err() == nil; n++ {
			send(r, n)
			time.Sleep(time.Duration(r.Int64N(int64(2 * mixedPause))))
		}
	})
}

func (m *mixed) host(r *rand.Rand) *entryHost {
	hosts := m.hosts.list()
	return hosts[r.IntN(len(hosts))]
}

// keptSession is a caller's session: what it sends to keep it.
type keptSession struct {
	name, token string
}

const newSession = "new"

// begin starts another session if the last one never got a token.
func (k *keptSession) begin(i, n int) {
	if k.token == "" || k.token == newSession {
		k.name, k.token = fmt.Sprintf("session-%d-%d", i, n), newSession
	}
}

// chat sends one chat and records what came back.
func (m *mixed) chat(r *rand.Rand, prompt string, session *keptSession) {
	model, stream, h := []string{"small", "small", "large"}[r.IntN(3)], r.IntN(2) == 0, m.host(r)
	c := chat(model, prompt, stream)
	sent := history.Event{Account: "dev", Host: h.id, Idempotent: true}
	if session != nil {
		c = c.with("Quetzalweir-Session", session.token)
		sent.Session = session.name
	}
	at := m.line.now()
	o := m.send(c, h)
	answered := m.answered(o)
	if stream && o.status == http.StatusOK && !strings.HasSuffix(o.body, "data: [DONE]\n\n") {
		answered.Lost = true
	}
	if answered.Code == 0 && !answered.Lost {
		answered.Digest = digest(text(m.s.t, o.body))
	}
	if token := o.get("Quetzalweir-Session"); session != nil && token != "" {
		session.token = token
	}
	m.seen.request(at, sent, answered, prompt)
}

func (m *mixed) send(c call, h *entryHost) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), bidTimeout)
	defer cancel()
	return c.patient(bidPatience).outcome(ctx, h)
}

// answered is the event of what a caller got.
func (m *mixed) answered(o outcome) history.Event {
	e := history.Event{RequestID: o.id, RunState: o.runState, Code: int(o.code), Lost: o.err != nil}
	e.Model, e.Version = o.get("Quetzalweir-Model"), o.get("Quetzalweir-Version")
	e.Epoch, _ = strconv.ParseUint(o.get("Quetzalweir-Epoch"), 10, 64)
	if e.Code != 0 && e.RunState == "not-run" {
		// No version ran the request, so none is its session's.
		e.Model, e.Version = "", ""
	}
	return e
}

// bid sends a bid until its outcome is definite, on one host after the other.
func (m *mixed) bid(r *rand.Rand, key string) {
	body := fmt.Sprintf(`{"bid":%q}`, key)
	want := string(service.ExpectedAnswer(http.MethodPost, "/bids", []byte(body)))
	for range bidTries {
		h := m.host(r)
		at := m.line.now()
		o := m.send(bid(key, body), h)
		answered := m.answered(o)
		if answered.Code == 0 && !answered.Lost {
			answered.Digest = digest(o.body)
		}
		sent := history.Event{Account: "dev", Key: key, Host: h.id, Digest: digest(want)}
		m.seen.request(at, sent, answered, "")
		if o.err == nil && (o.code == resultcode.OK || o.code == resultcode.EarlierOutcomeUnknown) {
			return
		}
		time.Sleep(bidPause)
	}
	m.s.t.Errorf("no definite answer for %s", key)
}

// settleWait bounds the wait for the bills after the faults; it is above the
// time after which copies of lost owners are written in any case.
const settleWait = 90 * time.Second

// judge waits for the bills and checks the history.
func (m *mixed) judge() {
	t := m.s.t
	t.Helper()
	events := m.seen.join(m.line.record(), m.watch.arrivals)
	whole, settled := m.settled(events)
	if !settled {
		m.excuseAtRisk(whole)
	}
	violations := history.Check(whole, mixedBounds)
	for _, v := range violations {
		t.Error(v)
	}
	verdict := fmt.Sprintf("seed %d, %v: %d events, %d violations\nevents %v\nfaults %v\nanswers %v\nids no caller saw: %d of %d lost\n",
		*mixedSeed, *mixedDuration, len(whole), len(violations), kinds(whole), m.faults, m.seen.codes, m.hidden(), m.seen.unseen)
	t.Log(verdict)
	if m.hidden() > m.seen.unseen {
		t.Error("upstreams got requests that no caller sent")
	}
	m.write(whole, verdict, violations)
}

// kinds counts events by their kind.
func kinds(events []history.Event) map[history.Kind]int {
	counts := map[history.Kind]int{}
	for _, e := range events {
		counts[e.Kind]++
	}
	return counts
}

// settled adds the bills to the events, once these fit or the wait is over.
func (m *mixed) settled(events []history.Event) (whole []history.Event, ok bool) {
	deadline := time.Now().Add(settleWait)
	for {
		whole = inOrder(append(slices.Clone(events), m.bills(events)...))
		if len(history.BilledOnce(whole)) == 0 {
			return whole, true
		}
		if time.Now().After(deadline) {
			return whole, false
		}
		time.Sleep(watchPause)
	}
}

// hidden counts the requests that arrived and whose id no caller saw.
func (m *mixed) hidden() int {
	ids := map[string]bool{}
	for name := range m.watch.arrivals {
		if id := requestOf(name); m.seen.sent[id].RequestID == "" {
			ids[id] = true
		}
	}
	return len(ids)
}

// bills reads the ledger. Bills of requests that no caller saw an id of come
// with the sending of these.
func (m *mixed) bills(events []history.Event) []history.Event {
	known := map[string]bool{}
	for _, e := range events {
		known[e.RequestID] = true
	}
	rec := history.NewRecorder()
	for epoch := uint64(1); ; epoch++ {
		var trace entry.EpochTrace
		if m.s.get(m.s.hosts[0], fmt.Sprintf("/v1/trace/epochs/%d", epoch), &trace) != nil {
			break
		}
		err := rec.AddBills(func(yield func(ledger.Bill, error) bool) {
			for _, b := range trace.Bills {
				if !yield(b, nil) {
					return
				}
			}
		})
		if err != nil {
			m.s.t.Error(err)
		}
	}
	end := m.line.now()
	var list []history.Event
	for _, b := range rec.Events() {
		if !known[b.RequestID] {
			known[b.RequestID] = true
			sent := history.Event{Kind: history.RequestSent, RequestID: b.RequestID, Account: "dev", BillID: b.BillID, Idempotent: true}
			list = append(list, sent)
		}
		b.At = end
		list = append(list, b)
	}
	return list
}

// excuseAtRisk takes answers without a bill for lost ones where a killed host
// had said in its log that it alone had the bill: no more is promised (note
// 0010).
func (m *mixed) excuseAtRisk(events []history.Event) {
	billed := map[string]bool{}
	for _, e := range events {
		if e.Kind == history.Billed {
			billed[e.RequestID] = true
		}
	}
	risky, excused := m.atRisk(), 0
	for i, e := range events {
		if e.Kind == history.CallerAnswered && risky[e.RequestID] && !billed[e.RequestID] {
			events[i].Lost = true
			excused++
		}
	}
	m.s.t.Logf("%d answers have no bill, which was in a killed host's memory only", excused)
}

// atRisk returns the requests whose bills were in the memory of one host only
// at some time, by the logs of the hosts that were killed.
func (m *mixed) atRisk() map[string]bool {
	risky := map[string]bool{}
	for _, h := range m.killed {
		for line := range strings.Lines(h.output()) {
			if strings.Contains(line, "event=bill-at-risk") {
				risky[findField(line, "event=bill-at-risk", "request=")] = true
			}
		}
	}
	return risky
}

// write writes the history and the verdict, if a directory is set.
func (m *mixed) write(events []history.Event, verdict string, violations []history.Violation) {
	if *mixedOut == "" {
		return
	}
	var data bytes.Buffer
	if err := history.Write(&data, events); err != nil {
		m.s.t.Error(err)
	}
	for _, v := range violations {
		verdict += v.String() + "\n"
	}
	name := fmt.Sprintf("mixed-%d", *mixedSeed)
	for file, content := range map[string][]byte{name + ".history": data.Bytes(), name + ".verdict": []byte(verdict)} {
		if err := os.WriteFile(filepath.Join(*mixedOut, file), content, 0o644); err != nil {
			m.s.t.Error(err)
		}
	}
}
