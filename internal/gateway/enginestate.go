package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/routing"
)

// In this file, the state of an engine is its slowdown factor, the number of requests at it, and the
// tokens that they need in its KV cache. Prompts are placed by it if the feature is active for the
// service (Features.EngineState). The state is kept by idHash, which identifies a start of the
// engine, so that a restarted engine has none.

const (
	// engineStateRetention is how long the state of an engine is kept after its last change. After
	// that, the weight of its slowdown samples is below a hundredth.
	engineStateRetention = time.Minute
	// statedMeanGain is the weight of a new statement in the service's mean stated slowdown.
	statedMeanGain = 0.03
	// maxStatedRequests bounds the requests that an engine states, so that a wrong figure doesn't
	// count for more than a full engine.
	maxStatedRequests = 1024
	// maxSlotLoad bounds a report in the mean requests per slot, so that a wrong one doesn't change
	// the mean by more than a few full engines do.
	maxSlotLoad = 4
	// newSamplesRatio is the ratio to the decayed former weight above which remote slowdown sums
	// contain new samples. Weights are rounded by up to 2.2% in messages.
	newSamplesRatio = 1.05
)

// engineStates holds the states of a service's engines. The shard's lock guards it.
type engineStates struct {
	// own holds the data from this host's requests.
	own map[exchange.IDHash]*engineState
	// remoteSlowdowns holds the sums over the other hosts' slowdown samples; their NewestAt is when
	// sums with new samples were last received. remoteLoads holds the other hosts' requests in
	// flight as of remoteLoadsAt; the map must not be modified. unlistedLoad is the mean of those
	// engines that have no entry in it.
	remoteSlowdowns map[exchange.EngineID]placement.Slowdown
	remoteLoads     exchange.EngineLoads
	remoteLoadsAt   time.Time
	unlistedLoad    exchange.EngineLoad
	// meanStated is the decayed mean of the slowdowns that the engines stated, of which statements
	// is the number.
	meanStated float64
	statements int
	// boundedSlotLoad is the decayed mean, over all reports of upstreams, of the requests per slot,
	// of which each report counts with at most maxSlotLoad.
	boundedSlotLoad float64
	// meanRunTime is the decayed mean of the time for which a request was in flight at its engine,
	// without those that the engine rejected or didn't receive.
	meanRunTime time.Duration
	prunedAt    time.Time
}

// engineState holds the data on one start of an engine from this host's requests.
type engineState struct {
	slowdown placement.Slowdown
	// tokens is the number of tokens that the requests in flight need in the KV cache.
	tokens int
	// statedRequests is the number of requests, running and waiting, that the engine stated at
	// statedAt, when ownAtStatement requests of this host were in flight there.
	statedRequests int
	ownAtStatement int
	statedAt       time.Time
	changedAt      time.Time
}

// engineView is an engine's state at the time of a choice.
type engineView struct {
	// active is set if the prompt was placed by the engine's state.
	active bool
	// slowdown is the slowdown factor; 0 if unknown. requests is the number of requests at the
	// engine, slots the number of its batch slots, and slotWait the expected wait for a batch slot.
	// full is set if the requests that are known take all slots. unseenWork is the part of the queued
	// work that was drawn for requests that no host reported yet.
	slowdown   float64
	requests   float64
	slots      int
	full       bool
	slotWait   time.Duration
	unseenWork time.Duration
	// usedTokens is the number of tokens in use in the KV cache, neededTokens the number that the
	// request needs.
	usedTokens   float64
	neededTokens int
	lacksMemory  bool
	// remoteAge is the age of the other hosts' requests in flight; -1 ms if they didn't count.
	remoteAge time.Duration
}

// placesByEngineState reports whether prompts are placed by engine state. The caller holds the
// shard's lock.
func (s *shard) placesByEngineState() bool { return s.isActive(s.policy.engineState) }

// exchangesEngineLoads reports whether the hosts exchange their requests in flight by engine. The caller
// holds the shard's lock.
func (s *shard) exchangesEngineLoads(now time.Time) bool {
	return s.placesByEngineState() || s.brittle.Active(now) || s.loadWatched
}

// engineStateOf returns the member's state and creates it if there is none. now is the time of a
// change of it.
func (s *shard) engineStateOf(m *member, now time.Time) *engineState {
	all := &s.engineStates
	if all.own == nil {
		all.own = make(map[exchange.IDHash]*engineState)
	}
	state := all.own[m.idHash]
	if state == nil {
		state = &engineState{}
		all.own[m.idHash] = state
	}
	state.changedAt = now
	all.prune(now)
	return state
}

