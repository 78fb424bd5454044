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

// look chooses the hub: the first seed of this host's zone in the seeds' order,
// this host itself if it is that; otherwise one that all hosts of the zone choose
// alike. A zone isn't known before the seed answered.
func (m *Member) look(ctx context.Context, net network) {
	reached := m.reach(ctx, net)
	m.lookAt = boottime.Now().Add(m.lookPause(len(reached) > 0))
	found := m.best(reached)
	if found == m.current {
		return
	}
	m.goTo(found)
	m.home = found
	if found == "" {
		return
	}
	m.log.Info().Str("event", "hub-found").Str("hub", m.current).Str("zone", m.zones[m.current]).Int("reached", len(reached)).Msg("")
}

// lookPause is the time until the next look for a hub: longer with each look that found
// none.
func (m *Member) lookPause(found bool) time.Duration {
	if found {
		m.noHub = 0
		return retryHub
	}
	pause := min(retryNoHub<<m.noHub, retryHub)
	m.noHub = min(m.noHub+1, maxLookDoublings)
	return pause/2 + rand.N(pause)
}

// goTo makes the address the hub that this host reports to.
func (m *Member) goTo(address string) {
	m.hub.forgetHub(m.current)
	m.current = address
	m.told.Store(&address)
	m.hubSince = boottime.Now()
	m.readsSince, m.toldReads = 0, 0
	m.limits, m.granted = ratelease.Follower{}, nil
	m.tellAnew()
}

// goOver goes over to the hub that the present one named.
func (m *Member) goOver(assigned string) {
	if assigned == "" || assigned == m.options.Listen || assigned == m.current || boottime.Now().Before(m.avoid[assigned]) {
		return
	}
	m.log.Info().Str("event", "hub-assigned").Str("hub", assigned).Str("by", m.current).Msg("")
	m.goTo(assigned)
}

// lose notes that the hub doesn't answer. A host that was sent to it goes back to the
// seed that did so; any other one looks for another seed.
func (m *Member) lose(net network, err error) {
	lost := m.current
	m.log.Warn().Str("event", "hub-lost").Str("hub", lost).Err(err).Msg("")
	net.forget(lost)
	if lost != m.home {
		m.avoid[lost] = boottime.Now().Add(avoidHub)
		m.goTo(m.home)
		return
	}
	m.goTo("")
	m.lookAt = time.Time{}
}

// reach asks all seeds at once, so that several dead ones cost no more time than
// one, and returns those that answered in the seeds' order. Once one of this host's
// zone has answered, the others are waited for a moment only: when all hosts return at
// once, some seeds take longer than the one that matters.
func (m *Member) reach(ctx context.Context, net network) []string {
	type answer struct{ seed, zone string }
	answers := make(chan answer, len(m.options.Seeds))
	for _, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			answers <- answer{seed, m.options.Zone}
			continue
		}
		go func() {
			reply, err := ask(ctx, net, seed, Report{Zone: m.options.Zone, Look: true})
			if err != nil {
				net.forget(seed) // a seed may be gone for good; the next look dials anew
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
			m.zones[a.seed] = a.zone
			if a.zone == m.options.Zone && enough == nil {
				enough = time.After(reachOthers)
			}
			continue
		case <-enough:
		}
		break
	}
	return slices.DeleteFunc(slices.Clone(m.options.Seeds), func(seed string) bool { return !reached[seed] })
}

// reachOthers is how long the other seeds are waited for once one of the own zone has
// answered: some round trips between zones.
const reachOthers = 50 * time.Millisecond

// best is the hub among the seeds that answered; empty if there is none.
func (m *Member) best(reached []string) string {
	if i := slices.IndexFunc(reached, func(seed string) bool { return m.zones[seed] == m.options.Zone }); i >= 0 {
		return reached[i]
	}
	if len(reached) == 0 {
		return ""
	}
	return slices.MaxFunc(reached, func(a, b string) int { return cmp.Compare(m.weight(a), m.weight(b)) })
}

// settled says that no better hub can be found: the seeds before this one are
// known to be of other zones.
func (m *Member) settled() bool {
	if m.current == "" {
		return false
	}
	if m.current != m.home {
		return true // named by a seed
	}
	for _, seed := range m.options.Seeds {
		zone, known := m.zones[seed]
		switch {
		case !known:
			return false
		case zone == m.options.Zone:
			return seed == m.current
		}
	}
	return true
}

// weight orders the seeds of other zones, the same on all hosts of this one.
func (m *Member) weight(seed string) uint64 { return hash(m.options.Zone, seed) }

// hash spreads texts evenly, the same on all hosts.
func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		io.WriteString(h, p)
		h.Write([]byte{0})
	}
	return h.Sum64()
}
