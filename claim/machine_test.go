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

// expectedKeyState is the expected state of a key. host is the number of the host that
// claimed the key, and runs the number of runs of its request.
type expectedKeyState struct {
	owner *claim.Claim
	host  int
	runs  int
	// body is the response body. It is nil until Finish was called.
	body []byte
	// outcomeUnknown is true once MayHaveRun was called.
	outcomeUnknown bool
}

// machine is a state machine test of two hosts with table faults. Calls aren't
// concurrent.
type machine struct {
	platform       *testPlatform
	stores         []*claim.Store
	expectedStates map[claim.Key]*expectedKeyState
	faultsActive   bool
}

func newMachine() *machine {
	p := newTestPlatform(claim.Options{})
	m := &machine{platform: p, stores: []*claim.Store{p.a, p.b}, expectedStates: make(map[claim.Key]*expectedKeyState)}
	for i := range 3 {
		m.expectedStates[claim.Key{Account: "a", RequestKey: fmt.Sprint(i)}] = &expectedKeyState{}
	}
	return m
}

func drawKey(t *rapid.T) claim.Key {
	return claim.Key{Account: "a", RequestKey: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))}
}

// acquire claims a key on a host and checks the result.
func (m *machine) acquire(t *rapid.T) {
	key, host := drawKey(t), rapid.IntRange(0, 1).Draw(t, "host")
	want := m.expectedStates[key]
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
func (m *machine) checkResult(t *rapid.T, want *expectedKeyState, err error) {
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
	want := m.expectedStates[drawKey(t)]
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

// faultActions returns the actions that inject table faults. They set faultsActive, since
// Acquire may then return less specific errors than checkResult expects.
func (m *machine) faultActions() map[string]func(*rapid.T) {
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
		actions := m.faultActions()
		actions["acquire"] = m.acquire
		actions["settle"] = m.setOutcome
		actions["heal"] = m.clearFaults
		t.Repeat(actions)
	})
}