// prune drops the states that didn't change within engineStateRetention.
func (e *engineStates) prune(now time.Time) {
	if now.Sub(e.prunedAt) < engineStateRetention {
		return
	}
	e.prunedAt = now
	for id, state := range e.own {
		if now.Sub(state.changedAt) > engineStateRetention {
			delete(e.own, id)
		}
	}
	for id, s := range e.remoteSlowdowns {
		if now.Sub(s.NewestAt) > engineStateRetention {
			delete(e.remoteSlowdowns, id)
		}
	}
}

// observeSlotLoad adds an upstream's report of its requests per slot to the mean.
func (e *engineStates) observeSlotLoad(load float64) {
	e.boundedSlotLoad += meanSlotLoadGain * (min(maxSlotLoad, max(0, load)) - e.boundedSlotLoad)
}

// remoteLoad returns the load of an engine by the other hosts' requests in flight; ok is false if
// the data is too old.
func (e *engineStates) remoteLoad(m *member, now time.Time) (load exchange.EngineLoad, ok bool) {
	if now.Sub(e.remoteLoadsAt) > exchange.MaxWorkAge {
		return exchange.EngineLoad{}, false
	}
	return e.lastRemoteLoad(m)
}

// lastRemoteLoad returns what remoteLoad does, however old the data is; ok is false if there is none.
func (e *engineStates) lastRemoteLoad(m *member) (load exchange.EngineLoad, ok bool) {
	if e.remoteLoadsAt.IsZero() {
		return exchange.EngineLoad{}, false
	}
	load, found := e.remoteLoads[m.idHash.EngineID()]
	if !found {
		load = e.unlistedLoad
	}
	return load, true
}

// engineView returns the member's state for a request with the criteria. If draw is set, it contains
// drawn requests that no host reported yet.
func (s *shard) engineView(m *member, crit *criteria, cachedParts int, draw bool, now time.Time) engineView {
	all, own := &s.engineStates, engineState{}
	if state := all.own[m.idHash]; state != nil {
		own = *state
	}
	v := engineView{active: true, remoteAge: -time.Millisecond}
	slowdown := own.slowdown
	slowdown.Add(all.remoteSlowdowns[m.idHash.EngineID()])
	v.slowdown = slowdown.Factor(now)

	v.requests, v.usedTokens = float64(m.inFlight), float64(own.tokens)
	if remote, ok := all.remoteLoad(m, now); ok {
		v.requests += remote.Requests
		v.usedTokens += remote.Tokens
		v.remoteAge = now.Sub(all.remoteLoadsAt)
	}
	if now.Sub(own.statedAt) <= exchange.MaxWorkAge {
		// The sums of a hub that just started, or lost another hub, are incomplete.
		v.requests = max(v.requests, float64(own.statedRequests+m.inFlight-own.ownAtStatement))
	}
	if v.slots = crit.engines.Slots; v.slots <= 0 {
		v.slots = m.Slots
	}
	v.full = v.slots > 0 && v.requests >= float64(v.slots)
	var unseen placement.Unseen
	if draw {
		unseen = s.drawUnseen(v.slots, now)
	}
	v.requests = max(float64(m.inFlight), v.requests+unseen.Requests)
	v.unseenWork = time.Duration(unseen.Prefills * s.queueStats.meanPrefillTime * placement.BoundSlowdown(v.slowdown))
	v.slotWait = placement.SlotWait(v.requests, v.slots, s.slotHoldTime(), v.slowdown)
	v.neededTokens = crit.prompt.MemoryTokens(cachedParts, crit.outputTokens, crit.engines.MemoryTokens)
	v.lacksMemory = placement.LacksMemory(v.usedTokens, v.neededTokens, crit.engines.MemoryTokens)
	return v
}

// slotHoldTime returns the mean time for which a request holds a batch slot: by Little's law, the
// mean time at an engine, of which requests in excess of the slots are waiting.
func (s *shard) slotHoldTime() time.Duration {
	return time.Duration(float64(s.engineStates.meanRunTime) / max(1, s.engineStates.boundedSlotLoad))
}

