package balance

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// poolModel is the reference model of a pool. Its host lists may be outdated, and
// upstreams may disappear from them and return.
type poolModel struct {
	pool        *Pool
	clock       *fakeClock
	ids         []string
	leaving     map[string]bool
	absentSince map[string]time.Time // zero while listed
	inFlight    map[string]int
	version     uint64
}

func newPoolModel() *poolModel {
	m := &poolModel{
		clock:       &fakeClock{now: start},
		ids:         []string{"a", "b", "c"},
		leaving:     map[string]bool{},
		absentSince: map[string]time.Time{},
		inFlight:    map[string]int{},
	}
	m.pool = NewPool(Options{Host: "entry-1", Zone: "a", Clock: m.clock.Now, Seed: 1})
	m.update(m.ids)
	return m
}

// update applies a host list that reports every listed upstream as live.
func (m *poolModel) update(listed []string) {
	var list []storage.Host
	for _, id := range m.ids {
		absentAt := m.absentSince[id]
		if !slices.Contains(listed, id) {
			m.markAbsent(id, absentAt)
			continue
		}
		list = append(list, newHost(id))
		if m.incarnationEnded(id) {
			m.leaving[id] = false
			m.inFlight[id] = 0
		}
		delete(m.absentSince, id)
	}
	m.pool.Update(list)
	for _, id := range listed {
		m.pool.Report(id, newLoad(0), m.clock.now)
	}
}

// incarnationEnded reports whether the upstream's return would be a new
// incarnation.
func (m *poolModel) incarnationEnded(id string) bool {
	absentAt := m.absentSince[id]
	return !absentAt.IsZero() && m.clock.now.Sub(absentAt) >= DefaultAbsentFor
}

// setLeaving applies a leaving fact to the pool and to the model. A fact that
// arrives after the end of an incarnation applies to the next one, which isn't
// listed yet.
func (m *poolModel) setLeaving(id string) {
	m.version++
	m.pool.SetLeaving(id, m.version)
	m.leaving[id] = true
	if m.incarnationEnded(id) {
		m.absentSince[id] = m.clock.now
		m.inFlight[id] = 0
	}
}

func (m *poolModel) markAbsent(id string, since time.Time) {
	if since.IsZero() {
		m.absentSince[id] = m.clock.now
	}
}

func (m *poolModel) check(t *rapid.T) {
	for _, u := range m.pool.View() {
		if u.Leaving != m.leaving[u.ID] {
			t.Fatalf("%s: leaving is %v", u.ID, u.Leaving)
		}
		if u.InFlight != m.inFlight[u.ID] {
			t.Fatalf("%s: %d in flight, want %d", u.ID, u.InFlight, m.inFlight[u.ID])
		}
	}
	choice, ok := m.pool.Choose(modelRequest)
	if ok && (m.leaving[choice.Upstream.ID] || !m.absentSince[choice.Upstream.ID].IsZero()) {
		t.Fatalf("chose %s, which is leaving or absent", choice.Upstream.ID)
	}
}

func (m *poolModel) begin(t *rapid.T, id string) {
	want := !m.leaving[id] && m.absentSince[id].IsZero()
	if begun := m.pool.Begin(id); begun != want {
		t.Fatalf("Begin(%q) returned %v", id, begun)
	}
	if want {
		m.inFlight[id]++
	}
}

func TestLeavingPersistsDespiteOutdatedLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel()
		drawID := func(t *rapid.T) string { return rapid.SampledFrom(m.ids).Draw(t, "id") }
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				m.update(rapid.SliceOfDistinct(rapid.SampledFrom(m.ids), rapid.ID[string]).Draw(t, "listed"))
			},
			"advance": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(0, 50).Draw(t, "seconds")) * time.Second)
			},
			"leave": func(t *rapid.T) { m.setLeaving(drawID(t)) },
			"begin": func(t *rapid.T) { m.begin(t, drawID(t)) },
			"end": func(t *rapid.T) {
				if id := drawID(t); m.inFlight[id] > 0 {
					m.pool.End(id, Outcome{})
					m.inFlight[id]--
				}
			},
			"": m.check,
		})
	})
}
