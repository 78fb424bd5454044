package exchange

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// Lease is ratelease.Lease on the wire.
type Lease struct {
	Grants Grants `json:"grants,omitempty"`
	// Unchanged reports that the grants are those whose digest the host sent with its report;
	// Grants is empty then. ForMs is the duration of the lease in milliseconds. Roots is the
	// number of root hubs.
	Unchanged bool  `json:"same,omitempty"`
	ForMs     int64 `json:"for_ms"`
	Roots     int   `json:"roots"`
}

// Grants lists the granted parts of the upstreams' request limits.
type Grants []ratelease.Grant

// grantSize is the size of an encoded grant in bytes, before base64: the upstream, and the
// numbers of parts granted and of all parts.
const grantSize = 8 + 1 + 1

// MarshalJSON implements json.Marshaler.
func (g Grants) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, grantSize*len(g))
	for _, grant := range g {
		packed = binary.BigEndian.AppendUint64(packed, uint64(grant.Upstream))
		packed = append(packed, byte(grant.Parts), byte(grant.PartsPerRoot))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (g *Grants) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, grantSize)
	if err != nil {
		return err
	}
	*g = make(Grants, 0, len(packed)/grantSize)
	for grant := range slices.Chunk(packed, grantSize) {
		*g = append(*g, ratelease.Grant{Upstream: ratelease.UpstreamID(binary.BigEndian.Uint64(grant)), Parts: int(grant[8]), PartsPerRoot: int(grant[9])})
	}
	return nil
}

// leaseFor returns the lease of the host with the name, which is a part of this host's lease.
// knownDigest is the digest of the grants that the named host already has.
func (h *hub) leaseFor(host string, knownDigest uint64) Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, digest := h.lessor.Lease(host, boottime.Now())
	if len(l.Grants) == 0 {
		return Lease{}
	}
	wire := Lease{ForMs: l.Duration.Milliseconds(), Roots: l.Roots}
	if wire.Unchanged = digest == knownDigest; !wire.Unchanged {
		wire.Grants = l.Grants
	}
	return wire
}

// decode returns the lease. previous holds the grants whose digest the host sent with its
// report. If Unchanged is set, the lease grants these again.
func (l Lease) decode(previous Grants) ratelease.Lease {
	grants := l.Grants
	if l.Unchanged {
		grants = previous
	}
	return ratelease.Lease{Grants: grants, Duration: time.Duration(l.ForMs) * time.Millisecond, Roots: l.Roots}
}

// divideLease starts the lease that this host was granted with a reply to a report sent at
// requestedAt, and divides it among the hosts that report here. This host always counts as one
// of them, even after the last other host has stopped reporting here: that host may still hold
// a lease for a moment.
func (h *hub) divideLease(l ratelease.Lease, requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	now := boottime.Now()
	reporters := map[string]int{h.self: 1}
	for name, received := range h.reports {
		if !received.fromHub {
			reporters[name] = received.hosts
		}
	}
	holding := ratelease.NewHolding(l, requestedAt, nil)
	h.lessor.Assign(holding.Lease(now), reporters, now)
}

// rooted reports whether this host is a root hub or holds grants that derive from one.
func (h *hub) rooted() bool { return boottime.Since(h.lastRooted()) < ratelease.LeaseDuration }

// lastRooted returns when this host last held grants that derived from a root hub.
func (h *hub) lastRooted() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastRootedAt
}

// setRootedAt records that this host held grants that derived from a root hub at the given
// time.
func (h *hub) setRootedAt(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRootedAt = at
}

// acceptLease starts the lease that the hub granted to this host and its followers, and divides
// it among them.
func (m *Member) acceptLease(reply Reply, requestedAt time.Time) {
	lease := reply.Lease.decode(m.hubGrants)
	m.hubGrants = lease.Grants
	if reply.Rooted {
		m.ownHub.setRootedAt(requestedAt)
	}
	m.ownHub.divideLease(lease, requestedAt)
	m.renewHolding()
}

// renewRootLease renews the lease on a root hub's own part of the requests for all leased
// upstreams. A root hub holds this lease without being granted it.
func (m *Member) renewRootLease() {
	if m.options.RootGrants == nil {
		return
	}
	roots := len(m.options.Seeds)
	m.ownHub.setRootedAt(boottime.Now())
	m.ownHub.divideLease(ratelease.RootLease(m.options.RootGrants(roots), roots), boottime.Now())
}

// renewHolding computes this host's own part of the lease that ownHub divides, and passes it to
// OnHolding.
func (m *Member) renewHolding() {
	if m.options.OnHolding == nil {
		return
	}
	now := boottime.Now()
	lease := m.ownHub.leaseFor(m.options.Host, 0).decode(nil)
	if own := m.ownRootGrants(); len(own) > 0 {
		lease = ratelease.RootLease(ratelease.Merge(own, lease.Grants), len(m.options.Seeds))
	}
	m.holding = ratelease.NewHolding(lease, now, &m.holding)
	m.options.OnHolding(m.holding, m.ownHub.lastRooted())
}

// ownRootGrants returns the grants that a seed holds as a root hub while it reports to another
// seed of its zone, or none. The seed uses them itself instead of dividing them, and no other
// host has them.
func (m *Member) ownRootGrants() []ratelease.Grant {
	seeds, self := m.options.Seeds, m.options.Listen
	if m.options.RootGrants == nil || m.hubAddress == self || !slices.Contains(seeds, self) || boottime.Since(m.ownHub.startedAt) < ratelease.HandoverDelay {
		return nil
	}
	return m.options.RootGrants(len(seeds))
}

var (
	_ json.Marshaler   = Grants{}
	_ json.Unmarshaler = (*Grants)(nil)
)
