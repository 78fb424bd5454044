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
	Epoch:        1,
	Budget:       budget,
	MaxErrorRate: maxErrorRate,
	MinRating:    minRating,
	MaxLatencyMs: int(maxLatency / time.Millisecond),
}

// variant switches mechanisms of the trackers off.
type variant struct {
	unpaced bool
	// alone keeps evidence from being exchanged, but not stops.
	alone bool
	// silent keeps stops from being exchanged as well.
	silent bool
	// granted takes the budget's parts from the table.
	granted bool
	// tableDown makes every claim fail after the first second.
	tableDown bool
}

// trackers is a cluster of real trackers.
type trackers struct {
	variant  variant
	hosts    []*exposure.Tracker
	granters []*exposure.Granter
	fanout   int
	// exchanges counts the exchanges so far.
	exchanges int
	rnd       *rand.Rand
	marks     []uint64
}

func tracked(v variant) newCluster {
	return func(s setting, clock func() time.Time) cluster {
		c := &trackers{variant: v, fanout: s.fanout, rnd: simulate.NewRand(s.hosts)}
		c.marks = make([]uint64, s.hosts)
		table := memory.New()
		for i := range s.hosts {
			name := fmt.Sprint("host-", i)
			host := exposure.New(exposure.Options{
				Host:        name,
				Clock:       clock,
				GrantedOnly: v.granted,
				Pacing:      exposure.Pacing{Off: v.unpaced},
			})
			host.SetHosts(s.hosts)
			host.SetVersions([]exposure.VersionRule{rule})
			c.hosts = append(c.hosts, host)
			c.granters = append(c.granters, exposure.NewGranter(table, name))
		}
		return c
	}
}

func (c *trackers) host(i int) policy { return trackedHost{c.hosts[i]} }

// exchange sends what changed on each host to others.
func (c *trackers) exchange(reachable int) {
	c.exchanges++
	for i, from := range c.hosts {
		if c.variant.granted && !(c.variant.tableDown && c.exchanges > 1) {
			// A failed claim is tried again at the next exchange.
			_ = from.ClaimGrants(context.Background(), c.granters[i])
		}
		if i >= reachable || c.variant.silent {
			continue
		}
		evidence, next := c.export(from, c.marks[i])
		c.marks[i] = next
		stops := from.Stops()
		for _, j := range c.receivers(reachable) {
			if i != j {
				c.send(evidence, stops, c.hosts[j])
			}
		}
	}
}

// export relays others' evidence only where not all hosts are sent to.
func (c *trackers) export(from *exposure.Tracker, mark uint64) ([]exposure.Evidence, uint64) {
	if c.fanout > 0 {
		return from.ExportSince(mark)
	}
	return from.ExportOwn(mark)
}

// receivers draws whom a host sends to.
func (c *trackers) receivers(reachable int) []int {
	all := c.rnd.Perm(reachable)
	if c.fanout > 0 {
		return all[:min(c.fanout, reachable)]
	}
	return all
}

func (c *trackers) send(evidence []exposure.Evidence, stops []exposure.Stop, to *exposure.Tracker) {
	if !c.variant.alone {
		to.Merge(evidence)
	}
	for _, stop := range stops {
		to.AdoptStop(stop)
	}
}

type trackedHost struct{ tracker *exposure.Tracker }

func (h trackedHost) take() bool                 { return h.tracker.Take(rule.Model, rule.Version) }
func (h trackedHost) observe(o exposure.Outcome) { h.tracker.Observe(rule.Model, rule.Version, o) }
func (h trackedHost) rate(r float64)             { h.tracker.Rate(rule.Model, rule.Version, r) }
func (h trackedHost) cleared() bool              { return h.tracker.Cleared(rule.Model, rule.Version) }

func (h trackedHost) stopped() bool {
	_, stopped := h.tracker.Stopped(rule.Model, rule.Version)
	return stopped
}
