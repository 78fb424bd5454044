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

// mixedFault is a kind of fault of the mixed run. begin starts the fault and returns
// the function that ends it, or nil if it ends by itself.
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

// faultShuffle returns the faults in a random order: each once before any is repeated.
type faultShuffle struct {
	random    *rand.Rand
	all       []mixedFault
	remaining []int
}

func (d *faultShuffle) next() mixedFault {
	if len(d.remaining) == 0 {
		d.remaining = d.random.Perm(len(d.all))
	}
	i := d.remaining[0]
	d.remaining = d.remaining[1:]
	return d.all[i]
}

// schedule injects faults for a duration, two or three at a time and sometimes one of
// them twice. In the first rounds sessions are shifted to another version, a version
// is withdrawn, and two engines leave; the rest of the run shows whether the withdrawn
// version and these engines still get requests.
func (m *mixed) schedule(r *rand.Rand, duration time.Duration) {
	steps := []func(){m.shift, m.withdraw, m.makeEngineLeave, m.makeEngineLeave}
	faults := &faultShuffle{random: r, all: mixedFaults()}
	began := time.Now()
	for round := 0; time.Since(began) < duration; round++ {
		m.startNextChange(&steps, round)
		var ends []func()
		first := faults.next()
		ends = append(ends, m.begin(first, r))
		for range 1 + r.IntN(2) {
			ends = append(ends, m.begin(faults.next(), r))
		}
		sleepAbout(r, 1200)
		if r.IntN(3) == 0 {
			ends = append(ends, m.begin(first, r))
			sleepAbout(r, 600)
		}
		for _, end := range ends {
			end()
		}
		sleepAbout(r, 600)
	}
}

// sleepAbout sleeps for a random time between half and one and a half of ms
// milliseconds.
func sleepAbout(r *rand.Rand, ms int) {
	time.Sleep(time.Duration(ms/2+r.IntN(ms)) * time.Millisecond)
}

// startNextChange queues the next of the steps, or, if no step is left, a manifest that
// differs only in its build label. It doesn't wait for the change, so that the change
// coincides with the faults of the round.
func (m *mixed) startNextChange(steps *[]func(), round int) {
	next := func() {
		m.submitUntilAccepted(edit(m.s.t, m.current, func(doc *manifest.Document) { doc.Build = fmt.Sprintf("round %d", round) }))
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

// impair records a fault that may keep a host from receiving new manifests.
func (m *mixed) impair(id string) {
	m.impaired[id]++
	if m.impaired[id] == 1 {
		m.timeline.add(history.Event{Kind: history.HostImpaired, Host: id})
	}
}

func (m *mixed) recover(id string) {
	m.impaired[id]--
	if m.impaired[id] == 0 {
		m.timeline.add(history.Event{Kind: history.HostHealed, Host: id})
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
	m.timeline.add(history.Event{Kind: history.HostGone, Host: old.id})
	m.killed = append(m.killed, old)
	fresh := m.s.replaceHost(i)
	m.hosts.remove(old)
	m.hosts.add(fresh)
	m.timeline.add(history.Event{Kind: history.HostStarted, Host: fresh.id})
	if m.impaired[fresh.id] > 0 {
		m.timeline.add(history.Event{Kind: history.HostImpaired, Host: fresh.id})
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
	m.s.addPlatformFaults(platformd.Faults{Down: pointer(true), ObjectsDown: pointer(true)})
	return func() {
		m.s.addPlatformFaults(platformd.Faults{Down: pointer(false), ObjectsDown: pointer(false)})
		m.recoverAll()
	}
}

func (m *mixed) tableSlow(r *rand.Rand) func() {
	m.impairAll()
	m.s.addPlatformFaults(platformd.Faults{DelayMS: pointer(100 + r.Int64N(900))})
	return func() {
		m.s.addPlatformFaults(platformd.Faults{DelayMS: pointer[int64](0)})
		m.recoverAll()
	}
}

func (m *mixed) tableLoses(r *rand.Rand) func() {
	n := 3 + r.IntN(12)
	switch r.IntN(3) {
	case 0:
		m.s.addPlatformFaults(platformd.Faults{LoseNext: &n})
	case 1:
		m.s.addPlatformFaults(platformd.Faults{DropNext: &n})
	default:
		m.s.addPlatformFaults(platformd.Faults{DelayNext: &n, DelayNextMS: 200 + r.Int64N(1000)})
	}
	return nil
}

func randomCut(r *rand.Rand) cut.Plan {
	all := cut.Boundaries()
	return cut.Plan{At: all[r.IntN(len(all))], Times: 3 + r.IntN(10), Frames: r.IntN(4)}
}

func (m *mixed) enginesCut(r *rand.Rand) func() {
	m.setEngineFaults(engine.Faults{Cut: randomCut(r)})
	return func() { m.setEngineFaults(engine.Faults{}) }
}

func (m *mixed) enginesCross(r *rand.Rand) func() {
	n := func() int { return 2 + r.IntN(5) }
	m.setEngineFaults(engine.Faults{CrossEvery: n(), LateEvery: n(), LateBy: n(), DuplicateEvery: n(), ReorderEvery: n(), LoseEvery: 5 + n()})
	return func() { m.setEngineFaults(engine.Faults{}) }
}

// setEngineFaults sets the faults of all engines. Engines that leave keep that state.
func (m *mixed) setEngineFaults(f engine.Faults) {
	m.engineMu.Lock()
	defer m.engineMu.Unlock()
	m.engineFaults = f
	m.applyEngineFaults()
}

func (m *mixed) applyEngineFaults() {
	for i, e := range m.s.engines {
		f := m.engineFaults
		f.Leaving = m.leavingEngines[i]
		m.s.setFaults(e.address, f)
	}
}

func (m *mixed) servicesCut(r *rand.Rand) func() {
	m.s.setServiceFaults(service.Faults{Cut: randomCut(r), Crossed: r.IntN(4), SlowMs: r.Int64N(300)})
	return func() { m.s.setServiceFaults(service.Faults{}) }
}

func (m *mixed) shift() { m.submitUntilAccepted(edit(m.s.t, m.current, shiftToV2)) }

func (m *mixed) withdraw() { m.submitUntilAccepted(edit(m.s.t, m.current, withdrawV1)) }

// makeEngineLeave makes the last engine that isn't leaving leave. The engine reports
// itself as leaving, and operators inform one host.
func (m *mixed) makeEngineLeave() {
	id := m.markNextLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	path := strings.Replace(entry.PathLeaving, "{upstream}", id, 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.hosts.last().operatorAddr+path, nil)
	if err == nil {
		// The request may fail if the host is isolated or was killed: the engine reports
		// that it leaves, too.
		_ = m.s.sendToOperatorAPI(req, nil)
	}
}

func (m *mixed) markNextLeaving() string {
	m.engineMu.Lock()
	defer m.engineMu.Unlock()
	i := len(m.s.engines) - 1 - len(m.leavingEngines)
	id := fmt.Sprintf("engine-%d", i+1)
	m.timeline.add(history.Event{Kind: history.UpstreamLeaving, Upstream: id})
	m.leavingEngines[i] = true
	m.applyEngineFaults()
	return id
}
