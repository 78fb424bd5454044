package exchange

import (
	"math/bits"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Tally holds the number of answers that one version of a service gave on one route, and how
// many of these answers count as failed and as slow.
type Tally struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed,omitempty"`
	Slow    int `json:"slow,omitempty"`
	// BadUpstreamBits has the bit hash(upstream) modulo 64 set for each upstream that gave a
	// failed or slow answer.
	BadUpstreamBits uint64 `json:"from,omitempty"`
}

// Add adds another host's counts.
func (t *Tally) Add(o Tally) {
	t.Answers += o.Answers
	t.Failed += o.Failed
	t.Slow += o.Slow
	t.BadUpstreamBits |= o.BadUpstreamBits
}

// AddBadUpstream records the upstream that gave a failed or slow answer.
func (t *Tally) AddBadUpstream(upstream string) {
	t.BadUpstreamBits |= 1 << (hash(upstream) % 64)
}

// MinBadUpstreams returns a lower bound of the number of upstreams that gave failed or slow
// answers. Two upstreams may have the same bit.
func (t *Tally) MinBadUpstreams() int { return bits.OnesCount64(t.BadUpstreamBits) }

// VersionTallies holds, for one route, the counts of the version that is being rolled out and of
// the previous one.
type VersionTallies struct {
	Old Tally `json:"old"`
	New Tally `json:"new"`
}

// Add adds another host's counts.
func (v *VersionTallies) Add(o VersionTallies) {
	v.Old.Add(o.Old)
	v.New.Add(o.New)
}

// Evidence holds the answers that one host or several hosts counted during the roll-out of a
// service.
type Evidence struct {
	Service string `json:"service"`
	// Order is the revision, in the store, of the operator's order for the roll-out. Counts made
	// under different orders aren't added up.
	Order storage.Revision `json:"order"`
	// Routes holds the counts by route.
	Routes map[string]VersionTallies `json:"routes"`
}

// evidenceKey identifies the roll-out that counts belong to.
type evidenceKey struct {
	service string
	order   storage.Revision
}

// addEvidence adds the counts in the list to sums. For each roll-out, sums holds the counts by
// route.
func addEvidence(sums map[evidenceKey]map[string]VersionTallies, list []Evidence) {
	for _, e := range list {
		key := evidenceKey{e.Service, e.Order}
		if sums[key] == nil {
			sums[key] = make(map[string]VersionTallies)
		}
		for route, counts := range e.Routes {
			sum := sums[key][route]
			sum.Add(counts)
			sums[key][route] = sum
		}
	}
}

// otherEvidence returns the counts for the roll-outs in progress that are sent to the audience,
// summed over all hosts of any zone except self.
func (h *hub) otherEvidence(self string, to audience) []Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	sums := make(map[evidenceKey]map[string]VersionTallies)
	for host, received := range h.reports {
		if host != self && to.includes(received) {
			addEvidence(sums, received.report.Evidence)
		}
	}
	var list []Evidence
	for key, routes := range sums {
		list = append(list, Evidence{Service: key.service, Order: key.order, Routes: routes})
	}
	return list
}
