package exchange

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/placement"
)

// EngineStates is the part of a report or reply on the engines of services whose prompts are placed
// by engine state. It is left out of messages while no such service is in use.
type EngineStates struct {
	// Loads holds the requests in flight by engine. The entry OtherEngines of a service holds the
	// sum over its engines that were left out because messages had no room for them.
	Loads EngineLoads `json:"loads,omitempty"`
	// Slice is the number, from 1, of the slice of the engines whose slowdowns the message
	// contains, and that the reply to it is to contain; 0 if none. The sums change slowly, so each
	// message has only a part of the engines.
	Slice     int       `json:"slice,omitempty"`
	Slowdowns Slowdowns `json:"slow,omitempty"`
}

// EngineID is the upper three bytes of an engine's IDHash. Among 12,000 engines, about four pairs
// have the same EngineID; both of a pair then count with their sum.
type EngineID uint32

// ServiceHash is a hash of a service's name, at least 1. The engines that are left out of messages
// count together for services with the same hash.
type ServiceHash uint8

// HashService returns the hash of a service's name.
func HashService(name string) ServiceHash { return ServiceHash(1 + HashID(name)%math.MaxUint8) }

// OtherEngines returns the key in EngineLoads of the sum over those engines of the service that
// were left out.
func OtherEngines(service ServiceHash) EngineID { return EngineID(service) }

// firstEngineID is the smallest EngineID of an engine. Its upper byte marks in messages that an
// entry isn't that of a service.
const firstEngineID EngineID = 1 << 16

// EngineID returns the id of the engine with the hash. It is at least firstEngineID.
func (h IDHash) EngineID() EngineID {
	id := EngineID(h >> 8)
	if id < firstEngineID {
		id += firstEngineID
	}
	return id
}

// bytes returns the encoded id, of three bytes.
func (id EngineID) bytes() []byte { return []byte{byte(id >> 16), byte(id >> 8), byte(id)} }

// engineIDOf returns the id at the begin of an encoded entry.
func engineIDOf(entry []byte) EngineID {
	return EngineID(entry[0])<<16 | EngineID(binary.BigEndian.Uint16(entry[1:]))
}

// EngineLoad is the load of an engine by requests in flight: their number, and the tokens that they
// need in its KV cache. Service is the engine's service.
type EngineLoad struct {
	Requests, Tokens float64
	Service          ServiceHash
}

// EngineLoads holds loads by engine, and by OtherEngines for each service.
type EngineLoads map[EngineID]EngineLoad

// add adds a load to that of the engine.
func (l EngineLoads) add(id EngineID, e EngineLoad) {
	sum := l[id]
	l[id] = EngineLoad{Requests: sum.Requests + e.Requests, Tokens: sum.Tokens + e.Tokens, Service: e.Service}
}

// Slowdowns holds the sums of slowdown samples by engine. placement.Slowdown.NewestAt isn't sent.
type Slowdowns map[EngineID]placement.Slowdown

// EngineLoadsAge is the age that the loads of engines can have when a host receives them.
const EngineLoadsAge = exchangesPerLoads * Interval

const (
	// exchangesPerLoads is the number of exchanges of which one carries engine loads. One lost
	// exchange must not make them older than MaxWorkAge.
	exchangesPerLoads = 2
	// exchangesPerSlowdowns is the number of exchanges, a multiple of exchangesPerLoads, of which
	// one carries slowdowns: about one a second. slowdownSlices is the number of slices.
	exchangesPerSlowdowns = 8
	slowdownSlices        = 4
	// maxReportedLoads and maxRepliedLoads bound the loads in a report and in the reply to a host.
	// With 300 ms between them they take 1.4 KB a second. A host has requests at about as many
	// engines as the mean engine has requests: 20 of 140, with 90 hosts. maxHubLoads bounds the
	// loads in messages between hubs.
	maxReportedLoads = 24
	maxRepliedLoads  = 36
	maxHubLoads      = 160
	// maxSlowdowns bounds the slowdowns in a message. 140 engines have 35 in a slice.
	maxSlowdowns = 48
	// engineEntrySize is the size of an encoded entry in bytes, before base64: an EngineID and two
	// values of one byte.
	engineEntrySize = 3 + 2
	// stepsPerDoubling is the number of codes of a value between it and its double, so that a
	// value is rounded by at most 2.2%.
	stepsPerDoubling = 16
	// tokensUnit and weightUnit are the values that logCode encodes as stepsPerDoubling; smaller
	// ones are rounded by up to 4.4% of the unit.
	tokensUnit = 64
	weightUnit = 0.25
	// otherTokensUnit is the unit for the sum over many engines: it permits a billion tokens.
	otherTokensUnit = 256 * tokensUnit
)

