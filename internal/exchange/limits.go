package exchange

import (
	"encoding/binary"
	"encoding/json"
	"maps"
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
	// maxLimits bounds what a hub keeps, in entries of some 100 bytes.
	maxLimits = 16_384
	// endedKept is how long a hub keeps the end of a limit for other hosts.
	endedKept = time.Minute
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

// LimitNews is what a hub tells of limits.
type LimitNews struct {
	Words LimitWords `json:"words,omitempty"`
	// Epoch is the run of the hub that numbers its words, Last the number of the last one
	// told.
	Epoch uint64 `json:"epoch"`
	Last  uint64 `json:"last,omitempty"`
	// Whole says that the hub has told all, and that it heard what others know: a limit of
	// which it said nothing is over.
	Whole bool `json:"whole,omitempty"`
}

// LimitsKnown is how far a host knows a hub's words.
type LimitsKnown struct {
	Epoch uint64 `json:"epoch,omitempty"`
	Last  uint64 `json:"last,omitempty"`
}

// limitLog is what a hub knows of the limits of upstreams: the newest word of each, numbered in
// the order in which they came. It isn't safe for concurrent use.
type limitLog struct {
	epoch uint64
	known map[ratelease.Upstream]*loggedLimit
	// order has the words by their numbers, some of them replaced by newer ones.
	order []*loggedLimit
	last  uint64
}

// loggedLimit is the word of an upstream.
type loggedLimit struct {
	word   ratelease.Word
	at     time.Time
	number uint64
	// fromHub says that another hub told it.
	fromHub bool
}

func newLimitLog() *limitLog {
	return &limitLog{epoch: uint64(time.Now().UnixNano()), known: make(map[ratelease.Upstream]*loggedLimit)}
}

// add takes what a host or another hub told. Where that is older than what is known and says
// otherwise, what is known is told again.
func (l *limitLog) add(fromHub bool, words []ratelease.Word, now time.Time) {
	for _, word := range words {
		at, known := now.Add(-word.Age), l.known[word.Upstream]
		same := known != nil && known.word.Ended == word.Ended && known.word.Limit == word.Limit
		switch {
		case known == nil && word.Ended:
		case same:
			if at.After(known.at) {
				known.at = at
			}
		case known == nil || at.After(known.at):
			l.put(loggedLimit{word: word, at: at, fromHub: fromHub})
		default:
			l.put(*known)
		}
	}
	if len(l.order) > 2*len(l.known)+maxLimitWords {
		l.compact(now)
	}
}

// put makes the word the newest one.
func (l *limitLog) put(word loggedLimit) {
	l.last++
	word.number = l.last
	l.known[word.word.Upstream] = &word
	l.order = append(l.order, &word)
	if len(l.known) > maxLimits {
		delete(l.known, l.oldest().word.Upstream)
	}
}

// oldest is the word that was told first. There is one.
func (l *limitLog) oldest() *loggedLimit {
	i := slices.IndexFunc(l.order, l.current)
	l.order = l.order[i:]
	return l.order[0]
}

// current says whether no newer word replaced this one.
func (l *limitLog) current(e *loggedLimit) bool { return l.known[e.word.Upstream] == e }

// compact drops words that were replaced, and ends that all hosts know.
func (l *limitLog) compact(now time.Time) {
	maps.DeleteFunc(l.known, func(_ ratelease.Upstream, e *loggedLimit) bool { return e.word.Ended && now.Sub(e.at) > endedKept })
	l.order = slices.DeleteFunc(l.order, func(e *loggedLimit) bool { return !l.current(e) })
}

// since is what the audience is told that knows so much: the oldest first.
func (l *limitLog) since(known LimitsKnown, who audience, now time.Time) LimitNews {
	if known.Epoch != l.epoch {
		known.Last = 0
	}
	news := LimitNews{Epoch: l.epoch, Last: l.last, Whole: true}
	from, _ := slices.BinarySearchFunc(l.order, known.Last+1, func(e *loggedLimit, number uint64) int {
		return int(int64(e.number) - int64(number))
	})
	for _, e := range l.order[from:] {
		if !l.current(e) || who == toHub && e.fromHub {
			continue
		}
		if len(news.Words) == maxLimitWords {
			news.Whole = false
			return news
		}
		word := e.word
		word.Age = now.Sub(e.at)
		news.Words = append(news.Words, word)
		news.Last = e.number
	}
	news.Last = l.last
	return news
}

// keep ends the limits that other hubs told and that the one which this host reports to
// doesn't know.
func (l *limitLog) keep(words []ratelease.Word, now time.Time) {
	told := make(map[ratelease.Upstream]bool, len(words))
	for _, word := range words {
		told[word.Upstream] = true
	}
	for u, e := range maps.Clone(l.known) {
		if e.fromHub && !e.word.Ended && !told[u] {
			l.put(loggedLimit{word: ratelease.Word{Upstream: u, Ended: true}, at: now, fromHub: true})
		}
	}
}

// limitSync follows a hub's words.
type limitSync struct {
	known LimitsKnown
	// whole says that all that the hub knew was told once, gathered is what was told until
	// then.
	whole    bool
	gathered []ratelease.Word
}

// take takes what the hub told. anew says that the hub is another one than before, or
// started again; whole says that the words are all that it knows.
func (s *limitSync) take(news LimitNews) (words []ratelease.Word, anew, whole bool) {
	if anew = news.Epoch != s.known.Epoch; anew {
		*s = limitSync{} // the hub told from its first word on
	}
	s.known = LimitsKnown{Epoch: news.Epoch, Last: news.Last}
	if s.whole {
		return news.Words, false, false
	}
	s.gathered = append(s.gathered, news.Words...)
	if !news.Whole {
		return news.Words, anew, false
	}
	words, s.gathered, s.whole = s.gathered, nil, true
	return words, anew, true
}

// limitsSince is what the audience is told of limits.
func (h *hub) limitsSince(known LimitsKnown, who audience) LimitNews {
	h.mu.Lock()
	defer h.mu.Unlock()
	news := h.limits.since(known, who, boottime.Now())
	news.Whole = news.Whole && h.knowsLimits && boottime.Since(h.startedAt) >= retellTime
	return news
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
	h.limits.add(fromHub, words, now)
	if whole {
		h.limits.keep(words, now)
	}
}

// takeHubLimits takes what the hub told that this host reports to. One that leads others
// passes it on to them.
func (m *Member) takeHubLimits(news LimitNews, leads bool) {
	words, anew, whole := m.limits.take(news)
	if anew {
		m.retellLimits()
	}
	m.hub.noteKnowsLimits(m.limits.whole)
	if leads {
		m.hub.takeLimits(true, words, whole)
		return
	}
	m.tellLimits(words, whole)
}

// retellLimits has a hub that may know nothing told what this host and those that it leads
// know.
func (m *Member) retellLimits() {
	m.toldLimits = LimitsKnown{}
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
	words, _, whole := m.ownLimits.take(m.hub.limitsSince(m.ownLimits.known, toHost))
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
		m.limits, m.ownLimits = limitSync{}, limitSync{}
	}
}

var (
	_ json.Marshaler   = LimitWords{}
	_ json.Unmarshaler = (*LimitWords)(nil)
)
