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

// The flags of TestMixedFaults. For a longer run: go test ./internal/e2e
// -run TestMixedFaults -mixed.duration=5m -mixed.seed=7 -mixed.out=DIR -timeout 15m
var (
	mixedDuration = flag.Duration("mixed.duration", 16*time.Second, "how long faults are injected in the mixed run")
	mixedSeed     = flag.Uint64("mixed.seed", 1, "seed of the mixed run's faults and callers")
	mixedOut      = flag.String("mixed.out", "", "directory for the mixed run's history and verdict; empty writes none")
)

// mixed is the state of a run of TestMixedFaults.
type mixed struct {
	s            *system
	hosts        *fleet
	timeline     *timeline
	callerRecord *callerRecord
	poller       *arrivalPoller
	callers      sync.WaitGroup
	runCtx       context.Context
	// current is the last accepted manifest. lastAccepted holds its epoch and the
	// time at which it was accepted.
	current      []byte
	lastAccepted atomic.Pointer[acceptance]
	// impaired counts the active faults of each host, by its id.
	impaired map[string]int
	// changes are functions that submit a manifest or make an engine leave. They
	// run one after the other.
	changes chan func()
	// engineMu guards engineFaults and leavingEngines, the indexes of the engines
	// that leave.
	engineMu       sync.Mutex
	leavingEngines map[int]bool
	engineFaults   engine.Faults
	// killed are the entry hosts that were killed.
	killed []*entryHost
	faults map[string]int
}

// acceptance is the epoch of an accepted manifest and when it was accepted.
type acceptance struct {
	epoch uint64
	at    time.Time
}

// maxPendingChanges is the capacity of the queue of changes.
const maxPendingChanges = 4096

// mixedBounds holds the maximum time until a manifest is in force, and the maximum time
// until a leaving upstream gets no more requests.
var mixedBounds = history.Bounds{InForce: 10 * time.Second, Leaving: 5 * time.Second}

// TestMixedFaults sends chats, streams, sessions and bids to three hosts under a
// seeded schedule of concurrent and repeated faults, and then checks the recorded
// history against each guarantee.
func TestMixedFaults(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	s.addEngine("engine-4", "zone-a")
	s.addEngine("engine-5", "zone-b")
	s.addServiceInstance("lanes-2", "zone-b")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := newMixed(s, ctx)
	m.submitUntilAccepted(mixedManifest(t))
	s.waitReady()
	s.waitUpstreams()
	var pollers sync.WaitGroup
	pollCtx, stopPolling := context.WithCancel(context.Background())
	pollers.Go(func() { m.poller.run(pollCtx) })
	pollers.Go(func() { m.pollEpochs(pollCtx) })
	m.startCallers()
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
	m.callers.Wait()
	s.waitReady()
	stopPolling()
	pollers.Wait()
	m.poller.poll()
	m.checkRecord()
}

func newMixed(s *system, ctx context.Context) *mixed {
	events := newTimeline()
	m := &mixed{
		s: s, timeline: events, runCtx: ctx,
		hosts:        &fleet{hosts: append([]*entryHost(nil), s.hosts...)},
		callerRecord: &callerRecord{timeline: events, sent: map[string]history.Event{}, prompts: map[string]string{}, codes: map[string]int{}},
		poller:       &arrivalPoller{system: s, timeline: events, arrivals: map[string]*arrival{}},
		impaired:     map[string]int{}, leavingEngines: map[int]bool{}, faults: map[string]int{},
		changes: make(chan func(), maxPendingChanges),
	}
	for _, h := range s.hosts {
		events.add(history.Event{Kind: history.HostStarted, Host: h.id})
	}
	return m
}

// mixedManifest returns the sample manifest with an exposure of the new version that
// is never exceeded: the engines' faults must not stop the version.
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