// addEngineStates sets the engine states of the candidates and returns them; nil if prompts aren't
// placed by engine state.
func (s *shard) addEngineStates(candidates []placement.Candidate, members []*member, crit *criteria, now time.Time) []engineView {
	if !s.placesByEngineState() {
		return nil
	}
	// Where engines cache parts of the prompt, drawn requests would move it to engines that don't, which
	// prefill all of it or fetch the parts over the network.
	draw := !slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return c.CachedParts > 0 })
	views := make([]engineView, len(members))
	for i, m := range members {
		c, v := &candidates[i], s.engineView(m, crit, candidates[i].CachedParts, draw, now)
		c.Slowdown, c.SlotWait, c.LacksMemory = v.slowdown, v.slotWait, v.lacksMemory
		c.UnseenWork = v.unseenWork
		views[i] = v
	}
	return views
}

// drawUnseen draws the requests of other hosts at the member that their reports don't contain yet.
// By Little's law, the rate of arrivals is the mean number of requests at an engine divided by
// their mean time there.
func (s *shard) drawUnseen(slots int, now time.Time) placement.Unseen {
	age := now.Sub(s.engineStates.remoteLoadsAt)
	if s.engineStates.meanRunTime <= 0 || age > exchange.MaxWorkAge {
		return placement.Unseen{}
	}
	age += exchange.Interval // the mean age of the reports that the hub summed
	return placement.DrawUnseen(s.engineStates.boundedSlotLoad*float64(slots)*float64(age)/float64(s.engineStates.meanRunTime), rand.Float64)
}

// startMemory counts the tokens of the request in the member's KV cache.
func (m *member) startMemory(c *choice) {
	if c.engine.active {
		m.shard.engineStateOf(m, c.chosenAt).tokens += c.engine.neededTokens
	}
}

// endMemory no longer counts the tokens of the request.
func (m *member) endMemory(c *choice, now time.Time) {
	if c.engine.active {
		state := m.shard.engineStateOf(m, now)
		state.tokens = max(0, state.tokens-c.engine.neededTokens)
	}
}

// observeAnswerTime adds the time to the first event of a prompt that had hardly to wait as a sample of
// the member's slowdown.
func (m *member) observeAnswerTime(c *choice, took time.Duration, now time.Time) {
	s := m.shard
	if !s.placesByEngineState() || m.usageSnapshot().statedSlowdown > 0 {
		return // the engine's own statements are exact
	}
	if value, ok := s.prefillRates.SlowdownSample(c.criteria.model, c.placement.UncachedTokens, took); ok {
		s.engineStateOf(m, now).slowdown.Observe(value, placement.AnswerWeight, now)
	}
}

// headLoadReceived records the load that an answer's head states. Streams last for seconds, so
// release receives it too late.
func (f *Fleet) headLoadReceived(c *choice, load string) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.chosenMember(c); m != nil {
		m.observeStatement(load, boottime.Now())
	}
}

// observeStatement records a load header that the engine sent just now: the number of requests, and
// a sample of its slowdown. The samples are relative to the mean statement, because the model's
// prefill rate contains the mean slowdown already. Unreadable figures are ignored.
func (m *member) observeStatement(load string, now time.Time) {
	fields := strings.Split(load, ",")
	if len(fields) > slowdownField {
		m.observeSlowdown(fields[slowdownField], now)
	}
	if len(fields) < 2 || !m.shard.servesPrompts || !m.shard.exchangesEngineLoads(now) {
		return
	}
	state := m.shard.engineStateOf(m, now)
	running, errRunning := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, errWaiting := strconv.Atoi(strings.TrimSpace(fields[1]))
	if errRunning == nil && errWaiting == nil && running >= 0 && waiting >= 0 {
		state.statedRequests = min(running, maxStatedRequests) + min(waiting, maxStatedRequests)
		state.ownAtStatement, state.statedAt = m.inFlight, now
	}
	if u := m.usageSnapshot(); u.statedSlowdown > 0 && u.statedSlowdownAt.Equal(now) {
		all := &m.shard.engineStates
		all.statements++
		all.meanStated += max(statedMeanGain, 1/float64(all.statements)) * (u.statedSlowdown - all.meanStated)
		state.slowdown.Observe(u.statedSlowdown/all.meanStated, placement.StatedWeight, now)
	}
}

