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

// LimitWords are words of limits in a message.
type LimitWords []ratelease.Word

const (
	// limitWordSize is the size of a word in messages, before it is written as text: the
	// upstream, the limit, and the age up to maxWordAge.
	limitWordSize = 8 + 4 + 2
	maxWordAge    = math.MaxUint16 * time.Millisecond
	// limitEnded stands for no limit in messages.
	limitEnded = -1
	// maxLimitWords bounds the words in a message: 4 KB.
	maxLimitWords = 224
)

// MarshalJSON implements json.Marshaler.
func (w LimitWords) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, limitWordSize*len(w))
	for _, word := range w {
		limit := float32(word.Limit)
		if word.Ended {
			limit = limitEnded
		}
		packed = binary.BigEndian.AppendUint64(packed, uint64(word.Upstream))
		packed = binary.BigEndian.AppendUint32(packed, math.Float32bits(limit))
		packed = binary.BigEndian.AppendUint16(packed, uint16(min(maxWordAge, max(0, word.Age))/time.Millisecond))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *LimitWords) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, limitWordSize)
	if err != nil {
		return err
	}
	*w = make(LimitWords, 0, len(packed)/limitWordSize)
	for entry := range slices.Chunk(packed, limitWordSize) {
		word := ratelease.Word{Upstream: ratelease.Upstream(binary.BigEndian.Uint64(entry)), Age: time.Duration(binary.BigEndian.Uint16(entry[12:])) * time.Millisecond}
		limit := math.Float32frombits(binary.BigEndian.Uint32(entry[8:]))
		if limit >= 0 {
			word.Limit = ratelease.Limit(limit)
		} else {
			word.Ended = true // or not a number
		}
		*w = append(*w, word)
	}
	return nil
}

// LimitNews is ratelease.News on the wire.
type LimitNews struct {
	Words LimitWords     `json:"words,omitempty"`
	Mark  ratelease.Mark `json:"mark"`
	Whole bool           `json:"whole,omitempty"`
}

func (n LimitNews) news() ratelease.News {
	return ratelease.News{Words: n.Words, Mark: n.Mark, Whole: n.Whole}
}

// limitsSince is what the audience is told of limits.
func (h *hub) limitsSince(known ratelease.Mark, who audience) LimitNews {
	h.mu.Lock()
	defer h.mu.Unlock()
	news := h.limits.Since(known, maxLimitWords, who == toHub, boottime.Now())
	whole := news.Whole && h.knowsLimits && boottime.Since(h.startedAt) >= retellTime
	return LimitNews{Words: news.Words, Mark: news.Mark, Whole: whole}
}

// retellTime is how long a hub that started waits for the words that its followers and other
// hubs tell it again.
const retellTime = 3 * time.Second

// takeLimits takes what a host or another hub told; whole says that it is all that the hub
// knows that this one reports to.
func (h *hub) takeLimits(fromHub bool, words []ratelease.Word, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	h.limits.Add(fromHub, words, now)
	if whole {
		h.limits.Keep(words, now)
	}
}

// takeHubLimits takes what the hub told that this host reports to. One that leads others
// passes it on to them.
func (m *Member) takeHubLimits(news LimitNews, leads bool) {
	words, anew, whole := m.limits.Take(news.news())
	if anew {
		m.retellLimits()
	}
	m.hub.noteKnowsLimits(m.limits.Whole())
	if leads {
		m.hub.takeLimits(true, words, whole)
		return
	}
	m.tellLimits(words, whole)
}

// retellLimits has a hub that may know nothing told what this host and those that it leads
// know.
func (m *Member) retellLimits() {
	m.toldLimits = ratelease.Mark{}
	if m.options.KnownLimits != nil && !m.leading {
		m.untoldLimits = m.options.KnownLimits()
	}
}

// limitWords are what the next report tells of limits.
func (m *Member) limitWords() []ratelease.Word {
	if m.options.Limits == nil {
		return nil
	}
	m.untoldLimits = append(m.untoldLimits, m.options.Limits()...)
	return m.untoldLimits[:min(maxLimitWords, len(m.untoldLimits))]
}

// noteKnowsLimits says whether the hub that this one reports to has told all of its words,
// or this one is a root.
func (h *hub) noteKnowsLimits(knows bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.knowsLimits = knows
}

// takeOwnLimits takes what the own hub knows.
func (m *Member) takeOwnLimits() {
	words, _, whole := m.ownLimits.Take(m.hub.limitsSince(m.ownLimits.Mark(), toHost).news())
	m.tellLimits(words, whole)
}

func (m *Member) tellLimits(words []ratelease.Word, whole bool) {
	if m.options.TakeLimits != nil && (whole || len(words) > 0) {
		m.options.TakeLimits(words, whole)
	}
}

// noteLeads has this host hear all words of limits again when it begins to lead others or
// ends to: its own hub knows them only while it leads.
func (m *Member) noteLeads(leads bool) {
	if leads != m.leading {
		m.leading = leads
		m.limits, m.ownLimits = ratelease.Follower{}, ratelease.Follower{}
	}
}

var (
	_ json.Marshaler   = LimitWords{}
	_ json.Unmarshaler = (*LimitWords)(nil)
)
