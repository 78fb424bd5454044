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
	// Unchanged reports that the grants are those whose digest the host sent; Grants is empty
	// then.
	Unchanged bool  `json:"same,omitempty"`
	ForMs     int64 `json:"for_ms"`
	Roots     int   `json:"roots"`
}

// Grants lists the granted parts of the upstreams' request limits.
type Grants []ratelease.Grant

// grantSize is the size of an encoded grant in bytes, before base64: the upstream and two
// counts.
const grantSize = 8 + 1 + 1

// MarshalJSON implements json.Marshaler.
func (g Grants) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, grantSize*len(g))
	for _, grant := range g {
		packed = binary.BigEndian.AppendUint64(packed, uint64(grant.Upstream))
		packed = append(packed, byte(grant.Parts), byte(grant.Of))
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
		*g = append(*g, ratelease.Grant{Upstream: ratelease.UpstreamID(binary.BigEndian.Uint64(grant)), Parts: int(grant[8]), Of: int(grant[9])})
	}
	return nil
}

// leaseFor returns the host's part of this host's lease. knownDigest is the digest of the
// grants that the host already has.
func (h *hub) leaseFor(host string, knownDigest uint64) Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, digest := h.lessor.Lease(host, boottime.Now())
	if len(l.Grants) == 0 {
		return Lease{}
	}
	wire := Lease{ForMs: l.For.Milliseconds(), Roots: l.Roots}
	if wire.Unchanged = digest == knownDigest; !wire.Unchanged {
		wire.Grants = l.Grants
	}
	return wire
}

// decode returns the lease. previous are the grants whose digest the host sent.
func (l Lease) decode(previous Grants) ratelease.Lease {
	grants := l.Grants
	if l.Unchanged {
		grants = previous
	}
	return ratelease.Lease{Grants: grants, For: time.Duration(l.ForMs) * time.Millisecond, Roots: l.Roots}
}

// assignLease starts a lease that was granted to a request sent at requestedAt, and divides it
// among the hosts that report here. This host always counts as one of them, even if no other
// host reports here any more: hosts that did may still hold a lease for a moment.
func (h *hub) assignLease(l ratelease.Lease, requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	now := boottime.Now()
	reporters := map[string]int{h.self: 1}
	for name, got := range h.reports {
		if !got.fromHub {
			reporters[name] = got.hosts
		}
	}
	holding := ratelease.NewHolding(l, requestedAt, nil)
	h.lessor.Assign(holding.Lease(now), reporters, now)
}

// rooted reports whether this host's grants derive from a root of the hub tree, or it is a
// root.
func (h *hub) rooted() bool { return boottime.Since(h.lastRooted()) < ratelease.LeaseDuration }

// lastRooted returns when this host's grants last derived from a root of the hub tree.
func (h *hub) lastRooted() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastRootedAt
}

// setRootedAt records that this host's grants derived from a root at the given time.
func (h *hub) setRootedAt(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRootedAt = at
}

// acceptLease takes over the lease that the hub granted to this host and its followers.
func (m *Member) acceptLease(reply Reply, requestedAt time.Time) {
	lease := reply.Lease.decode(m.granted)
	m.granted = lease.Grants
	if reply.Rooted {
		m.hub.setRootedAt(requestedAt)
	}
	m.hub.assignLease(lease, requestedAt)
	m.applyOwnLease()
}

// assignRootLease makes a root of the hub tree hold its own part of all leased upstreams.
func (m *Member) assignRootLease() {
	if m.options.RootGrants == nil {
		return
	}
	roots := len(m.options.Seeds)
	m.hub.setRootedAt(boottime.Now())
	m.hub.assignLease(ratelease.RootLease(m.options.RootGrants(roots), roots), boottime.Now())
}

// applyOwnLease takes over this host's part of the lease that its own hub divides.
func (m *Member) applyOwnLease() {
	if m.options.OnHolding == nil {
		return
	}
	now := boottime.Now()
	lease := m.hub.leaseFor(m.options.Host, 0).decode(nil)
	if own := m.unusedRootGrants(); len(own) > 0 {
		lease = ratelease.RootLease(ratelease.Merge(own, lease.Grants), len(m.options.Seeds))
	}
	m.holding = ratelease.NewHolding(lease, now, &m.holding)
	m.options.OnHolding(m.holding, m.hub.lastRooted())
}

// unusedRootGrants returns the root's part of a seed that reports to another seed of its zone.
// The seed uses this part alone: no other host has it.
func (m *Member) unusedRootGrants() []ratelease.Grant {
	seeds, self := m.options.Seeds, m.options.Listen
	if m.options.RootGrants == nil || m.current == self || !slices.Contains(seeds, self) || boottime.Since(m.hub.startedAt) < ratelease.HandoverDelay {
		return nil
	}
	return m.options.RootGrants(len(seeds))
}

var (
	_ json.Marshaler   = Grants{}
	_ json.Unmarshaler = (*Grants)(nil)
)
