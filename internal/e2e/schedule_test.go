package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/history"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// mixedFault begins a fault and returns what ends it; nil if it ends itself.
type mixedFault struct {
	name  string
	begin func(m *mixed, r *rand.Rand) (end func())
}

func mixedFaults() []mixedFault {
	return []mixedFault{
		{"kill", (*mixed).kill},
		{"freeze", (*mixed).freeze},
		{"cut platform", (*mixed).cutPlatform},
		{"cut peers", (*mixed).cutPeers},
		{"table down", (*mixed).tableDown},
		{"table slow", (*mixed).tableSlow},
		{"table loses", (*mixed).tableLoses},
		{"engines cut", (*mixed).enginesCut},
		{"engines cross", (*mixed).enginesCross},
		{"services cut", (*mixed).servicesCut},
	}
}

// deck deals the faults in a random order, each once before any comes again.
type deck struct {
	random *rand.Rand
	all    []mixedFault
	left   []int
}

func (d *deck) next() mixedFault {
	if len(d.left) == 0 {
		d.left = d.random.Perm(len(d.all))
	}
	i := d.left[0]
	d.left = d.left[1:]
	return d.all[i]
}

// schedule has two or three faults at a time, sometimes one of them twice, and
// ends them all. Meanwhile a version is shifted and withdrawn, and two engines
// leave, early enough that the rest of the run shows whether they get work.
func (m *mixed) schedule(r *rand.Rand, duration time.Duration) {
	steps := []func(){m.shift, m.withdraw, m.leave, m.leave}
	faults := &deck{random: r, all: mixedFaults()}
	began := time.Now()
	for round := 0; time.Since(began) < duration; round++ {
		m.step(&steps, round)
		var ends []func()
		first := faults.next()
		ends = append(ends, m.begin(first, r))
		for range 1 + r.IntN(2) {
			ends = append(ends, m.begin(faults.next(), r))
		}
		rest(r, 1200)
		if r.IntN(3) == 0 {
			ends = append(ends, m.begin(first, r))
			rest(r, 600)
		}
		for _, end := range ends {
			end()
		}
		rest(r, 600)
	}
}

// rest sleeps for about the time.
func rest(r *rand.Rand, ms int) {
	time.Sleep(time.Duration(ms/2+r.IntN(ms)) * time.Millisecond)
}

// step does the next planned change, or submits a manifest that changes nothing
// but its build. It doesn't wait, so that the change meets the faults.
func (m *mixed) step(steps *[]func(), round int) {
	next := func() {
		m.accept(edit(m.s.t, m.current, func(doc *manifest.Document) { doc.Build = fmt.Sprintf("round %d", round) }))
	}
	if len(*steps) > 0 {
		next, *steps = (*steps)[0], (*steps)[1:]
	}
	m.changes <- next
}

func (m *mixed) begin(f mixedFault, r *rand.Rand) func() {
	m.faults[f.name]++
	end := f.begin(m, r)
	if end == nil {
		return func() {}
	}
	return end
}

// impair records that a host isn't expected to learn of manifests.
func (m *mixed) impair(id string) {
	m.impaired[id]++
	if m.impaired[id] == 1 {
		m.line.add(history.Event{Kind: history.HostImpaired, Host: id})
	}
}

func (m *mixed) recover(id string) {
	m.impaired[id]--
	if m.impaired[id] == 0 {
		m.line.add(history.Event{Kind: history.HostHealed, Host: id})
	}
}

func (m *mixed) impairAll() {
	for _, h := range m.s.hosts {
		m.impair(h.id)
	}
}

func (m *mixed) recoverAll() {
	for _, h := range m.s.hosts {
		m.recover(h.id)
	}
}

func (m *mixed) kill(r *rand.Rand) func() {
	i := r.IntN(len(m.s.hosts))
	old := m.s.hosts[i]
	m.line.add(history.Event{Kind: history.HostGone, Host: old.id})
	m.killed = append(m.killed, old)
	fresh := m.s.replace(i)
	m.hosts.remove(old)
	m.hosts.add(fresh)
	m.line.add(history.Event{Kind: history.HostStarted, Host: fresh.id})
	if m.impaired[fresh.id] > 0 {
		m.line.add(history.Event{Kind: history.HostImpaired, Host: fresh.id})
	}
	return nil
}

