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
	// Same says that the grants are those that the host said it has.
	Same  bool  `json:"same,omitempty"`
	ForMs int64 `json:"for_ms"`
	Roots int   `json:"roots"`
}

// Grants are parts of upstreams' requests.
type Grants []ratelease.Grant

// grantSize is the size of a grant in messages, before it is written as text: the upstream
// and two counts.
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
		*g = append(*g, ratelease.Grant{Upstream: ratelease.Upstream(binary.BigEndian.Uint64(grant)), Parts: int(grant[8]), Of: int(grant[9])})
	}
	return nil
}

// lease is what the host gets of this one's holding; has is the digest of the grants that it
// has already.
func (h *hub) lease(host string, has uint64) Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, digest := h.lessor.Lease(host, boottime.Now())
	if len(l.Grants) == 0 {
		return Lease{}
	}
	wire := Lease{ForMs: l.For.Milliseconds(), Roots: l.Roots}
	if wire.Same = digest == has; !wire.Same {
		wire.Grants = l.Grants
	}
	return wire
}

// lease is what the reply grants; had are the grants that the host reported to have.
func (l Lease) lease(had Grants) ratelease.Lease {
	grants := l.Grants
	if l.Same {
		grants = had
	}
	return ratelease.Lease{Grants: grants, For: time.Duration(l.ForMs) * time.Millisecond, Roots: l.Roots}
}

// hold begins a lease that this host was given when it asked, and decides who gets it. This
// host itself is one of those that report here, also where nobody else does: those that did
// may hold a lease for a moment.
func (h *hub) hold(l ratelease.Lease, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOld()
	now := boottime.Now()
	reporters := map[string]int{h.self: 1}
	for name, got := range h.reports {
		if !got.fromHub {
			reporters[name] = got.hosts
		}
	}
	holding := ratelease.Hold(l, asked, nil)
	h.lessor.Assign(holding.Lease(now), reporters, now)
}

// rooted says whether this host's holding comes from a root, or it is one.
func (h *hub) rooted() bool { return boottime.Since(h.rootedLast()) < ratelease.LeaseTime }

// rootedLast is when a root of the tree stood behind what this host holds.
func (h *hub) rootedLast() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rootedAt
}

// noteRooted takes in that a root stood behind what this host holds at the time.
func (h *hub) noteRooted(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rootedAt = at
}

// takeLease takes what the hub granted to this host and those that report to it.
func (m *Member) takeLease(reply Reply, asked time.Time) {
	lease := reply.Lease.lease(m.granted)
	m.granted = lease.Grants
	if reply.Rooted {
		m.hub.noteRooted(asked)
	}
	m.hub.hold(lease, asked)
	m.holdOwn()
}

// holdAsRoot has a root of the tree hold its part of all upstreams that are leased.
func (m *Member) holdAsRoot() {
	if m.options.Leased == nil {
		return
	}
	roots := len(m.options.Seeds)
	m.hub.noteRooted(boottime.Now())
	m.hub.hold(ratelease.Root(m.options.Leased(roots), roots), boottime.Now())
}

// holdOwn takes what this host gets of its own holding.
func (m *Member) holdOwn() {
	if m.options.TakeHolding == nil {
		return
	}
	now := boottime.Now()
	lease := m.hub.lease(m.options.Host, 0).lease(nil)
	if own := m.unledRoot(); len(own) > 0 {
		lease = ratelease.Root(ratelease.Merge(own, lease.Grants), len(m.options.Seeds))
	}
	m.holding = ratelease.Hold(lease, now, &m.holding)
	m.options.TakeHolding(m.holding, m.hub.rootedLast())
}

// unledRoot is what a seed hands out that reports to another one of its zone, to itself
// alone: nobody else has it.
func (m *Member) unledRoot() []ratelease.Grant {
	seeds, self := m.options.Seeds, m.options.Listen
	if m.options.Leased == nil || m.current == self || !slices.Contains(seeds, self) || boottime.Since(m.hub.startedAt) < ratelease.Handover {
		return nil
	}
	return m.options.Leased(len(seeds))
}

var (
	_ json.Marshaler   = Grants{}
	_ json.Unmarshaler = (*Grants)(nil)
)
