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

// LimitUpdates is a list of limit updates on the wire.
type LimitUpdates []ratelease.LimitUpdate

const (
	// limitEntrySize is the size of an encoded update in bytes, before base64: the upstream,
	// the limit, and the age in milliseconds up to maxLimitAge.
	limitEntrySize = 8 + 4 + 2
	maxLimitAge    = math.MaxUint16 * time.Millisecond
	// noLimitValue is encoded in place of a limit that has ended.
	noLimitValue = -1
	// maxLimitUpdates bounds the updates in one message, so that they take at most 4 KB.
	maxLimitUpdates = 224
)

// MarshalJSON implements json.Marshaler.
func (l LimitUpdates) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, limitEntrySize*len(l))
	for _, update := range l {
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
func (l *LimitUpdates) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, limitEntrySize)
	if err != nil {
		return err
	}
	*l = make(LimitUpdates, 0, len(packed)/limitEntrySize)
	for entry := range slices.Chunk(packed, limitEntrySize) {
		update := ratelease.LimitUpdate{Upstream: ratelease.UpstreamID(binary.BigEndian.Uint64(entry)), Age: time.Duration(binary.BigEndian.Uint16(entry[12:])) * time.Millisecond}
		limit := math.Float32frombits(binary.BigEndian.Uint32(entry[8:]))
		if limit >= 0 {
			update.Limit = ratelease.Limit(limit)
		} else {
			update.Ended = true // negative or NaN
		}
		*l = append(*l, update)
	}
	return nil
}

// LimitBatch is ratelease.LimitBatch on the wire.
type LimitBatch struct {
	Updates  LimitUpdates        `json:"words,omitempty"`
	Cursor   ratelease.LogCursor `json:"mark"`
	Complete bool                `json:"whole,omitempty"`
}

func (b LimitBatch) decode() ratelease.LimitBatch {
	return ratelease.LimitBatch{Updates: b.Updates, Cursor: b.Cursor, Complete: b.Complete}
}

// limitsSince returns the limit updates after the cursor that are sent to the audience.
func (h *hub) limitsSince(cursor ratelease.LogCursor, to audience) LimitBatch {
	h.mu.Lock()
	defer h.mu.Unlock()
	batch := h.limits.Since(cursor, maxLimitUpdates, to == toHub, boottime.Now())
	complete := batch.Complete && h.hasAllLimits && boottime.Since(h.startedAt) >= limitRelearnDelay
	return LimitBatch{Updates: batch.Updates, Cursor: batch.Cursor, Complete: complete}
}

// limitRelearnDelay is how long a hub that has started waits for its followers and other hubs
// to send their limits again. Until then it doesn't mark a batch as complete.
const limitRelearnDelay = 3 * time.Second

// recordLimits stores limit updates from a host or another hub. complete reports that the
// updates are all limits that this host's hub has, so that any other limit received from a hub
// has ended.
func (h *hub) recordLimits(fromHub bool, updates []ratelease.LimitUpdate, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	h.limits.Add(fromHub, updates, now)
	if complete {
		h.limits.EndMissing(updates, now)
	}
}

// applyHubLimits processes the limit batch in the hub's reply. A host with followers passes the
// updates to its own hub, from which its followers receive them; any other host passes them to
// OnLimits.
func (m *Member) applyHubLimits(batch LimitBatch, hasFollowers bool) {
	updates, restarted, complete := m.hubLimitReader.Apply(batch.decode())
	if restarted {
		m.requeueLimits()
	}
	m.ownHub.setHasAllLimits(m.hubLimitReader.Complete())
	if hasFollowers {
		m.ownHub.recordLimits(true, updates, complete)
		return
	}
	m.deliverLimits(updates, complete)
}

// requeueLimits makes the next reports repeat all limits of this host and its followers, for a
// hub that may have none of them.
func (m *Member) requeueLimits() {
	m.forwardedLimitsCursor = ratelease.LogCursor{}
	if m.options.KnownLimits != nil && !m.hasFollowers {
		m.unsentLimits = m.options.KnownLimits()
	}
}

// nextLimitUpdates returns the limit updates for the next report, at most maxLimitUpdates.
func (m *Member) nextLimitUpdates() []ratelease.LimitUpdate {
	if m.options.Limits == nil {
		return nil
	}
	m.unsentLimits = append(m.unsentLimits, m.options.Limits()...)
	return m.unsentLimits[:min(maxLimitUpdates, len(m.unsentLimits))]
}

// setHasAllLimits records whether this host's hub has sent its whole limit log, or this host is
// a root hub.
func (h *hub) setHasAllLimits(hasAll bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasAllLimits = hasAll
}

// applyOwnHubLimits passes the new limit updates of this host's own hub to OnLimits.
func (m *Member) applyOwnHubLimits() {
	updates, _, complete := m.ownHubLimitReader.Apply(m.ownHub.limitsSince(m.ownHubLimitReader.Cursor(), toHost).decode())
	m.deliverLimits(updates, complete)
}

func (m *Member) deliverLimits(updates []ratelease.LimitUpdate, complete bool) {
	if m.options.OnLimits != nil && (complete || len(updates) > 0) {
		m.options.OnLimits(updates, complete)
	}
}

// setHasFollowers records whether this host has followers. When that changes, the host reads
// both limit logs from the start again, since its own hub has the limits only while it has
// followers.
func (m *Member) setHasFollowers(hasFollowers bool) {
	if hasFollowers != m.hasFollowers {
		m.hasFollowers = hasFollowers
		m.hubLimitReader, m.ownHubLimitReader = ratelease.LogReader{}, ratelease.LogReader{}
	}
}

var (
	_ json.Marshaler   = LimitUpdates{}
	_ json.Unmarshaler = (*LimitUpdates)(nil)
)
