package exchange

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// LimitUpdates are changes of upstreams' limits on the wire.
type LimitUpdates []ratelease.LimitUpdate

const (
	// limitEntrySize is the size of an encoded update in bytes, before base64: the upstream,
	// the limit, and the age up to maxLimitAge.
	limitEntrySize = 8 + 4 + 2
	maxLimitAge    = math.MaxUint16 * time.Millisecond
	// noLimitValue encodes that the upstream no longer has a limit.
	noLimitValue = -1
	// maxLimitUpdates bounds the updates in one message to 4 KB.
	maxLimitUpdates = 224
)

// MarshalJSON implements json.Marshaler.
func (w LimitUpdates) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, limitEntrySize*len(w))
	for _, update := range w {
		limit := float32(update.Limit)
		if update.Ended {
			limit = noLimitValue
		}
		packed = binary.BigEndian.AppendUint64(packed, uint64(update.Upstream))
		packed = binary.BigEndian.AppendUint32(packed, math.Float32bits(limit))
		packed = binary.BigEndian.AppendUint16(packed, uint16(min(maxLimitAge, max(0, update.Age))/time.Millisecond))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *LimitUpdates) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, limitEntrySize)
	if err != nil {
		return err
	}
	*w = make(LimitUpdates, 0, len(packed)/limitEntrySize)
	for entry := range slices.Chunk(packed, limitEntrySize) {
		update := ratelease.LimitUpdate{Upstream: ratelease.UpstreamID(binary.BigEndian.Uint64(entry)), Age: time.Duration(binary.BigEndian.Uint16(entry[12:])) * time.Millisecond}
		limit := math.Float32frombits(binary.BigEndian.Uint32(entry[8:]))
		if limit >= 0 {
			update.Limit = ratelease.Limit(limit)
		} else {
			update.Ended = true // negative or NaN
		}
		*w = append(*w, update)
	}
	return nil
}

// LimitBatch is ratelease.LimitBatch on the wire.
type LimitBatch struct {
	Updates  LimitUpdates        `json:"words,omitempty"`
	Cursor   ratelease.LogCursor `json:"mark"`
	Complete bool                `json:"whole,omitempty"`
}

func (n LimitBatch) decode() ratelease.LimitBatch {
	return ratelease.LimitBatch{Updates: n.Updates, Cursor: n.Cursor, Complete: n.Complete}
}

// limitsSince returns the limits after the mark that are sent to the audience.
func (h *hub) limitsSince(known ratelease.LogCursor, to audience) LimitBatch {
	h.mu.Lock()
	defer h.mu.Unlock()
	batch := h.limits.Since(known, maxLimitUpdates, to == toHub, boottime.Now())
	whole := batch.Complete && h.hasAllLimits && boottime.Since(h.startedAt) >= limitRelearnTime
	return LimitBatch{Updates: batch.Updates, Cursor: batch.Cursor, Complete: whole}
}

// limitRelearnTime is how long a hub that has started waits for its followers and other hubs to
// send their limits again, before it claims to have all of them.
const limitRelearnTime = 3 * time.Second

// recordLimits records limits that a host or another hub sent. whole means that they are all
// the limits of the hub that this one reports to.
func (h *hub) recordLimits(fromHub bool, updates []ratelease.LimitUpdate, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	h.limits.Add(fromHub, updates, now)
	if whole {
		h.limits.EndMissing(updates, now)
	}
}

// applyHubLimits applies the limits in the hub's reply. A host with followers passes them on
// through its own hub.
func (m *Member) applyHubLimits(batch LimitBatch, hasFollowers bool) {
	updates, reset, whole := m.limits.Apply(batch.decode())
	if reset {
		m.resendLimits()
	}
	m.hub.setHasAllLimits(m.limits.Complete())
	if hasFollowers {
		m.hub.recordLimits(true, updates, whole)
		return
	}
	m.deliverLimits(updates, whole)
}

// resendLimits makes the next reports repeat all limits of this host and its followers, for a
// hub that may have none.
func (m *Member) resendLimits() {
	m.forwardedLimitsMark = ratelease.LogCursor{}
	if m.options.KnownLimits != nil && !m.hasFollowers {
		m.unsentLimits = m.options.KnownLimits()
	}
}

// nextLimitUpdates returns the limit updates for the next report.
func (m *Member) nextLimitUpdates() []ratelease.LimitUpdate {
	if m.options.Limits == nil {
		return nil
	}
	m.unsentLimits = append(m.unsentLimits, m.options.Limits()...)
	return m.unsentLimits[:min(maxLimitUpdates, len(m.unsentLimits))]
}

// setHasAllLimits records whether the hub that this one reports to has sent all its limits, or
// this host is a root.
func (h *hub) setHasAllLimits(hasAll bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasAllLimits = hasAll
}

// applyOwnHubLimits applies the limits that this host's own hub has.
func (m *Member) applyOwnHubLimits() {
	updates, _, whole := m.ownLimits.Apply(m.hub.limitsSince(m.ownLimits.Cursor(), toHost).decode())
	m.deliverLimits(updates, whole)
}

func (m *Member) deliverLimits(updates []ratelease.LimitUpdate, whole bool) {
	if m.options.OnLimits != nil && (whole || len(updates) > 0) {
		m.options.OnLimits(updates, whole)
	}
}

// setHasFollowers records whether this host has followers. When that changes, it requests all
// limits again: this host's own hub has them only while it has followers.
func (m *Member) setHasFollowers(hasFollowers bool) {
	if hasFollowers != m.hasFollowers {
		m.hasFollowers = hasFollowers
		m.limits, m.ownLimits = ratelease.LogReader{}, ratelease.LogReader{}
	}
}

var (
	_ json.Marshaler   = LimitUpdates{}
	_ json.Unmarshaler = (*LimitUpdates)(nil)
)
