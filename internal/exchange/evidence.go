package exchange

import (
	"math/bits"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Tally counts the answers of one version.
type Tally struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed,omitempty"`
	Slow    int `json:"slow,omitempty"`
	// From marks the upstreams that gave bad answers: each sets the bit hash(upstream) modulo
	// 64.
	From uint64 `json:"from,omitempty"`
}

// Add adds another host's counts.
func (t *Tally) Add(o Tally) {
	t.Answers += o.Answers
	t.Failed += o.Failed
	t.Slow += o.Slow
	t.From |= o.From
}

// AddSource records the upstream of a bad answer.
func (t *Tally) AddSource(upstream string) {
	t.From |= 1 << (hash(upstream) % 64)
}

// Sources returns a lower bound of the number of upstreams that gave bad answers: two upstreams
// may share a bit.
func (t *Tally) Sources() int { return bits.OnesCount64(t.From) }

// Versions holds the counts of the version that is being rolled out and of the previous one.
type Versions struct {
	Old Tally `json:"old"`
	New Tally `json:"new"`
}

// Add adds another host's counts.
func (v *Versions) Add(o Versions) {
	v.Old.Add(o.Old)
	v.New.Add(o.New)
}

// Evidence holds the answers that hosts counted during a roll-out.
type Evidence struct {
	Service string `json:"service"`
	// Order is the store's revision of the operators' roll-out order. Counts of different
	// orders aren't added up.
	Order storage.Revision `json:"order"`
	// Routes holds the counts by route.
	Routes map[string]Versions `json:"routes"`
}

// evidenceKey identifies the roll-out that counts belong to.
type evidenceKey struct {
	service string
	order   storage.Revision
}

// addEvidence adds the counts in list to sums.
func addEvidence(sums map[evidenceKey]map[string]Versions, list []Evidence) {
	for _, e := range list {
		key := evidenceKey{e.Service, e.Order}
		if sums[key] == nil {
			sums[key] = make(map[string]Versions)
		}
		for route, counts := range e.Routes {
			sum := sums[key][route]
			sum.Add(counts)
			sums[key][route] = sum
		}
	}
}

// otherEvidence returns the sums over all hosts of any zone, except self, for the roll-outs in
// progress.
func (h *hub) otherEvidence(self string, to audience) []Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	sums := make(map[evidenceKey]map[string]Versions)
	for host, got := range h.reports {
		if host != self && to.includes(got) {
			addEvidence(sums, got.report.Evidence)
		}
	}
	var list []Evidence
	for key, routes := range sums {
		list = append(list, Evidence{Service: key.service, Order: key.order, Routes: routes})
	}
	return list
}
