package exchange

import (
	"math/bits"

	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Tally holds the number of answers that one version of a service gave on one route, and how
// many of these answers count as failed and as slow.
type Tally struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed,omitempty"`
	Slow    int `json:"slow,omitempty"`
	// Abandoned is the number of attempts that ended because the caller left or the deadline passed.
	// Those that had no answer by then aren't among Answers.
	Abandoned int `json:"abandoned,omitempty"`
	// BadUpstreamBits holds the upstreams that gave failed or slow answers.
	BadUpstreamBits upstreamBits `json:"from,omitempty"`
}

// upstreamBits has the bit hash(upstream) modulo 64 set for each upstream of a set.
type upstreamBits uint64

func (b *upstreamBits) add(upstream string) { *b |= 1 << (hash(upstream) % 64) }

// minCount returns a lower bound of the number of upstreams. Two of them may have the same bit.
func (b upstreamBits) minCount() int { return bits.OnesCount64(uint64(b)) }

// Add adds another host's counts.
func (t *Tally) Add(o Tally) {
	t.Answers += o.Answers
	t.Failed += o.Failed
	t.Slow += o.Slow
	t.Abandoned += o.Abandoned
	t.BadUpstreamBits |= o.BadUpstreamBits
}

// AddBadUpstream records the upstream that gave a failed or slow answer.
func (t *Tally) AddBadUpstream(upstream string) {
	t.BadUpstreamBits.add(upstream)
}

// MinBadUpstreams returns a lower bound of the number of upstreams that gave failed or slow
// answers. Two upstreams may have the same bit.
func (t *Tally) MinBadUpstreams() int { return t.BadUpstreamBits.minCount() }

// VersionTallies holds, for one route, the counts of the version that is being rolled out and of
// the previous one.
type VersionTallies struct {
	Old Tally `json:"old"`
	New Tally `json:"new"`
	// FullLoad holds those answers of New whose requests were sent while the new version got all
	// requests of the service.
	FullLoad Tally `json:"full,omitzero"`
}

// Add adds another host's counts.
func (v *VersionTallies) Add(o VersionTallies) {
	v.Old.Add(o.Old)
	v.New.Add(o.New)
	v.FullLoad.Add(o.FullLoad)
}

// upstreamGroups is the number of groups into which VersionTimes divides the new version's upstreams.
const upstreamGroups = 2

// VersionTimes holds the answer times of both versions of a service, over all routes. The new version's are
// divided by a hash of the upstream: a slow version is slow in both groups, a single slow upstream is in one.
type VersionTimes struct {
	Old rollout.TimeCounts                 `json:"old,omitzero"`
	New [upstreamGroups]rollout.TimeCounts `json:"new,omitzero"`
	// FullLoad holds those times of New whose requests were sent while the new version got all requests
	// of the service.
	FullLoad [upstreamGroups]rollout.TimeCounts `json:"full,omitzero"`
}

// UpstreamGroup returns the index in VersionTimes of the upstream's group.
func UpstreamGroup(upstream string) int { return int(hash(upstream) % upstreamGroups) }

// Add adds another host's counts.
func (v *VersionTimes) Add(o VersionTimes) {
	v.Old.Add(o.Old)
	for i := range upstreamGroups {
		v.New[i].Add(o.New[i])
		v.FullLoad[i].Add(o.FullLoad[i])
	}
}

// Evidence holds the answers that one host or several hosts counted during the roll-out of a
// service.
type Evidence struct {
	Service string `json:"service"`
	// Order is the revision, in the store, of the operator's order for the roll-out. Counts made
	// under different orders aren't added up.
	Order storage.Revision `json:"order"`
	// Hosts is the number of hosts that counted, BelowFullLoad the number of those that still send
	// some of the service's requests to the previous version.
	Hosts         int `json:"hosts,omitempty"`
	BelowFullLoad int `json:"below_full,omitempty"`
	// Routes holds the counts by route.
	Routes map[string]VersionTallies `json:"routes"`
	// FirstEvents holds the times to the first byte or event, EventGaps the mean times between the
	// events at the beginning of streams.
	FirstEvents VersionTimes `json:"first,omitzero"`
	EventGaps   VersionTimes `json:"gaps,omitzero"`
	// Sent counts the requests that were sent to upstreams of the service since the order.
	Sent SentCounts `json:"sent,omitzero"`
	// Loads holds the new version's answers by the load of their upstream.
	Loads LoadCounts `json:"loads,omitzero"`
}

// SentCounts holds numbers of requests that were sent to upstreams. A request that is sent again counts again.
type SentCounts struct {
	// All is the number of requests sent to upstreams of any version, New of those sent to the new one.
	All int `json:"all"`
	New int `json:"new"`
	// Recent is the part of All that was sent in the last half second.
	Recent int `json:"recent,omitempty"`
}

// Add adds another host's counts.
func (c *SentCounts) Add(o SentCounts) {
	c.All += o.All
	c.New += o.New
	c.Recent += o.Recent
}

// add adds the counts of other hosts.
func (e *Evidence) add(o Evidence) {
	e.Hosts += o.Hosts
	e.BelowFullLoad += o.BelowFullLoad
	e.FirstEvents.Add(o.FirstEvents)
	e.EventGaps.Add(o.EventGaps)
	e.Sent.Add(o.Sent)
	e.Loads.Add(o.Loads)
	for route, counts := range o.Routes {
		sum := e.Routes[route]
		sum.Add(counts)
		e.Routes[route] = sum
	}
}

// evidenceKey identifies the roll-out that counts belong to.
type evidenceKey struct {
	service string
	order   storage.Revision
}

// SumEvidence returns the sums of the counts in the lists, one for each roll-out.
func SumEvidence(lists ...[]Evidence) []Evidence {
	sums := make(map[evidenceKey]*Evidence)
	for _, list := range lists {
		for _, e := range list {
			key := evidenceKey{e.Service, e.Order}
			if sums[key] == nil {
				sums[key] = &Evidence{Service: e.Service, Order: e.Order, Routes: make(map[string]VersionTallies)}
			}
			sums[key].add(e)
		}
	}
	var list []Evidence
	for _, sum := range sums {
		list = append(list, *sum)
	}
	return list
}

// otherEvidence returns the counts for the roll-outs in progress that are sent to the audience,
// summed over all hosts of any zone except self.
func (h *hub) otherEvidence(self string, to audience) []Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lists [][]Evidence
	for host, received := range h.reports {
		if host != self && to.includes(received) {
			lists = append(lists, received.report.Evidence)
		}
	}
	return SumEvidence(lists...)
}
