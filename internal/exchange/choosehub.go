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
// zone in the configured order, which may be this host itself. If there is none, all hosts of
// the zone choose the same seed of another zone. A seed's zone is unknown until the seed has
// answered once.
func (m *Member) findHub(ctx context.Context, net network) {
	reached := m.probeSeeds(ctx, net)
	m.nextProbeAt = boottime.Now().Add(m.nextProbeDelay(len(reached) > 0))
	chosen := m.chooseHub(reached)
	if chosen == m.hubAddress {
		return
	}
	m.switchHub(chosen)
	m.chosenSeed = chosen
	if chosen == "" {
		return
	}
	m.log.Info().Str("event", "hub-found").Str("hub", m.hubAddress).Str("zone", m.seedZones[m.hubAddress]).Int("reached", len(reached)).Msg("")
}

// nextProbeDelay returns the time until the next probe of the seeds. While no seed answers, the
// delay grows with each probe.
func (m *Member) nextProbeDelay(anyAnswered bool) time.Duration {
	if anyAnswered {
		m.failedProbes = 0
		return hubRetryInterval
	}
	delay := min(noHubRetryInterval<<m.failedProbes, hubRetryInterval)
	m.failedProbes = min(m.failedProbes+1, maxProbeDoublings)
	return delay/2 + rand.N(delay)
}

// switchHub makes this host report to the hub at the address, or to none if the address is "".
func (m *Member) switchHub(address string) {
	m.ownHub.dropHubData(m.hubAddress)
	m.hubAddress = address
	m.publishedHubAddress.Store(&address)
	m.requested = nil
	m.hubChosenAt = boottime.Now()
	m.hubPrefixSeq, m.forwardedPrefixSeq = 0, 0
	m.hubLeavingSeq, m.forwardedLeavingSeq = 0, 0
	m.hubPromiseSeq, m.forwardedPromiseSeq = 0, 0
	m.hubLimitReader, m.hubGrants = ratelease.LogReader{}, nil
	m.requeueSightings()
}

// acceptAssignment switches to the hub that the current one assigned, unless that hub recently
// failed to answer this host.
func (m *Member) acceptAssignment(assigned string) {
	if assigned == "" || assigned == m.options.Listen || assigned == m.hubAddress || boottime.Now().Before(m.avoidUntil[assigned]) {
		return
	}
	m.log.Info().Str("event", "hub-assigned").Str("hub", assigned).Str("by", m.hubAddress).Msg("")
	m.switchHub(assigned)
}

// hubFailed handles a failed report to the hub. A host that had been assigned to the hub
// returns to the seed that assigned it; any other host looks for another seed.
func (m *Member) hubFailed(net network, err error) {
	failed := m.hubAddress
	m.log.Warn().Str("event", "hub-lost").Str("hub", failed).Err(err).Msg("")
	net.disconnect(failed)
	for _, w := range m.options.Tables {
		w.HubLost()
	}
	if failed != m.chosenSeed {
		m.avoidUntil[failed] = boottime.Now().Add(failedHubBackoff)
		m.switchHub(m.chosenSeed)
		return
	}
	m.switchHub("")
	m.nextProbeAt = time.Time{}
}

// probeSeeds queries all seeds concurrently, so that several dead seeds delay it no longer than
// one, and returns those that answered, in the configured order. Once a seed of this host's zone
// has answered, probeSeeds waits for the others only for otherSeedsWait: when all hosts restart
// at once, some seeds of other zones start to answer later than the seed of this host's zone,
// which is the one that it chooses.
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
				net.disconnect(seed) // the seed may be gone for good; the next probe dials again
			}
			answers <- answer{seed, reply.Zone}
		}()
	}
	var waitedForOthers <-chan time.Time
	reached := make(map[string]bool)
	for range m.options.Seeds {
		select {
		case a := <-answers:
			if a.zone == "" {
				continue
			}
			reached[a.seed] = true
			m.seedZones[a.seed] = a.zone
			if a.zone == m.options.Zone && waitedForOthers == nil {
				waitedForOthers = time.After(otherSeedsWait)
			}
			continue
		case <-waitedForOthers:
		}
		break
	}
	return slices.DeleteFunc(slices.Clone(m.options.Seeds), func(seed string) bool { return !reached[seed] })
}

// otherSeedsWait is how long probeSeeds waits for the other seeds after a seed of this host's
// zone has answered. It covers several round trips between zones.
const otherSeedsWait = 50 * time.Millisecond

// chooseHub returns the seed to use as the hub among those that answered, or "" if none did.
func (m *Member) chooseHub(reached []string) string {
	if i := slices.IndexFunc(reached, func(seed string) bool { return m.seedZones[seed] == m.options.Zone }); i >= 0 {
		return reached[i]
	}
	if len(reached) == 0 {
		return ""
	}
	return slices.MaxFunc(reached, func(a, b string) int { return cmp.Compare(m.seedRank(a), m.seedRank(b)) })
}

// hasBestHub reports whether no probe can find a better hub: this host was assigned to its hub,
// or its hub is the first seed of its zone, or all seeds are known to be in other zones.
func (m *Member) hasBestHub() bool {
	if m.hubAddress == "" {
		return false
	}
	if m.hubAddress != m.chosenSeed {
		return true // assigned by a seed
	}
	for _, seed := range m.options.Seeds {
		zone, known := m.seedZones[seed]
		switch {
		case !known:
			return false
		case zone == m.options.Zone:
			return seed == m.hubAddress
		}
	}
	return true
}

// seedRank returns the rank of a seed of another zone. All hosts of this host's zone rank the
// seeds alike.
func (m *Member) seedRank(seed string) uint64 { return hash(m.options.Zone, seed) }

// hash maps the strings to an evenly distributed number that is the same on all hosts.
func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		io.WriteString(h, p)
		h.Write([]byte{0})
	}
	return h.Sum64()
}