// logCode encodes a value of at least 0 as one byte on a logarithmic scale.
func logCode(value, unit float64) byte {
	if !(value > 0) {
		return 0
	}
	return byte(min(math.MaxUint8, math.Round(stepsPerDoubling*math.Log2(1+value/unit))))
}

func logValue(code byte, unit float64) float64 {
	return unit * (math.Exp2(float64(code)/stepsPerDoubling) - 1)
}

// factorCode encodes a slowdown between placement.MinSlowdown and placement.MaxSlowdown as a byte.
func factorCode(factor float64) byte {
	if !(factor > 0) {
		factor = 1
	}
	factor = min(placement.MaxSlowdown, max(placement.MinSlowdown, factor))
	return byte(math.Round(stepsPerDoubling * math.Log2(factor/placement.MinSlowdown)))
}

func factorValue(code byte) float64 {
	return min(placement.MaxSlowdown, placement.MinSlowdown*math.Exp2(float64(code)/stepsPerDoubling))
}

// MarshalJSON implements json.Marshaler. The entry of each service precedes those of its engines. It
// consists of a zero byte, the service, the requests as two bytes, and the tokens.
func (l EngineLoads) MarshalJSON() ([]byte, error) {
	byService := make(map[ServiceHash][]EngineID)
	for id, e := range l {
		byService[e.Service] = append(byService[e.Service], id)
	}
	packed := make([]byte, 0, engineEntrySize*(len(l)+len(byService)))
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		others := l[OtherEngines(service)]
		packed = binary.BigEndian.AppendUint16(append(packed, 0, byte(service)), uint16(roundedCount(others.Requests, math.MaxUint16)))
		packed = append(packed, logCode(others.Tokens, otherTokensUnit))
		ids := byService[service]
		slices.Sort(ids)
		for _, id := range ids {
			if id >= firstEngineID {
				packed = append(packed, id.bytes()...)
				packed = append(packed, byte(roundedCount(l[id].Requests, math.MaxUint8)), logCode(l[id].Tokens, tokensUnit))
			}
		}
	}
	return marshalPacked(packed)
}

// roundedCount returns a number that may be invalid as a whole one from 0 to limit.
func roundedCount(n, limit float64) float64 {
	if !(n > 0) {
		return 0
	}
	return min(limit, math.Round(n))
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *EngineLoads) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, engineEntrySize)
	if err != nil {
		return err
	}
	*l = make(EngineLoads, len(packed)/engineEntrySize)
	service := ServiceHash(0)
	for e := range slices.Chunk(packed, engineEntrySize) {
		if e[0] != 0 {
			(*l)[engineIDOf(e)] = EngineLoad{Requests: float64(e[3]), Tokens: logValue(e[4], tokensUnit), Service: service}
			continue
		}
		service = ServiceHash(e[1])
		if others := float64(binary.BigEndian.Uint16(e[2:])); others > 0 {
			(*l)[OtherEngines(service)] = EngineLoad{Requests: others, Tokens: logValue(e[4], otherTokensUnit), Service: service}
		}
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (s Slowdowns) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, engineEntrySize*len(s))
	for _, id := range slices.Sorted(maps.Keys(s)) {
		packed = append(packed, id.bytes()...)
		packed = append(packed, logCode(s[id].Weight, weightUnit), factorCode(s[id].Sum/s[id].Weight))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Slowdowns) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, engineEntrySize)
	if err != nil {
		return err
	}
	*s = make(Slowdowns, len(packed)/engineEntrySize)
	for e := range slices.Chunk(packed, engineEntrySize) {
		w := logValue(e[3], weightUnit)
		(*s)[engineIDOf(e)] = placement.Slowdown{Weight: w, Sum: w * factorValue(e[4])}
	}
	return nil
}

