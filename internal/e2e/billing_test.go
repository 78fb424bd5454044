package e2e

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// charge is what a caller owes for one complete answer.
type charge struct {
	// billID is the account and request key, or the request's id if it had no
	// key.
	billID string
	// requests are the ids of the requests that led to the answer: several if
	// the caller repeated the request.
	requests map[string]bool
	// costMicro is the price of the tokens in the answer. For a cascade it is
	// unknown at first, since the caller doesn't see the earlier steps.
	costMicro   int64
	costUnknown bool
}

// charges collects what callers owe. It is safe for concurrent use.
type charges struct {
	t    *testing.T
	mu   sync.Mutex
	byID map[string]*charge
}

// add records the charge for a complete answer. ids holds the ids of the requests
// that led to the answer.
func (c *charges) add(key, model string, a answer, ids []string) {
	ch := charge{billID: a.get("Quetzalweir-Request-Id"), requests: map[string]bool{}}
	for _, id := range ids {
		ch.requests[id] = true
	}
	if key != "" {
		ch.billID = "dev/" + key
	}
	if model == "ask" {
		ch.costUnknown = true
	} else if model != "" {
		ch.costMicro = expectedPrice(c.t, model, a.body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.byID[ch.billID]; other != nil {
		maps.Copy(other.requests, ch.requests)
		return
	}
	c.byID[ch.billID] = &ch
}

// expectedPrice returns the price of an answer's tokens by the sample manifest.
func expectedPrice(t *testing.T, model, body string) int64 {
	t.Helper()
	doc, err := manifest.Parse(devenv.Manifest())
	if err != nil {
		t.Fatal(err)
	}
	usage := usageOf(t, body)
	for _, m := range doc.Models {
		if m.Name == model {
			// In the sample all versions of a model have the same price.
			v := m.Versions[0]
			return (v.PromptPrice*usage.PromptTokens + v.CompletionPrice*usage.CompletionTokens) / 1000
		}
	}
	t.Fatalf("model %s is not in the sample manifest", model)
	return 0
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// usageOf returns the usage in the body of an answer, streamed or not.
func usageOf(t *testing.T, body string) usage {
	t.Helper()
	_, rest, ok := strings.Cut(body, `"usage":`)
	var u usage
	if !ok || json.NewDecoder(strings.NewReader(rest)).Decode(&u) != nil {
		t.Errorf("no usage in %q", body)
	}
	return u
}

// checkLedger checks that the ledger has one bill for each complete answer, with
// the right price, and charges nothing else. It returns the differences.
func checkLedger(want map[string]*charge, bills []ledger.Bill) []string {
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	seen := map[string]bool{}
	var wantSum, gotSum int64
	for _, b := range bills {
		if seen[b.ID] || seen[chargeIDOf(b.ID)] {
			report("bill %s is in the ledger twice", b.ID)
		}
		seen[b.ID], seen[chargeIDOf(b.ID)] = true, true
		gotSum += b.CostMicro
		ch := want[chargeIDOf(b.ID)]
		if ch == nil {
			if b.CostMicro != 0 || b.Code == int(resultcode.OK) {
				report("bill %s of request %s over %d, code %d, without a complete answer", b.ID, b.RequestID, b.CostMicro, b.Code)
			}
			continue
		}
		if ch.costUnknown {
			ch.costMicro = sumSteps(b)
		}
		if b.CostMicro != ch.costMicro || b.Code != int(resultcode.OK) || !ch.requests[b.RequestID] {
			report("bill %s of request %s over %d, code %d, for an answer of %d", b.ID, b.RequestID, b.CostMicro, b.Code, ch.costMicro)
		}
		if sumSteps(b) != b.CostMicro {
			report("bill %s over %d has steps of %d", b.ID, b.CostMicro, sumSteps(b))
		}
	}
	for id, ch := range want {
		wantSum += ch.costMicro
		if !seen[id] {
			report("no bill %s", id)
		}
	}
	if wantSum != gotSum {
		report("the bills sum up to %d, the charges to %d", gotSum, wantSum)
	}
	return found
}

// chargeIDOf returns the id of the charge that a bill belongs to: it drops a
// suffix after the account and request key. In these tests no key is used for two
// different requests.
func chargeIDOf(billID string) string {
	parts := strings.SplitN(billID, "/", 3)
	return strings.Join(parts[:min(2, len(parts))], "/")
}

func sumSteps(b ledger.Bill) int64 {
	var sum int64
	for _, s := range b.Steps {
		sum += s.CostMicro
	}
	return sum
}

// billedClient sends requests and collects the charges for their answers.
type billedClient struct {
	s       *system
	charges *charges
	sent    int
}

// requestsPerStep is the number of concurrent requests of each kind that a step
// sends to a host.
const requestsPerStep = 10

// sendAllKinds sends chats and bids to a host concurrently; each must be answered.
func (b *billedClient) sendAllKinds(h *entryHost) {
	b.s.t.Helper()
	var wait sync.WaitGroup
	for i := range requestsPerStep {
		b.sent++
		prompt := fmt.Sprintf("billed %d tokens=%d", b.sent, 5+i)
		key := fmt.Sprintf("billed-%d", b.sent)
		model := []string{"large", "small", "ask"}[i%3]
		wait.Go(func() { b.sendWithRetries(h, "", model, chat(model, prompt, i%2 == 0), true) })
		wait.Go(func() { b.sendWithRetries(h, key, "", bid(key, `{}`), true) })
	}
	wait.Wait()
}

// sendWithRetries sends a request, repeats it while it is refused with a
// Retry-After header, and records the charge for its answer. If mustSucceed is
// false, it sends the request only once and accepts any failure.
func (b *billedClient) sendWithRetries(h *entryHost, key, model string, c call, mustSucceed bool) {
	var ids []string
	for range maxAttempts {
		a, err := c.send(h)
		ids = append(ids, a.get("Quetzalweir-Request-Id"))
		if err == nil && a.status == http.StatusOK {
			b.charges.add(key, model, a, ids)
			return
		}
		if !mustSucceed {
			return
		}
		if err != nil || a.get("Retry-After") == "" {
			b.s.t.Errorf("%s on %s: status %d %s %v", c.body, h.id, a.status, a.body, err)
			return
		}
		time.Sleep(retryInterval)
	}
	b.s.t.Errorf("%s on %s: no answer", c.body, h.id)
}

// sendToAllHosts sends n chats with keys, each to all hosts concurrently, like a
// client library that hedges requests.
func (b *billedClient) sendToAllHosts(n int) {
	var wait sync.WaitGroup
	for i := range n {
		key := fmt.Sprintf("everywhere-%d", i)
		for _, h := range b.s.hosts {
			c := chat("large", key+" tokens=20", false).with("Quetzalweir-Request-Key", key)
			wait.Go(func() { b.sendWithRetries(h, key, "large", c, true) })
		}
	}
	wait.Wait()
}

// sendDuringCuts sends chats while engines cut connections. A chat that fails
// must not be charged.
func (b *billedClient) sendDuringCuts(h *entryHost) {
	b.s.setEngineFaults(engine.Faults{Cut: cut.Plan{At: cut.BeforeAnswer, Times: 6}})
	defer b.s.setEngineFaults(engine.Faults{})
	var wait sync.WaitGroup
	for i := range requestsPerStep {
		wait.Go(func() { b.sendWithRetries(h, "", "large", chat("large", fmt.Sprintf("failing %d", i), false), false) })
	}
	wait.Wait()
}

// TestOneBillForEachAnswer checks that the ledger has exactly one bill for each
// answer. It kills hosts right after they sent answers, also during an outage of
// the table, freezes a host until others have written its bills, loses responses
// of the table, and sends requests with one key to several hosts.
func TestOneBillForEachAnswer(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 4)
	head := s.submit(devenv.Manifest())
	s.waitUpstreams()
	b := &billedClient{s: s, charges: &charges{t: t, byID: map[string]*charge{}}}

	b.sendAllKinds(s.hosts[0])
	s.replaceHost(0)
	s.waitReady()
	s.addPlatformFaults(platformd.Faults{LoseNext: pointer(6)})
	b.sendAllKinds(s.hosts[1])
	s.addPlatformFaults(platformd.Faults{DelayNext: pointer(4), DelayNextMS: 1200})
	b.sendAllKinds(s.hosts[2])
	b.sendToAllHosts(5)
	b.sendDuringCuts(s.hosts[0])

	// The bills are written only after the outage, by the hosts that have copies
	// of them. The killed and the frozen host are in the same zone, so that
	// neither has copies of the other's bills.
	killed, frozen := s.hosts[0], s.hosts[3]
	s.addPlatformFaults(platformd.Faults{Down: pointer(true)})
	b.sendChats(killed)
	b.sendChats(frozen)
	frozen.freeze()
	b.sendChats(s.hosts[2])
	killed.kill()
	time.Sleep(time.Second)
	s.clearPlatformFaults()
	b.waitForLedger(head.Epoch, s.hosts[1])

	// The thawed host still has the bills that other hosts have written.
	frozen.thaw()
	s.replaceHost(0)
	s.waitReady()
	for _, h := range s.hosts {
		b.sendAllKinds(h)
	}
	b.waitForLedger(head.Epoch, frozen)
}

// sendChats is like sendAllKinds but sends no bids, which need the table.
func (b *billedClient) sendChats(h *entryHost) {
	var wait sync.WaitGroup
	for range requestsPerStep {
		b.sent++
		c := chat("large", fmt.Sprintf("billed %d tokens=5", b.sent), b.sent%2 == 0)
		wait.Go(func() { b.sendWithRetries(h, "", "large", c, true) })
	}
	wait.Wait()
}

// waitForLedger waits until the ledger that a host returns matches the charges.
func (b *billedClient) waitForLedger(epoch uint64, h *entryHost) {
	b.s.t.Helper()
	var found []string
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		var trace entry.EpochTrace
		if err := b.s.operatorGet(h, fmt.Sprintf("/v1/trace/epochs/%d", epoch), &trace); err != nil {
			found = []string{err.Error()}
		} else if found = checkLedger(b.charges.byID, trace.Bills); len(found) == 0 {
			b.s.t.Logf("%d bills for %d answers", len(trace.Bills), len(b.charges.byID))
			return
		}
		time.Sleep(balancerInterval)
	}
	b.s.t.Fatal(formatFindings(found))
}

// TestCheckLedgerRejects checks that checkLedger reports each kind of violation.
func TestCheckLedgerRejects(t *testing.T) {
	bill := func(cost int64) ledger.Bill {
		return ledger.Bill{ID: "b", RequestID: "r", CostMicro: cost, Steps: []ledger.Step{{CostMicro: cost}}}
	}
	otherRequest := bill(0)
	otherRequest.RequestID = "another"
	failed := ledger.Bill{ID: "f", Code: int(resultcode.OutcomeUnknown)}
	charged := ledger.Bill{ID: "f", Code: int(resultcode.OutcomeUnknown), CostMicro: 1}
	wrongSteps := bill(5)
	wrongSteps.Steps[0].CostMicro = 4
	tests := []struct {
		desc  string
		cost  int64
		bills []ledger.Bill
		want  int
	}{
		{desc: "one bill", cost: 5, bills: []ledger.Bill{bill(5)}},
		{desc: "a failure without a charge", cost: 5, bills: []ledger.Bill{bill(5), failed}},
		{desc: "no bill", want: 1},
		{desc: "no bill and the sum", cost: 5, want: 2},
		{desc: "twice", bills: []ledger.Bill{bill(0), bill(0)}, want: 1},
		{desc: "another price", cost: 5, bills: []ledger.Bill{bill(6)}, want: 2},
		{desc: "another request's", bills: []ledger.Bill{otherRequest}, want: 1},
		{desc: "a charge for a failure", cost: 5, bills: []ledger.Bill{bill(5), charged}, want: 2},
		{desc: "steps of another sum", cost: 5, bills: []ledger.Bill{wrongSteps}, want: 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			want := map[string]*charge{"b": {billID: "b", requests: map[string]bool{"r": true}, costMicro: test.cost}}
			if found := checkLedger(want, test.bills); len(found) != test.want {
				t.Errorf("found %q", found)
			}
		})
	}
}
