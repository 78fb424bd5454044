package exchange

import (
	"math/bits"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Tally counts answers of one version.
type Tally struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed,omitempty"`
	Slow    int `json:"slow,omitempty"`
	// From names the upstreams that gave bad answers: bit hash(upstream) modulo 64
	// of each.
	From uint64 `json:"from,omitempty"`
}

// Add adds another host's counts.
func (t *Tally) Add(o Tally) {
	t.Answers += o.Answers
	t.Failed += o.Failed
	t.Slow += o.Slow
	t.From |= o.From
}

// Blame notes the upstream of a bad answer.
func (t *Tally) Blame(upstream string) {
	t.From |= 1 << (hash(upstream) % 64)
}

// Sources is the number of upstreams that gave bad answers, at least: two may share a bit.
func (t *Tally) Sources() int { return bits.OnesCount64(t.From) }

// Versions are the answers of the version that is rolled out and of the one before.
type Versions struct {
	Old Tally `json:"old"`
	New Tally `json:"new"`
}

// Add adds another host's counts.
func (v *Versions) Add(o Versions) {
	v.Old.Add(o.Old)
	v.New.Add(o.New)
}

// Evidence is what hosts saw of a roll-out.
type Evidence struct {
	Service string `json:"service"`
	// Order is the store's revision of the operators' order; evidence of
	// different orders isn't added.
	Order storage.Revision `json:"order"`
	// Routes are the counts by route.
	Routes map[string]Versions `json:"routes"`
}

// evidenceOf names what evidence is about.
type evidenceOf struct {
	service string
	order   storage.Revision
}

// addEvidence adds evidence to the sums.
func addEvidence(sums map[evidenceOf]map[string]Versions, list []Evidence) {
	for _, e := range list {
		of := evidenceOf{e.Service, e.Order}
		if sums[of] == nil {
			sums[of] = make(map[string]Versions)
		}
		for route, counts := range e.Routes {
			sum := sums[of][route]
			sum.Add(counts)
			sums[of][route] = sum
		}
	}
}

// evidence is what all hosts but one, of any zone, saw of the roll-outs under way.
func (h *hub) evidence(self string, who audience) []Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	sums := make(map[evidenceOf]map[string]Versions)
	for host, got := range h.reports {
		if host != self && who.hears(got) {
			addEvidence(sums, got.report.Evidence)
		}
	}
	var list []Evidence
	for of, routes := range sums {
		list = append(list, Evidence{Service: of.service, Order: of.order, Routes: routes})
	}
	return list
}
