package claim_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/claim"
	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// expectation is the expected state of a key. host is the number of the host that
// claimed the key, and runs the number of runs of its request.
type expectation struct {
	owner *claim.Claim
	host  int
	runs  int
	// body is the response body; nil until Finish was called.
	body []byte
	// outcomeUnknown is true once MayHaveRun was called.
	outcomeUnknown bool
}

// machine is a state machine test of two hosts with table faults. Calls aren't
// concurrent.
type machine struct {
	platform     *testPlatform
	stores       []*claim.Store
	keys         map[claim.Key]*expectation
	faultsActive bool
}

func newMachine() *machine {
	p := newTestPlatform(claim.Options{})
	m := &machine{platform: p, stores: []*claim.Store{p.a, p.b}, keys: make(map[claim.Key]*expectation)}
	for i := range 3 {
		m.keys[claim.Key{Account: "a", RequestKey: fmt.Sprint(i)}] = &expectation{}
	}
	return m
}

func drawKey(t *rapid.T) claim.Key {
	return claim.Key{Account: "a", RequestKey: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))}
}

// acquire claims a key on a host and checks the result.
func (m *machine) acquire(t *rapid.T) {
	key, host := drawKey(t), rapid.IntRange(0, 1).Draw(t, "host")
	want := m.keys[key]
	c, err := m.stores[host].Acquire(context.Background(), key, testDigest, "req")
	var done *claim.DoneError
	switch {
	case err == nil:
		if want.owner != nil || want.runs > 0 {
			t.Fatalf("%v was claimed again", key)
		}
		want.owner, want.host = c, host
	case errors.As(err, &done):
		if want.body == nil || string(done.Result.Body) != string(want.body) {
			t.Fatalf("%v: got body %q, want %q", key, done.Result.Body, want.body)
		}
	case errors.Is(err, claim.ErrKeyReused):
		t.Fatalf("%v: %v", key, err)
	}
	if m.faultsActive {
		return
	}
	m.checkResult(t, want, err)
}

// checkResult checks the exact result of Acquire unless writes are pending. It is
// called only while there are no faults.
func (m *machine) checkResult(t *rapid.T, want *expectation, err error) {
	if m.stores[0].Pending()+m.stores[1].Pending() > 0 {
		return
	}
	expected := "in flight"
	switch {
	case err == nil:
		return
	case want.body != nil:
		expected = "done"
	case want.outcomeUnknown:
		expected = "may have run"
	case want.owner == nil:
		t.Fatalf("unclaimed key rejected: %v", err)
	}
	if describeAcquire(err) != expected {
		t.Fatalf("got %q, want %q", describeAcquire(err), expected)
	}
}

// setOutcome sets the outcome of a claimed key.
func (m *machine) setOutcome(t *rapid.T) {
	want := m.keys[drawKey(t)]
	if want.owner == nil || want.body != nil || want.outcomeUnknown {
		t.Skip("no open claim")
	}
	ctx := context.Background()
	switch rapid.SampledFrom([]string{"finish", "lose", "release"}).Draw(t, "outcome") {
	case "finish":
		want.runs++
		want.body = []byte(fmt.Sprintf("response %p", want))
		_ = want.owner.Finish(ctx, claim.Result{Body: want.body})
	case "lose":
		want.runs++
		want.outcomeUnknown = true
		_ = want.owner.MayHaveRun(ctx)
	default:
		_ = want.owner.Release(ctx)
		want.owner = nil
	}
}

// faults returns the actions that inject table faults. They set faultsActive, since
// Acquire may then return less specific errors than checkResult expects.
func (m *machine) faults() map[string]func(*rapid.T) {
	actions := storagetest.FaultActions(m.platform.table)
	for name, set := range actions {
		actions[name] = func(t *rapid.T) {
			m.faultsActive = true
			set(t)
		}
	}
	return actions
}

// clearFaults ends the faults and flushes the pending writes of both hosts.
func (m *machine) clearFaults(t *rapid.T) {
	m.platform.table.ClearFaults()
	m.faultsActive = false
	for _, s := range m.stores {
		if err := s.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		actions := m.faults()
		actions["acquire"] = m.acquire
		actions["settle"] = m.setOutcome
		actions["heal"] = m.clearFaults
		t.Repeat(actions)
	})
}
