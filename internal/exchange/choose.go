package exchange

import (
	"cmp"
	"context"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/peer"
)

// look chooses the hub: the first seed of this host's zone in the seeds' order,
// this host itself if it is that; otherwise one that all hosts of the zone choose
// alike. A zone isn't known before the seed answered.
func (m *Member) look(ctx context.Context, client *peer.Client) {
	m.lookAt = time.Now().Add(retryHub)
	reached := m.reach(ctx, client)
	found := m.best(reached)
	if found == m.current {
		return
	}
	m.current = found
	m.hubSince = time.Now()
	m.readsSince = 0
	if found == "" {
		return
	}
	m.log.Info().Str("event", "hub-found").Str("hub", m.current).Str("zone", m.zones[m.current]).Int("reached", len(reached)).Msg("")
}

// reach asks all seeds at once, so that several dead ones cost no more time than
// one, and returns those that answered in the seeds' order.
func (m *Member) reach(ctx context.Context, client *peer.Client) []string {
	zones := make([]string, len(m.options.Seeds))
	var calls sync.WaitGroup
	for i, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			zones[i] = m.options.Zone
			continue
		}
		calls.Go(func() {
			reply, err := m.ask(ctx, client, seed, m.own())
			if err != nil {
				client.Forget(seed) // a seed may be gone for good; the next look dials anew
				return
			}
			zones[i] = reply.Zone
		})
	}
	calls.Wait()
	var reached []string
	for i, seed := range m.options.Seeds {
		if zones[i] != "" {
			m.zones[seed] = zones[i]
			reached = append(reached, seed)
		}
	}
	return reached
}

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
	for _, seed := range m.options.Seeds {
		zone, known := m.zones[seed]
		switch {
		case !known:
			return false
		case zone == m.options.Zone:
			return seed == m.current
		}
	}
	return m.current != ""
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