// SlowdownSlice returns the number of the slice that the engine's slowdown is sent in.
func SlowdownSlice(id EngineID) int { return int(id%slowdownSlices) + 1 }

// most returns the entries with the highest values, at most limit.
func most[V any](entries map[EngineID]V, limit int, value func(V) float64) map[EngineID]V {
	if len(entries) <= limit {
		return entries
	}
	type ranked struct {
		id    EngineID
		value float64
	}
	list := make([]ranked, 0, len(entries))
	for id, e := range entries {
		list = append(list, ranked{id, value(e)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.id, b.id))
	})
	kept := make(map[EngineID]V, limit)
	for _, r := range list[:limit] {
		kept[r.id] = entries[r.id]
	}
	return kept
}

// busiest returns the entries of the engines with the most requests, fewer than limit, and adds the
// others to the entry of their service under OtherEngines.
func (l EngineLoads) busiest(limit int) EngineLoads {
	engines := maps.Clone(l)
	maps.DeleteFunc(engines, func(id EngineID, _ EngineLoad) bool { return id < firstEngineID })
	kept := EngineLoads(most(engines, limit-1, func(e EngineLoad) float64 { return e.Requests }))
	for id, e := range l {
		if _, ok := kept[id]; !ok || id < firstEngineID {
			kept.add(OtherEngines(e.Service), e)
		}
	}
	return kept
}

// bounded returns the states with at most the permitted number of entries; nil for nil.
func (e *EngineStates) bounded(maxLoads int) *EngineStates {
	if e == nil {
		return nil
	}
	weight := func(s placement.Slowdown) float64 { return s.Weight }
	return &EngineStates{Loads: e.Loads.busiest(maxLoads), Slice: e.Slice, Slowdowns: most(e.Slowdowns, maxSlowdowns, weight)}
}

// receivedEngines holds the latest loads and slices of slowdowns that a host or another hub sent.
type receivedEngines struct {
	loads     EngineLoads
	loadsAt   time.Time
	slowdowns [slowdownSlices]Slowdowns
}

// recordEngines stores the states that a host or another hub sent, under its key in the reports.
// The caller holds the lock.
func (h *hub) recordEngines(key string, e *EngineStates) {
	if e == nil {
		return
	}
	received := h.engines[key]
	if received == nil {
		received = &receivedEngines{}
		h.engines[key] = received
	}
	received.loads, received.loadsAt = e.Loads, boottime.Now()
	if e.Slice >= 1 && e.Slice <= slowdownSlices {
		received.slowdowns[e.Slice-1] = e.Slowdowns
	}
}

// otherEngines returns the sums over the states of all hosts except self, with the given slice of
// slowdowns and at most maxLoads loads; nil if no host sent any. Loads that are older than
// MaxWorkAge don't count.
func (h *hub) otherEngines(self string, slice int, to audience, maxLoads int) *EngineStates {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	sum := &EngineStates{Loads: h.loadsWithout(self, to), Slowdowns: make(Slowdowns)}
	if slice >= 1 && slice <= slowdownSlices {
		sum.Slice = slice
	}
	found := false
	for key, received := range h.engines {
		report, ok := h.reports[key]
		if !ok {
			delete(h.engines, key)
			continue
		}
		if key == self || !to.includes(report) {
			continue
		}
		found = true
		if sum.Slice > 0 {
			sum.addSlowdowns(received.slowdowns[slice-1])
		}
	}
	if !found {
		return nil
	}
	return sum.bounded(maxLoads)
}

// loadSumsAge is how long sums over loads are used for replies. Adding up all reports for each of 64
// followers took several percent of a core. It adds little to the age of the loads, which are
// reported every 300 ms.
const loadSumsAge = Interval / 3

// loadSums holds the sum over the loads of all hosts as of at, and what each of them added to it.
type loadSums struct {
	at    time.Time
	sum   EngineLoads
	added map[string]EngineLoads
}

