package exchange

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/warmup"
)

// Lease is warmup.Lease on the wire.
type Lease struct {
	Upstreams Names `json:"upstreams"`
	ForMs     int64 `json:"for_ms"`
	Roots     int   `json:"roots"`
}

// Names are upstreams, four bytes each in messages.
type Names []Name

// nameSize is the size of a name in messages, before it is written as text.
const nameSize = 4

// MarshalJSON implements json.Marshaler.
func (n Names) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, nameSize*len(n))
	for _, name := range n {
		packed = binary.BigEndian.AppendUint32(packed, uint32(name))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *Names) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, nameSize)
	if err != nil {
		return err
	}
	*n = make(Names, 0, len(packed)/nameSize)
	for name := range slices.Chunk(packed, nameSize) {
		*n = append(*n, Name(binary.BigEndian.Uint32(name)))
	}
	return nil
}

// newLease is empty for a lease of nothing, which messages leave out.
func newLease(l warmup.Lease) Lease {
	if len(l.Upstreams) == 0 {
		return Lease{}
	}
	wire := Lease{ForMs: l.For.Milliseconds(), Roots: l.Roots}
	for _, u := range l.Upstreams {
		wire.Upstreams = append(wire.Upstreams, Name(u))
	}
	return wire
}

func (l Lease) lease() warmup.Lease {
	return warmup.Lease{Upstreams: upstreams(l.Upstreams), For: time.Duration(l.ForMs) * time.Millisecond, Roots: l.Roots}
}

func upstreams(names []Name) []warmup.Upstream {
	list := make([]warmup.Upstream, 0, len(names))
	for _, name := range names {
		list = append(list, warmup.Upstream(name))
	}
	return list
}

// hold begins a lease that this host was given when it asked, and decides who gets it. This
// host itself is one of those that report here, also where nobody else does: those that did
// may hold a lease for a moment.
func (h *hub) hold(l warmup.Lease, asked time.Time) {
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
	holding := warmup.Hold(l, asked)
	h.lessor.Assign(holding.Lease(now), reporters, now)
}

// lease is what the host gets of this one's holding.
func (h *hub) lease(host string) warmup.Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lessor.Lease(host, boottime.Now())
}

// holdAsRoot has a root of the tree hold its part for all cold upstreams.
func (m *Member) holdAsRoot() {
	if m.options.Cold == nil {
		return
	}
	roots := len(m.options.Seeds)
	m.hub.hold(warmup.Root(upstreams(m.options.Cold(roots)), roots), boottime.Now())
}

// holdOwn takes what this host gets of its own holding.
func (m *Member) holdOwn() {
	if m.options.TakeHolding != nil {
		now := boottime.Now()
		m.options.TakeHolding(warmup.Hold(m.hub.lease(m.options.Host), now))
	}
}

var (
	_ json.Marshaler   = Names{}
	_ json.Unmarshaler = (*Names)(nil)
)
