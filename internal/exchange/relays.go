package exchange

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/quetzalweir/quetzalweir/internal/peer"
)

// A host that can't connect to upstreams itself has other hosts relay its connections. It learns from
// its hub which hosts do so. The hub names a few of its followers, chosen at random by the strength of
// their links, and a few that its own hub or the other seeds named. The list is refreshed regularly, so
// that a host still has one if it loses the upstreams and its hub at the same time.

const (
	// maxNamedRelayHosts is the maximum number of hosts in a message that relay connections.
	maxNamedRelayHosts = 8
	// maxKnownRelayHosts is the maximum number of such hosts that a host keeps.
	maxKnownRelayHosts = 24
)

// RelayHost is a host that relays connections to upstreams for other hosts.
type RelayHost struct {
	Address string `json:"a"`
	Zone    string `json:"z"`
}

// errNoExchange means that this host has no connections to other hosts yet.
var errNoExchange = errors.New("exchange: not started")

// DialRelayed opens a connection to an upstream's address that the host at relay relays. See
// peer.Client.DialRelayed for the errors.
func (m *Member) DialRelayed(ctx context.Context, relay, address string, events peer.RelayEvents) (net.Conn, error) {
	client := m.client.Load()
	if client == nil {
		return nil, errNoExchange
	}
	return client.DialRelayed(ctx, relay, address, events)
}

// StopRelaying makes this host relay no further connections, and asks the hosts whose connections it
// relays to close them once they are idle.
func (m *Member) StopRelaying() {
	if server := m.server.Load(); server != nil {
		server.StopRelaying()
	}
}

// RelayCount returns the number of connections that this host relays for others.
func (m *Member) RelayCount() int {
	if server := m.server.Load(); server != nil {
		return server.RelayCount()
	}
	return 0
}

// RelayHosts returns hosts that may relay connections of this one, in no particular order.
func (m *Member) RelayHosts() []RelayHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.relayHosts)
}

// wantsRelayHosts reports whether the next message asks for hosts that relay connections: while this host
// needs them or knows none, and otherwise in one of exchangesPerTimings messages.
func (m *Member) wantsRelayHosts() bool {
	if m.options.NeedsRelayHosts == nil {
		return false
	}
	return m.options.NeedsRelayHosts() || len(m.RelayHosts()) == 0 || m.reportCount%exchangesPerTimings == 1
}

// addRelayHosts adds hosts that a hub named. The newest ones are kept.
func (m *Member) addRelayHosts(list []RelayHost) {
	if len(list) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make([]RelayHost, 0, maxKnownRelayHosts)
	for _, h := range append(slices.Clone(list), m.relayHosts...) {
		if len(known) < maxKnownRelayHosts && h.Address != m.options.Listen && !slices.Contains(known, h) {
			known = append(known, h)
		}
	}
	m.relayHosts = known
}

// namedRelayHosts returns the hosts that relay connections for the host named by self: followers of this
// hub and, unless the receiver is another hub, hosts that other hubs named.
func (h *hub) namedRelayHosts(self string, to audience) []RelayHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	type candidate struct {
		host RelayHost
		key  float64
	}
	var candidates []candidate
	for name, received := range h.reports {
		r := &received.report
		if name == self || received.fromHub || !r.RelaysConns || r.Address == "" {
			continue
		}
		// The smallest keys are those of a random sample without replacement, weighted by strength.
		candidates = append(candidates, candidate{RelayHost{Address: r.Address, Zone: r.Zone}, rand.ExpFloat64() / cmp.Or(r.Strength, 1)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	var list []RelayHost
	for _, c := range candidates[:min(len(candidates), maxNamedRelayHosts)] {
		list = append(list, c.host)
	}
	if to == toHub {
		return list
	}
	others := slices.Clone(h.relayHostsElsewhere)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	keep := max(maxNamedRelayHosts/2, maxNamedRelayHosts-len(others))
	return append(list[:min(len(list), keep)], others[:min(len(others), maxNamedRelayHosts-min(len(list), keep))]...)
}

// recordRelayHostsElsewhere stores hosts that relay connections, as named by another hub.
func (h *hub) recordRelayHostsElsewhere(list []RelayHost) {
	if len(list) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range list {
		if !slices.Contains(h.relayHostsElsewhere, r) {
			h.relayHostsElsewhere = append(h.relayHostsElsewhere, r)
		}
	}
	h.relayHostsElsewhere = h.relayHostsElsewhere[max(0, len(h.relayHostsElsewhere)-maxKnownRelayHosts):]
}