// submitUntilAccepted submits a manifest to one host after the other until one
// accepts it.
func (m *mixed) submitUntilAccepted(data []byte) {
	doc, err := manifest.Parse(data)
	if err != nil {
		m.s.t.Error(err)
		return
	}
	id := manifest.Digest(data)
	m.timeline.add(history.Event{Kind: history.ManifestSubmitted, Digest: id})
	for try := range maxAttempts {
		hosts := m.hosts.list()
		var got entry.SubmitResponse
		if err = m.submit(hosts[try%len(hosts)], data, &got); err == nil {
			m.timeline.add(history.NewManifestAccepted(got.Head.Epoch, id, *doc))
			m.lastAccepted.Store(&acceptance{got.Head.Epoch, time.Now()})
			m.current = data
			return
		}
		time.Sleep(retryInterval)
	}
	m.s.t.Errorf("the manifest was not accepted: %v", err)
}

func (m *mixed) submit(h *entryHost, data []byte, into *entry.SubmitResponse) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.operatorAddr+entry.PathManifest, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set(entry.HeaderSubmitToken, manifest.Digest(data))
	return m.s.sendToOperatorAPI(req, into)
}

// pollEpochs records which epoch each host has in force, until the context ends and the
// last manifest is in force everywhere or is late. The record goes on for up to billWait
// after the run, because of the bills. If polling ended with the run, the check of the
// record would report a manifest as late that came into force after that: this happened
// for two hosts whose logs have the last epoch in force 0.2 s after its acceptance.
func (m *mixed) pollEpochs(ctx context.Context) {
	epochs := map[*entryHost]uint64{}
	for ctx.Err() == nil || m.awaitsLastManifest(epochs) {
		for _, h := range m.hosts.list() {
			if epoch := m.epochOf(h); epoch > epochs[h] {
				epochs[h] = epoch
				m.timeline.add(history.Event{Kind: history.InForce, Host: h.id, Epoch: epoch})
			}
		}
		time.Sleep(pollInterval)
	}
}

// awaitsLastManifest reports whether a host lacks the last manifest and isn't late yet.
func (m *mixed) awaitsLastManifest(epochs map[*entryHost]uint64) bool {
	last := m.lastAccepted.Load()
	if last == nil || time.Since(last.at) > mixedBounds.InForce {
		return false
	}
	return slices.ContainsFunc(m.hosts.list(), func(h *entryHost) bool { return epochs[h] < last.epoch })
}

// epochOf returns the epoch that a host has in force, or 0 if the host doesn't answer
// within pollInterval.
func (m *mixed) epochOf(h *entryHost) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), pollInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operatorAddr+entry.PathHosts, nil)
	if err != nil {
		return 0
	}
	var view struct{ Epoch uint64 }
	if m.s.sendToOperatorAPI(req, &view) != nil {
		return 0
	}
	return view.Epoch
}

// The numbers of callers of each kind.
const (
	mixedChatCallers    = 4
	mixedSessionCallers = 3
	mixedBidCallers     = 3
	// mixedPause is the mean pause of a caller between two requests.
	mixedPause = 20 * time.Millisecond
)

func (m *mixed) startCallers() {
	for i := range mixedChatCallers {
		m.startCaller(i, func(r *rand.Rand, n int) { m.sendChat(r, fmt.Sprintf("chat %d %d tokens=%d", i, n, 1+r.IntN(40)), nil) })
	}
	for i := range mixedSessionCallers {
		session := &callerSession{}
		m.startCaller(100+i, func(r *rand.Rand, n int) {
			session.begin(i, n)
			m.sendChat(r, fmt.Sprintf("session %d %d tokens=%d", i, n, 1+r.IntN(10)), session)
		})
	}
	for i := range mixedBidCallers {
		m.startCaller(200+i, func(r *rand.Rand, n int) { m.sendBid(r, fmt.Sprintf("mixed-%d-%d", i, n)) })
	}
}

// startCaller starts caller i, which calls send until the run ends. n is the number of
// calls of send before.
func (m *mixed) startCaller(i int, send func(r *rand.Rand, n int)) {
	m.callers.Go(func() {
		r := rand.New(rand.NewPCG(*mixedSeed, uint64(i+1)))
		for n := 0; m.runCtx.Err() == nil; n++ {
			send(r, n)
			time.Sleep(time.Duration(r.Int64N(int64(2 * mixedPause))))
		}
	})
}

