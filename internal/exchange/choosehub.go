package exchange

import (
	"cmp"
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// findHub chooses this host's hub among the seeds that answer: the first seed of this host's
// zone in the configured order, which may be this host itself. Without one, all hosts of the
// zone choose the same seed of another zone. A seed's zone isn't known before it has answered.
func (m *Member) findHub(ctx context.Context, net network) {
	reached := m.probeSeeds(ctx, net)
	m.nextProbeAt = boottime.Now().Add(m.nextProbeDelay(len(reached) > 0))
	found := m.chooseHub(reached)
	if found == m.current {
		return
	}
	m.switchHub(found)
	m.homeSeed = found
	if found == "" {
		return
	}
	m.log.Info().Str("event", "hub-found").Str("hub", m.current).Str("zone", m.seedZones[m.current]).Int("reached", len(reached)).Msg("")
}

// nextProbeDelay returns the time until the next probe of the seeds. It grows with each probe
// that no seed answered.
func (m *Member) nextProbeDelay(found bool) time.Duration {
	if found {
		m.failedProbes = 0
		return hubRetryInterval
	}
	pause := min(noHubRetryInterval<<m.failedProbes, hubRetryInterval)
	m.failedProbes = min(m.failedProbes+1, maxProbeDoublings)
	return pause/2 + rand.N(pause)
}

// switchHub makes the address the hub that this host reports to.
func (m *Member) switchHub(address string) {
	m.hub.forgetHub(m.current)
	m.current = address
	m.currentHub.Store(&address)
	m.hubSince = boottime.Now()
	m.hubReadsSeq, m.forwardedReadsSeq = 0, 0
	m.limits, m.granted = ratelease.LogReader{}, nil
	m.resendSightings()
}

// acceptAssignment switches to the hub that the current one assigned.
func (m *Member) acceptAssignment(assigned string) {
	if assigned == "" || assigned == m.options.Listen || assigned == m.current || boottime.Now().Before(m.avoidUntil[assigned]) {
		return
	}
	m.log.Info().Str("event", "hub-assigned").Str("hub", assigned).Str("by", m.current).Msg("")
	m.switchHub(assigned)
}

// hubFailed handles a hub that doesn't answer. A host that had been assigned to it returns to
// the seed that assigned it; any other host looks for another seed.
func (m *Member) hubFailed(net network, err error) {
	lost := m.current
	m.log.Warn().Str("event", "hub-lost").Str("hub", lost).Err(err).Msg("")
	net.forget(lost)
	if lost != m.homeSeed {
		m.avoidUntil[lost] = boottime.Now().Add(failedHubBackoff)
		m.switchHub(m.homeSeed)
		return
	}
	m.switchHub("")
	m.nextProbeAt = time.Time{}
}

// probeSeeds queries all seeds at once, so that several dead ones take no longer than one, and
// returns those that answered, in the configured order. Once a seed of this host's zone has
// answered, it waits for the others only for otherSeedsWait: when all hosts restart at once,
// some seeds answer later than the one that is needed.
func (m *Member) probeSeeds(ctx context.Context, net network) []string {
	type answer struct{ seed, zone string }
	answers := make(chan answer, len(m.options.Seeds))
	for _, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			answers <- answer{seed, m.options.Zone}
			continue
		}
		go func() {
			reply, err := callWithTimeout(ctx, net, seed, Report{Zone: m.options.Zone, Probe: true})
			if err != nil {
				net.forget(seed) // the seed may be gone for good; the next probe dials again
			}
			answers <- answer{seed, reply.Zone}
		}()
	}
	var enough <-chan time.Time
	reached := make(map[string]bool)
	for range m.options.Seeds {
		select {
		case a := <-answers:
			if a.zone == "" {
				continue
			}
			reached[a.seed] = true
			m.seedZones[a.seed] = a.zone
			if a.zone == m.options.Zone && enough == nil {
				enough = time.After(otherSeedsWait)
			}
			continue
		case <-enough:
		}
		break
	}
	return slices.DeleteFunc(slices.Clone(m.options.Seeds), func(seed string) bool { return !reached[seed] })
}

// otherSeedsWait is how long probeSeeds waits for the other seeds after one of its own zone has
// answered: several round trips between zones.
const otherSeedsWait = 50 * time.Millisecond

// chooseHub returns the hub among the seeds that answered, or "" if none did.
func (m *Member) chooseHub(reached []string) string {
	if i := slices.IndexFunc(reached, func(seed string) bool { return m.seedZones[seed] == m.options.Zone }); i >= 0 {
		return reached[i]
	}
	if len(reached) == 0 {
		return ""
	}
	return slices.MaxFunc(reached, func(a, b string) int { return cmp.Compare(m.seedWeight(a), m.seedWeight(b)) })
}

// hubIsFinal reports whether no better hub can be found: all seeds before the current one are
// known to be in other zones.
func (m *Member) hubIsFinal() bool {
	if m.current == "" {
		return false
	}
	if m.current != m.homeSeed {
		return true // assigned by a seed
	}
	for _, seed := range m.options.Seeds {
		zone, known := m.seedZones[seed]
		switch {
		case !known:
			return false
		case zone == m.options.Zone:
			return seed == m.current
		}
	}
	return true
}

// seedWeight ranks the seeds of other zones in the same order on all hosts of this zone.
func (m *Member) seedWeight(seed string) uint64 { return hash(m.options.Zone, seed) }

// hash maps the strings to an evenly distributed number that is the same on all hosts.
func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		io.WriteString(h, p)
		h.Write([]byte{0})
	}
	return h.Sum64()
}