// ownEngineStates returns the states of engines by this host's requests, with the given slice of
// the slowdowns; nil if no prompts are placed by them.
func (f *Fleet) ownEngineStates(slice int) (states *exchange.EngineStates) {
	now := boottime.Now()
	f.eachService(func(service string, s *shard) {
		if !s.servesPrompts || !s.exchangesEngineLoads(now) {
			return
		}
		if states == nil {
			states = &exchange.EngineStates{Loads: make(exchange.EngineLoads), Slice: slice, Slowdowns: make(exchange.Slowdowns)}
		}
		for m := range s.inUse {
			load := exchange.EngineLoad{Requests: float64(m.inFlight), Service: exchange.HashService(service)}
			if state := s.engineStates.own[m.idHash]; state != nil {
				load.Tokens = float64(state.tokens)
			}
			states.Loads[m.idHash.EngineID()] = load
		}
		for id, state := range s.engineStates.own {
			key := id.EngineID()
			if sums := state.slowdown.At(now); exchange.SlowdownSlice(key) == slice && sums.Weight >= minReportedWeight {
				states.Slowdowns[key] = sums
			}
		}
	})
	return states
}

// minReportedWeight is the minimum weight of slowdown samples that are reported to other hosts.
const minReportedWeight = 0.05

// setRemoteEngineStates stores the other hosts' states as of the given time. The maps must not be
// modified afterwards.
func (f *Fleet) setRemoteEngineStates(states *exchange.EngineStates, at time.Time) {
	now := boottime.Now()
	f.eachService(func(service string, s *shard) {
		if !s.servesPrompts || !s.exchangesEngineLoads(now) {
			return
		}
		all := &s.engineStates
		all.remoteLoads, all.remoteLoadsAt = states.Loads, at
		all.unlistedLoad = s.unlistedLoad(states.Loads, exchange.HashService(service), func(m *member) bool { return m.inService(now) })
		if all.remoteSlowdowns == nil {
			all.remoteSlowdowns = make(map[exchange.EngineID]placement.Slowdown)
		}
		for id, sums := range states.Slowdowns {
			if former := all.remoteSlowdowns[id]; sums.Weight > newSamplesRatio*former.At(now).Weight {
				sums.NewestAt = now
				all.remoteSlowdowns[id] = sums
			}
		}
		all.prune(now)
	})
}

// unlistedLoad returns the mean load of the service's usable engines that have no entry in the
// loads: idle ones, and those that were left out because messages had no room for them.
func (s *shard) unlistedLoad(loads exchange.EngineLoads, service exchange.ServiceHash, usable func(*member) bool) exchange.EngineLoad {
	others, unlisted := loads[exchange.OtherEngines(service)], 0
	if others.Requests == 0 {
		return exchange.EngineLoad{}
	}
	for _, m := range s.members {
		if _, found := loads[m.idHash.EngineID()]; !found && usable(m) {
			unlisted++
		}
	}
	n := float64(max(1, unlisted))
	return exchange.EngineLoad{Requests: others.Requests / n, Tokens: others.Tokens / n}
}

// engineSpec returns the description of a service's engines; the zero value if there is none.
func engineSpec(t *routing.Table, service string) routing.EngineSpec {
	if s := t.Service(service); s != nil {
		return s.Engines
	}
	return routing.EngineSpec{}
}

// outputTokens returns the expected number of generated tokens: the caller's estimate, or else the
// maximum that it stated; 0 if it stated neither.
func (r *Request) outputTokens(names *Headers) int {
	if hint := parseCount(r.Header.Get(names.LengthHint)); hint > 0 && (r.Prompt.TokensOut == 0 || hint < r.Prompt.TokensOut) {
		return hint
	}
	return r.Prompt.TokensOut
}

// memoryRefusal returns an error if the prompt is larger than the KV cache of every engine. The
// generated tokens don't count: their number is only bounded by the caller's statement.
func (d *dispatch) memoryRefusal(r *Request) error {
	g, capacity := d.gateway, engineSpec(r.Table, r.Service).MemoryTokens
	if capacity <= 0 || r.Prompt.TokensIn <= capacity || !g.fleet.isActive(g.settings.Features.EngineState, r.Service) {
		return nil
	}
	return resultcode.New(resultcode.BodyTooLarge, "the prompt is larger than the KV cache of an engine")
}

// log adds the engine's state to the log line of an attempt.
func (v *engineView) log(line *zerolog.Event) {
	if !v.active {
		return
	}
	line.Float64("slowdown", math.Round(100*v.slowdown)/100).Float64("engine_requests", math.Round(10*v.requests)/10).Int64("slot_wait_ms", v.slotWait.Milliseconds()).
		Int("memory_used", int(v.usedTokens)).Int("memory_needed", v.neededTokens).Bool("memory_lacking", v.lacksMemory).Int64("state_age_ms", v.remoteAge.Milliseconds())
}