// loadsWithout returns the sum over the loads of all hosts except self, which is at most loadSumsAge
// old. The caller holds the lock.
func (h *hub) loadsWithout(self string, to audience) EngineLoads {
	sums := &h.loadSums[to]
	if boottime.Since(sums.at) >= loadSumsAge {
		*sums = loadSums{at: boottime.Now(), sum: make(EngineLoads), added: make(map[string]EngineLoads, len(h.engines))}
		for key, received := range h.engines {
			report, ok := h.reports[key]
			if ok && to.includes(report) && boottime.Since(received.loadsAt) <= MaxWorkAge {
				sums.added[key] = received.loads
				for id, e := range received.loads {
					sums.sum.add(id, e)
				}
			}
		}
	}
	loads := maps.Clone(sums.sum)
	for id, e := range sums.added[self] {
		loads.add(id, EngineLoad{Requests: -e.Requests, Tokens: -e.Tokens, Service: e.Service})
		if loads[id].Requests <= 0 {
			delete(loads, id)
		}
	}
	return loads
}

// answerEngines returns the states for the reply to a report; nil if the report has none.
func (h *hub) answerEngines(from string, r Report, to audience) *EngineStates {
	if r.Engines == nil {
		return nil
	}
	maxLoads := maxRepliedLoads
	if to == toHub || r.Hosts > 1 {
		maxLoads = maxHubLoads
	}
	return h.otherEngines(from, r.Engines.Slice, to, maxLoads)
}

func (e *EngineStates) addSlowdowns(slowdowns Slowdowns) {
	for id, s := range slowdowns {
		sum := e.Slowdowns[id]
		sum.Add(s)
		e.Slowdowns[id] = sum
	}
}

// hasEngines reports whether any host sent engine states.
func (h *hub) hasEngines() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.engines) > 0
}

// enginesDue reports whether the current exchange carries engine states, and returns the slice of
// slowdowns in it, or 0.
func (m *Member) enginesDue() (slice int, due bool) {
	if m.reportCount%exchangesPerSlowdowns == 1 {
		slice = m.reportCount/exchangesPerSlowdowns%slowdownSlices + 1
	}
	return slice, m.reportCount%exchangesPerLoads == 1
}

// nextEngines returns this host's engine states for the next report; nil if none are due, or if the
// host uses no service whose prompts are placed by them.
func (m *Member) nextEngines() *EngineStates {
	slice, due := m.enginesDue()
	if !due || m.options.Engines == nil {
		return nil
	}
	return m.options.Engines(slice).bounded(maxReportedLoads)
}

// subtreeEngines returns the engine states of this host and its followers for the next report to
// the hub; nil if none are due or there are none.
func (m *Member) subtreeEngines() *EngineStates {
	slice, due := m.enginesDue()
	if !due {
		return nil
	}
	return m.ownHub.otherEngines("", slice, toHub, maxHubLoads)
}

// engineAnswers is what another seed last answered on engines: when the last queries with loads and
// with slowdowns started that it answered, and the slice of these slowdowns.
type engineAnswers struct {
	loadsAt, slowdownsAt time.Time
	slice                int
}

// engineQuery returns the engine states of a query to a seed that gave the answers, and the answers
// once it has answered this query. The states are nil if none are due or no host sent any here. What
// is due depends on the time and not on the number of the exchange, because a query that takes longer
// than an interval leaves out exchanges.
func (m *Member) engineQuery(last engineAnswers) (*EngineStates, engineAnswers) {
	now := boottime.Now()
	due := func(at time.Time, exchanges int) bool {
		return now.Sub(at) >= time.Duration(exchanges)*Interval-Interval/2
	}
	if !due(last.loadsAt, exchangesPerLoads) || !m.ownHub.hasEngines() {
		return nil, last
	}
	query := &EngineStates{}
	last.loadsAt = now
	if due(last.slowdownsAt, exchangesPerSlowdowns) {
		last.slowdownsAt, last.slice = now, last.slice%slowdownSlices+1
		query.Slice = last.slice
	}
	return query, last
}

// deliverEngines passes the other hosts' engine states, as of the given time, to OnEngines.
func (m *Member) deliverEngines(e *EngineStates, at time.Time) {
	if m.options.OnEngines != nil && e != nil {
		m.options.OnEngines(e, at)
	}
}

var (
	_ json.Marshaler   = EngineLoads{}
	_ json.Unmarshaler = (*EngineLoads)(nil)
	_ json.Marshaler   = Slowdowns{}
	_ json.Unmarshaler = (*Slowdowns)(nil)
)