func (m *mixed) freeze(r *rand.Rand) func() {
	h := m.s.hosts[r.IntN(len(m.s.hosts))]
	m.impair(h.id)
	h.freeze()
	return func() {
		h.thaw()
		m.recover(h.id)
	}
}

func (m *mixed) cutPlatform(r *rand.Rand) func() {
	h := m.s.hosts[r.IntN(len(m.s.hosts))]
	m.impair(h.id)
	h.toPlatform.cutAll()
	return func() {
		h.toPlatform.heal()
		m.recover(h.id)
	}
}

func (m *mixed) cutPeers(r *rand.Rand) func() {
	m.impairAll()
	m.s.cutPeers(m.s.hosts[r.IntN(len(m.s.hosts))])
	return func() {
		m.s.healPeers()
		m.recoverAll()
	}
}

func (m *mixed) tableDown(*rand.Rand) func() {
	m.impairAll()
	m.s.tableFaults(platformd.Faults{Down: to(true), ObjectsDown: to(true)})
	return func() {
		m.s.tableFaults(platformd.Faults{Down: to(false), ObjectsDown: to(false)})
		m.recoverAll()
	}
}

func (m *mixed) tableSlow(r *rand.Rand) func() {
	m.impairAll()
	m.s.tableFaults(platformd.Faults{DelayMS: to(100 + r.Int64N(900))})
	return func() {
		m.s.tableFaults(platformd.Faults{DelayMS: to[int64](0)})
		m.recoverAll()
	}
}

func (m *mixed) tableLoses(r *rand.Rand) func() {
	n := 3 + r.IntN(12)
	switch r.IntN(3) {
	case 0:
		m.s.tableFaults(platformd.Faults{LoseNext: &n})
	case 1:
		m.s.tableFaults(platformd.Faults{DropNext: &n})
	default:
		m.s.tableFaults(platformd.Faults{DelayNext: &n, DelayNextMS: 200 + r.Int64N(1000)})
	}
	return nil
}

func anyCut(r *rand.Rand) cut.Plan {
	all := cut.Boundaries()
	return cut.Plan{At: all[r.IntN(len(all))], Times: 3 + r.IntN(10), Frames: r.IntN(4)}
}

func (m *mixed) enginesCut(r *rand.Rand) func() {
	m.setEngines(engine.Faults{Cut: anyCut(r)})
	return func() { m.setEngines(engine.Faults{}) }
}

func (m *mixed) enginesCross(r *rand.Rand) func() {
	n := func() int { return 2 + r.IntN(5) }
	m.setEngines(engine.Faults{CrossEvery: n(), LateEvery: n(), LateBy: n(), DuplicateEvery: n(), ReorderEvery: n(), LoseEvery: 5 + n()})
	return func() { m.setEngines(engine.Faults{}) }
}

// setEngines sets the faults of all engines; those that leave go on leaving.
func (m *mixed) setEngines(f engine.Faults) {
	m.leaving.Lock()
	defer m.leaving.Unlock()
	m.engineFaults = f
	m.applyEngines()
}

func (m *mixed) applyEngines() {
	for i, e := range m.s.engines {
		f := m.engineFaults
		f.Leaving = m.left[i]
		m.s.fault(e.address, f)
	}
}

func (m *mixed) servicesCut(r *rand.Rand) func() {
	m.s.serviceFaults(service.Faults{Cut: anyCut(r), Crossed: r.IntN(4), SlowMs: r.Int64N(300)})
	return func() { m.s.serviceFaults(service.Faults{}) }
}

func (m *mixed) shift() { m.accept(edit(m.s.t, m.current, shift)) }

func (m *mixed) withdraw() { m.accept(edit(m.s.t, m.current, withdrawV1)) }

// leave has the last engine that stays leave; it says so itself, and the
// operators tell one host.
func (m *mixed) leave() {
	id := m.leaveNext()
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	path := strings.Replace(entry.PathLeaving, "{upstream}", id, 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.hosts.last().operators+path, nil)
	if err == nil {
		// A host that is cut off or gone doesn't matter: the engine says it too.
		_ = m.s.operator(req, nil)
	}
}

func (m *mixed) leaveNext() string {
	m.leaving.Lock()
	defer m.leaving.Unlock()
	i := len(m.s.engines) - 1 - len(m.left)
	id := fmt.Sprintf("engine-%d", i+1)
	m.line.add(history.Event{Kind: history.UpstreamLeaving, Upstream: id})
	m.left[i] = true
	m.applyEngines()
	return id
}
