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

// charge is what a caller owes for one whole answer.
type charge struct {
	// billID is the account and request key, or the request's id.
	billID string
	// requests are the ids of the requests that led to the answer: several if
	// the caller sent it several times.
	requests map[string]bool
	// costMicro is the price of the tokens in the answer; unknown for a
	// cascade, whose earlier steps the caller doesn't see.
	costMicro int64
	unknown   bool
}

// charges collects what callers owe; it is safe for concurrent use.
type charges struct {
	t    *testing.T
	mu   sync.Mutex
	byID map[string]*charge
}

// add notes a caller's whole answer. ids are of the requests that led to it.
func (c *charges) add(key, model string, a answer, ids []string) {
	ch := charge{billID: a.get("Quetzalweir-Request-Id"), requests: map[string]bool{}}
	for _, id := range ids {
		ch.requests[id] = true
	}
	if key != "" {
		ch.billID = "dev/" + key
	}
	if model == "ask" {
		ch.unknown = true
	} else if model != "" {
		ch.costMicro = price(c.t, model, a.body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.byID[ch.billID]; other != nil {
		maps.Copy(other.requests, ch.requests)
		return
	}
	c.byID[ch.billID] = &ch
}

// price is what the sample manifest asks for an answer's tokens.
func price(t *testing.T, model, body string) int64 {
	t.Helper()
	doc, err := manifest.Parse(devenv.Manifest())
	if err != nil {
		t.Fatal(err)
	}
	usage := usageOf(t, body)
	for _, m := range doc.Models {
		if m.Name == model {
			// All versions of a model of the sample have one price.
			v := m.Versions[0]
			return (v.PromptPrice*usage.PromptTokens + v.CompletionPrice*usage.CompletionTokens) / 1000
		}
	}
	t.Fatalf("no model %s", model)
	return 0
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// usageOf reads the usage in an answer, streamed or not.
func usageOf(t *testing.T, body string) usage {
	t.Helper()
	_, rest, ok := strings.Cut(body, `"usage":`)
	var u usage
	if !ok || json.NewDecoder(strings.NewReader(rest)).Decode(&u) != nil {
		t.Errorf("no usage in %q", body)
	}
	return u
}

// checkLedger compares the ledger with what callers got: one bill for each
// whole answer, with its price, and no charge for anything else.
func checkLedger(want map[string]*charge, bills []ledger.Bill) []string {
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	seen := map[string]bool{}
	var wantSum, gotSum int64
	for _, b := range bills {
		if seen[b.ID] || seen[keyOf(b.ID)] {
			report("bill %s stands twice", b.ID)
		}
		seen[b.ID], seen[keyOf(b.ID)] = true, true
		gotSum += b.CostMicro
		ch := want[keyOf(b.ID)]
		if ch == nil {
			if b.CostMicro != 0 || b.Code == int(resultcode.OK) {
				report("bill %s of request %s over %d, code %d, and no whole answer", b.ID, b.RequestID, b.CostMicro, b.Code)
			}
			continue
		}
		if ch.unknown {
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
		report("bills of %d for answers of %d", gotSum, wantSum)
	}
	return found
}

// keyOf drops what may follow the account and request key in a bill's id. Here
// no key is used with two different requests.
func keyOf(billID string) string {
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

// billed is callers that keep what they owe.
type billed struct {
	s    *system
	owes *charges
	next int
}

// billedCallers is the number of requests that a step sends at once to a host.
const billedCallers = 10

// send sends requests of all kinds to a host at once; each must be answered.
func (b *billed) send(h *entryHost) {
	b.s.t.Helper()
	var wait sync.WaitGroup
	for i := range billedCallers {
		b.next++
		prompt := fmt.Sprintf("billed %d tokens=%d", b.next, 5+i)
		key := fmt.Sprintf("billed-%d", b.next)
		model := []string{"large", "small", "ask"}[i%3]
		wait.Go(func() { b.one(h, "", model, chat(model, prompt, i%2 == 0), true) })
		wait.Go(func() { b.one(h, key, "", bid(key, `{}`), true) })
	}
	wait.Wait()
}

// one sends a request, comes back as it is told to, and notes what its answer
// costs. If must is set, there has to be one.
func (b *billed) one(h *entryHost, key, model string, c call, must bool) {
	var ids []string
	for range bidTries {
		a, err := c.send(h)
		ids = append(ids, a.get("Quetzalweir-Request-Id"))
		if err == nil && a.status == http.StatusOK {
			b.owes.add(key, model, a, ids)
			return
		}
		if !must {
			return
		}
		if err != nil || a.get("Retry-After") == "" {
			b.s.t.Errorf("%s on %s: status %d %s %v", c.body, h.id, a.status, a.body, err)
			return
		}
		time.Sleep(bidPause)
	}
	b.s.t.Errorf("%s on %s: no answer", c.body, h.id)
}

// everywhere sends one keyed chat to all hosts at once, as a caller's library
// that hedges.
func (b *billed) everywhere(n int) {
	var wait sync.WaitGroup
	for i := range n {
		key := fmt.Sprintf("everywhere-%d", i)
		for _, h := range b.s.hosts {
			c := chat("large", key+" tokens=20", false).with("Quetzalweir-Request-Key", key)
			wait.Go(func() { b.one(h, key, "large", c, true) })
		}
	}
	wait.Wait()
}

// failing sends chats while engines cut connections. Those that fail cost
// nothing.
func (b *billed) failing(h *entryHost) {
	b.s.engineFaults(engine.Faults{Cut: cut.Plan{At: cut.BeforeAnswer, Times: 6}})
	defer b.s.engineFaults(engine.Faults{})
	var wait sync.WaitGroup
	for i := range billedCallers {
		wait.Go(func() { b.one(h, "", "large", chat("large", fmt.Sprintf("failing %d", i), false), false) })
	}
	wait.Wait()
}

// TestOneBillForEachAnswer kills hosts right after they delivered answers, in
// an outage of the table too, freezes one until the others have settled its
// bills, loses answers of the table, and sends one key to several hosts. Then
// the ledger equals what callers got.
func TestOneBillForEachAnswer(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 4)
	head := s.submit(devenv.Manifest())
	s.waitUpstreams()
	b := &billed{s: s, owes: &charges{t: t, byID: map[string]*charge{}}}

	b.send(s.hosts[0])
	s.replace(0)
	s.waitReady()
	s.tableFaults(platformd.Faults{LoseNext: to(6)})
	b.send(s.hosts[1])
	s.tableFaults(platformd.Faults{DelayNext: to(4), DelayNextMS: 1200})
	b.send(s.hosts[2])
	b.everywhere(5)
	b.failing(s.hosts[0])

	// Bills reach the table only after the fault, by whoever holds copies. The
	// host that is killed and the one that is frozen are of one zone, so that
	// neither holds those of the other.
	killed, frozen := s.hosts[0], s.hosts[3]
	s.tableFaults(platformd.Faults{Down: to(true)})
	b.chats(killed)
	b.chats(frozen)
	frozen.freeze()
	b.chats(s.hosts[2])
	killed.kill()
	time.Sleep(time.Second)
	s.healTable()
	b.settled(head.Epoch, s.hosts[1])

	// The frozen host wakes and still has the bills that others settled.
	frozen.thaw()
	s.replace(0)
	s.waitReady()
	for _, h := range s.hosts {
		b.send(h)
	}
	b.settled(head.Epoch, frozen)
}

// chats is send without bids, which need the table.
func (b *billed) chats(h *entryHost) {
	var wait sync.WaitGroup
	for range billedCallers {
		b.next++
		c := chat("large", fmt.Sprintf("billed %d tokens=5", b.next), b.next%2 == 0)
		wait.Go(func() { b.one(h, "", "large", c, true) })
	}
	wait.Wait()
}

// settled waits until a host shows a ledger that equals what callers owe.
func (b *billed) settled(epoch uint64, h *entryHost) {
	b.s.t.Helper()
	var found []string
	deadline := time.Now().Add(stepTimeout)
	for time.Now().Before(deadline) {
		var trace entry.EpochTrace
		if err := b.s.get(h, fmt.Sprintf("/v1/trace/epochs/%d", epoch), &trace); err != nil {
			found = []string{err.Error()}
		} else if found = checkLedger(b.owes.byID, trace.Bills); len(found) == 0 {
			b.s.t.Logf("%d bills for %d answers", len(trace.Bills), len(b.owes.byID))
			return
		}
		time.Sleep(balancerLag)
	}
	b.s.t.Fatal(lines(found))
}

// The checker finds what it is for.
func TestCheckLedgerRejects(t *testing.T) {
	bill := func(cost int64) ledger.Bill {
		return ledger.Bill{ID: "b", RequestID: "r", CostMicro: cost, Steps: []ledger.Step{{CostMicro: cost}}}
	}
	other := bill(0)
	other.RequestID = "another"
	failed := ledger.Bill{ID: "f", Code: int(resultcode.OutcomeUnknown)}
	charged := ledger.Bill{ID: "f", Code: int(resultcode.OutcomeUnknown), CostMicro: 1}
	steps := bill(5)
	steps.Steps[0].CostMicro = 4
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
		{desc: "another request's", bills: []ledger.Bill{other}, want: 1},
		{desc: "a charge for a failure", cost: 5, bills: []ledger.Bill{bill(5), charged}, want: 2},
		{desc: "steps of another sum", cost: 5, bills: []ledger.Bill{steps}, want: 1},
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