func (m *mixed) randomHost(r *rand.Rand) *entryHost {
	hosts := m.hosts.list()
	return hosts[r.IntN(len(hosts))]
}

// callerSession is the name of a caller's session in the record, and the token that
// the caller sends to continue it.
type callerSession struct {
	name, token string
}

const newSession = "new"

// begin starts a new session unless the caller has a token for the current one.
func (k *callerSession) begin(i, n int) {
	if k.token == "" || k.token == newSession {
		k.name, k.token = fmt.Sprintf("session-%d-%d", i, n), newSession
	}
}

// sendChat sends one chat and records it with its answer.
func (m *mixed) sendChat(r *rand.Rand, prompt string, session *callerSession) {
	model, stream, h := []string{"small", "small", "large"}[r.IntN(3)], r.IntN(2) == 0, m.randomHost(r)
	c := chat(model, prompt, stream)
	sent := history.Event{Account: "dev", Host: h.id, Idempotent: true}
	if session != nil {
		c = c.with("Quetzalweir-Session", session.token)
		sent.Session = session.name
	}
	at := m.timeline.now()
	o := m.sendWithDeadline(c, h)
	answered := m.answerEvent(o)
	if stream && o.status == http.StatusOK && !strings.HasSuffix(o.body, "data: [DONE]\n\n") {
		answered.Lost = true
	}
	if answered.Code == 0 && !answered.Lost {
		answered.Digest = digest(contentOfAnswer(m.s.t, o.body))
	}
	if token := o.get("Quetzalweir-Session"); session != nil && token != "" {
		session.token = token
	}
	m.callerRecord.add(at, sent, answered, prompt)
}

func (m *mixed) sendWithDeadline(c call, h *entryHost) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), bidTimeout)
	defer cancel()
	return c.withDeadline(bidDeadline).outcome(ctx, h)
}

// answerEvent returns the event for the answer that a caller got.
func (m *mixed) answerEvent(o outcome) history.Event {
	e := history.Event{RequestID: o.id, RunState: o.runState, Code: int(o.code), Lost: o.err != nil}
	e.Model, e.Version = o.get("Quetzalweir-Model"), o.get("Quetzalweir-Version")
	e.Epoch, _ = strconv.ParseUint(o.get("Quetzalweir-Epoch"), 10, 64)
	if e.Code != 0 && e.RunState == "not-run" {
		// No version ran the request, so it doesn't bind its session to a version.
		e.Model, e.Version = "", ""
	}
	return e
}

// sendBid repeats a bid on random hosts until its outcome is definite.
func (m *mixed) sendBid(r *rand.Rand, key string) {
	body := fmt.Sprintf(`{"bid":%q}`, key)
	want := string(service.ExpectedAnswer(http.MethodPost, "/bids", []byte(body)))
	for range maxAttempts {
		h := m.randomHost(r)
		at := m.timeline.now()
		o := m.sendWithDeadline(bid(key, body), h)
		answered := m.answerEvent(o)
		if answered.Code == 0 && !answered.Lost {
			answered.Digest = digest(o.body)
		}
		sent := history.Event{Account: "dev", Key: key, Host: h.id, Digest: digest(want)}
		m.callerRecord.add(at, sent, answered, "")
		if o.err == nil && (o.code == resultcode.OK || o.code == resultcode.EarlierOutcomeUnknown) {
			return
		}
		time.Sleep(retryInterval)
	}
	m.s.t.Errorf("no definite answer for %s", key)
}

// billWait bounds the wait for the bills after the faults. It is longer than the time
// after which hosts write the bills of a lost host from their copies in any case.
const billWait = 90 * time.Second

