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

// expectation is what the state machine knows of a key.
type expectation struct {
	owner *claim.Claim
	host  int
	runs  int
	// body is the answer once Finish was called.
	body []byte
	// lost says that MayHaveRun was called.
	lost bool
}

// machine drives two hosts, one call at a time, through faults of the table.
type machine struct {
	world  *world
	stores []*claim.Store
	keys   map[claim.Key]*expectation
	broken bool
}

func newMachine() *machine {
	w := newWorld(claim.Options{})
	m := &machine{world: w, stores: []*claim.Store{w.a, w.b}, keys: make(map[claim.Key]*expectation)}
	for i := range 3 {
		m.keys[claim.Key{Account: "a", RequestKey: fmt.Sprint(i)}] = &expectation{}
	}
	return m
}

func drawKey(t *rapid.T) claim.Key {
	return claim.Key{Account: "a", RequestKey: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))}
}

// acquire claims a key at a host, runs it if it may, and checks the answer.
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
			t.Fatalf("%v got %q, not %q", key, done.Result.Body, want.body)
		}
	case errors.Is(err, claim.ErrReused):
		t.Fatalf("%v: %v", key, err)
	}
	if m.broken {
		return
	}
	m.checkSettled(t, want, err)
}

// checkSettled checks an answer while the table is well and nothing pends.
func (m *machine) checkSettled(t *rapid.T, want *expectation, err error) {
	if m.stores[0].Pending()+m.stores[1].Pending() > 0 {
		return
	}
	expected := "in flight"
	switch {
	case err == nil:
		return
	case want.body != nil:
		expected = "done"
	case want.lost:
		expected = "may have run"
	case want.owner == nil:
		t.Fatalf("free key refused: %v", err)
	}
	if describe(err) != expected {
		t.Fatalf("told %q instead of %q", describe(err), expected)
	}
}

// settle ends the claim of a key that has an owner.
func (m *machine) settle(t *rapid.T) {
	want := m.keys[drawKey(t)]
	if want.owner == nil || want.body != nil || want.lost {
		t.Skip("no open claim")
	}
	ctx := context.Background()
	switch rapid.SampledFrom([]string{"finish", "lose", "release"}).Draw(t, "outcome") {
	case "finish":
		want.runs++
		want.body = []byte(fmt.Sprintf("answer %p", want))
		_ = want.owner.Finish(ctx, claim.Result{Body: want.body})
	case "lose":
		want.runs++
		want.lost = true
		_ = want.owner.MayHaveRun(ctx)
	default:
		_ = want.owner.Release(ctx)
		want.owner = nil
	}
}

// faults are the table's, after which an answer may be less than the best.
func (m *machine) faults() map[string]func(*rapid.T) {
	actions := storagetest.FaultActions(m.world.table)
	for name, set := range actions {
		actions[name] = func(t *rapid.T) {
			m.broken = true
			set(t)
		}
	}
	return actions
}

// heal ends the faults and lets both hosts record their outcomes.
func (m *machine) heal(t *rapid.T) {
	m.world.table.Heal()
	m.broken = false
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
		actions["settle"] = m.settle
		actions["heal"] = m.heal
		t.Repeat(actions)
	})
}
