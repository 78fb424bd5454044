package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
	exposure "github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

var rule = exposure.VersionRule{
	Model:        "m",
	Version:      "2",
	Round:        1,
	Budget:       budget,
	MaxErrorRate: maxErrorRate,
	MinRating:    minRating,
	MaxLatencyMs: int(maxLatency / time.Millisecond),
}

// variant selects which mechanisms of the trackers are active.
type variant struct {
	unpaced bool
	// stopsOnly makes hosts exchange stops but no evidence.
	stopsOnly bool
	// noExchange makes hosts exchange neither stops nor evidence.
	noExchange bool
	// granted makes hosts use the budget only as far as the table grants it.
	granted bool
	// tableDown skips all claims of grants after the first exchange, as if the
	// table had failed then.
	tableDown bool
}

// trackerCluster is a cluster whose hosts run exposure.Tracker.
type trackerCluster struct {
	variant  variant
	hosts    []*exposure.Tracker
	granters []*exposure.Granter
	fanout   int
	// exchangeCount is the number of exchanges so far.
	exchangeCount int
	rnd           *rand.Rand
	cursors       []uint64
}

func newTrackers(v variant) clusterBuilder {
	return func(s setting, clock func() time.Time) cluster {
		c := &trackerCluster{variant: v, fanout: s.fanout, rnd: simulate.NewRand(s.hostCount)}
		c.cursors = make([]uint64, s.hostCount)
		table := memory.NewTable()
		for i := range s.hostCount {
			name := fmt.Sprint("host-", i)
			tracker := exposure.New(exposure.Options{
				Host:        name,
				Clock:       clock,
				GrantedOnly: v.granted,
				Pacing:      exposure.Pacing{Off: v.unpaced},
			})
			tracker.SetHosts(s.hostCount)
			tracker.SetVersions([]exposure.VersionRule{rule})
			c.hosts = append(c.hosts, tracker)
			c.granters = append(c.granters, exposure.NewGranter(table, name))
		}
		return c
	}
}

func (c *trackerCluster) host(i int) policy { return trackerPolicy{c.hosts[i]} }

// exchange sends the stops and the changed evidence of each host to other hosts.
// Hosts with a number of connected or more send and receive nothing, but still
// claim grants from the table.
func (c *trackerCluster) exchange(connected int) {
	c.exchangeCount++
	for i, from := range c.hosts {
		if c.variant.granted && !(c.variant.tableDown && c.exchangeCount > 1) {
			// A failed claim is tried again at the next exchange.
			_ = from.ClaimGrants(context.Background(), c.granters[i])
		}
		if i >= connected || c.variant.noExchange {
			continue
		}
		evidence, next := c.exportEvidence(from, c.cursors[i])
		c.cursors[i] = next
		stops := from.Stops()
		for _, j := range c.receivers(connected) {
			if i != j {
				c.send(evidence, stops, c.hosts[j])
			}
		}
	}
}

// exportEvidence returns the evidence that changed since cursor. It includes
// evidence from other hosts only if a host doesn't send to all hosts.
func (c *trackerCluster) exportEvidence(from *exposure.Tracker, cursor uint64) ([]exposure.Evidence, uint64) {
	if c.fanout > 0 {
		return from.ExportSince(cursor)
	}
	return from.ExportOwn(cursor)
}

// receivers draws the hosts that a host sends to.
func (c *trackerCluster) receivers(connected int) []int {
	all := c.rnd.Perm(connected)
	if c.fanout > 0 {
		return all[:min(c.fanout, connected)]
	}
	return all
}

func (c *trackerCluster) send(evidence []exposure.Evidence, stops []exposure.Stop, to *exposure.Tracker) {
	if !c.variant.stopsOnly {
		to.Merge(evidence)
	}
	for _, stop := range stops {
		to.AdoptStop(stop)
	}
}

type trackerPolicy struct{ tracker *exposure.Tracker }

func (p trackerPolicy) take() bool                 { return p.tracker.Take(rule.Model, rule.Version) }
func (p trackerPolicy) observe(o exposure.Outcome) { p.tracker.Observe(rule.Model, rule.Version, o) }
func (p trackerPolicy) observeRating(r float64)    { p.tracker.Rate(rule.Model, rule.Version, r) }
func (p trackerPolicy) cleared() bool              { return p.tracker.Cleared(rule.Model, rule.Version) }

func (p trackerPolicy) stopped() bool {
	_, stopped := p.tracker.Stopped(rule.Model, rule.Version)
	return stopped
}