// checkRecord waits for the bills and checks the recorded history.
func (m *mixed) checkRecord() {
	t := m.s.t
	t.Helper()
	events := m.callerRecord.withArrivals(m.timeline.sorted(), m.poller.arrivals)
	complete, billed := m.waitForBills(events)
	if !billed {
		m.markAtRiskLost(complete)
	}
	violations := history.Check(complete, mixedBounds)
	for _, v := range violations {
		t.Error(v)
	}
	verdict := fmt.Sprintf("seed %d, %v: %d events, %d violations\nevents %v\nfaults %v\nanswers %v\nrequests whose id no caller got: %d arrived of %d lost\n",
		*mixedSeed, *mixedDuration, len(complete), len(violations), countKinds(complete), m.faults, m.callerRecord.codes, m.unidentifiedArrivals(), m.callerRecord.unidentified)
	t.Log(verdict)
	if m.unidentifiedArrivals() > m.callerRecord.unidentified {
		t.Error("upstreams received requests that no caller sent")
	}
	m.writeFiles(complete, verdict, violations)
}

// countKinds counts events by their kind.
func countKinds(events []history.Event) map[history.Kind]int {
	counts := map[history.Kind]int{}
	for _, e := range events {
		counts[e.Kind]++
	}
	return counts
}

// waitForBills returns the events with the bills. It waits until each answer is billed
// once; ok is false if that doesn't happen within billWait.
func (m *mixed) waitForBills(events []history.Event) (withBills []history.Event, ok bool) {
	deadline := time.Now().Add(billWait)
	for {
		withBills = sortAndNumber(append(slices.Clone(events), m.readBills(events)...))
		if len(history.CheckBilling(withBills)) == 0 {
			return withBills, true
		}
		if time.Now().After(deadline) {
			return withBills, false
		}
		time.Sleep(pollInterval)
	}
}

// unidentifiedArrivals counts the requests that arrived at upstreams and whose id no
// caller got.
func (m *mixed) unidentifiedArrivals() int {
	ids := map[string]bool{}
	for name := range m.poller.arrivals {
		if id := requestIDOf(name); m.callerRecord.sent[id].RequestID == "" {
			ids[id] = true
		}
	}
	return len(ids)
}

// readBills returns the events of the bills in the ledger. For a bill of a request whose
// id no caller got, it adds an event for the sending of the request.
func (m *mixed) readBills(events []history.Event) []history.Event {
	known := map[string]bool{}
	for _, e := range events {
		known[e.RequestID] = true
	}
	rec := history.NewRecorder()
	for epoch := uint64(1); ; epoch++ {
		var trace entry.EpochTrace
		if m.s.operatorGet(m.s.hosts[0], fmt.Sprintf("/v1/trace/epochs/%d", epoch), &trace) != nil {
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
	end := m.timeline.now()
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

// markAtRiskLost marks answers without a bill as lost if a killed host had logged that
// it alone had the bill: such a bill may be lost (note 0010).
func (m *mixed) markAtRiskLost(events []history.Event) {
	billed := map[string]bool{}
	for _, e := range events {
		if e.Kind == history.Billed {
			billed[e.RequestID] = true
		}
	}
	atRisk, marked := m.requestsAtRisk(), 0
	for i, e := range events {
		if e.Kind == history.CallerAnswered && atRisk[e.RequestID] && !billed[e.RequestID] {
			events[i].Lost = true
			marked++
		}
	}
	m.s.t.Logf("%d answers have no bill because only a killed host had it", marked)
}

// requestsAtRisk returns the requests of which a killed host logged that it alone had
// the bill.
func (m *mixed) requestsAtRisk() map[string]bool {
	requests := map[string]bool{}
	for _, h := range m.killed {
		for line := range strings.Lines(h.output()) {
			if strings.Contains(line, "event=bill-at-risk") {
				requests[findField(line, "event=bill-at-risk", "request=")] = true
			}
		}
	}
	return requests
}

// writeFiles writes the history and the verdict if a directory for them is set.
func (m *mixed) writeFiles(events []history.Event, verdict string, violations []history.Violation) {
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
