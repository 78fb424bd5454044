package exchange

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/placement"
)

// simulatedEngines is the number of engines in the tests of this file. Each host has requests at
// requestsPerHost of them.
const (
	simulatedEngines = 140
	requestsPerHost  = 18
	simulatedService = 9
)

// engineStates returns one request at each of requestsPerHost engines, and slowdowns of all.
func (h *fleetHost) engineStates(slice int) *EngineStates {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.engines == 0 {
		return nil
	}
	states := &EngineStates{Loads: make(EngineLoads), Slice: slice, Slowdowns: make(Slowdowns)}
	for i := range requestsPerHost {
		states.Loads[engineNumber(h.engines*requestsPerHost+i)] = EngineLoad{Requests: 1, Tokens: 2368, Service: simulatedService}
	}
	for i := range simulatedEngines {
		if id := engineNumber(i); SlowdownSlice(id) == slice {
			states.Slowdowns[id] = placement.Slowdown{Weight: 0.5, Sum: 0.75}
		}
	}
	return states
}

func engineNumber(i int) EngineID {
	return IDHash(0x01000000*uint32(1+i%simulatedEngines)).EngineID() + EngineID(i%simulatedEngines)
}

func (h *fleetHost) setEngineStates(states *EngineStates, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.otherEngines.Slowdowns == nil {
		h.otherEngines.Slowdowns = make(Slowdowns)
	}
	h.otherEngines.Loads, h.enginesReadAt = states.Loads, at
	maps.Copy(h.otherEngines.Slowdowns, states.Slowdowns)
}

// receivedFrom reports whether the host's data is recent and contains the requests of the given
// number of hosts, each once.
func (h *fleetHost) receivedFrom(hosts int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.enginesReadAt) > MaxWorkAge || len(h.otherEngines.Loads) > maxRepliedLoads {
		return false
	}
	sum := 0.0
	for _, load := range h.otherEngines.Loads {
		sum += load.Requests
	}
	return math.Abs(sum-float64(hosts*requestsPerHost)) <= 1 && len(h.otherEngines.Slowdowns) == simulatedEngines
}

// The requests of all hosts must reach each host once, also after a hub was lost, within 2 KB a
// second. While no host places prompts by engine state, nothing may be sent.
func TestEngineStatesReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := 90
		if raceEnabled {
			hosts = 30 // see fleetSizes
		}
		f := newFleet(t, hosts, 4, 0)
		const span = 10 * time.Second
		traffic := func() (sum int) {
			before := 0
			for _, h := range f.hosts {
				before += h.traffic()
			}
			time.Sleep(span)
			for _, h := range f.hosts {
				sum += h.traffic()
			}
			return sum - before
		}
		time.Sleep(span)
		without := traffic()
		is.True(f.allHostsMatch(func(h *fleetHost) bool { return h.enginesReadAt.IsZero() }))
		for i, h := range f.hosts {
			h.mu.Lock()
			h.engines = 1 + i
			h.mu.Unlock()
		}
		time.Sleep(span)
		bytes := float64(traffic()-without) / 2 / float64(hosts) / span.Seconds() // each byte is counted at both ends
		t.Logf("%d hosts: engine states take %.0f bytes a host and second", hosts, bytes)
		is.True(bytes <= 2000)
		is.True(f.allHostsMatch(func(h *fleetHost) bool { return h.receivedFrom(hosts - 1) }))
		sample := f.hosts[1].otherEngines.Slowdowns[engineNumber(3)]
		is.True(math.Abs(sample.Sum/sample.Weight-1.5) < 0.05)
		is.True(math.Abs(sample.Weight-0.5*float64(hosts-1)) < 0.2*sample.Weight)

		f.hosts[0].stop()
		f.hosts = f.hosts[1:]
		took, ok := f.waitForAllHosts(20*time.Second, func(h *fleetHost) bool { return h.receivedFrom(hosts - 2) })
		t.Logf("after the loss of a hub: all hosts have all data after %v", took)
		is.True(ok)
	})
}

// A message must be readable by hosts without this feature, and must be left out while it is empty.
// Whatever the values are, the receiver gets finite ones.
func TestEngineStatesOnTheWire(t *testing.T) {
	is := is.New(t)
	empty, err := json.Marshal([]any{Report{}, Reply{}})
	is.NoErr(err)
	is.True(!strings.Contains(string(empty), "engines"))
	bad := math.NaN()
	sent := EngineStates{
		Loads:     EngineLoads{0x10001: {3, 9190, 7}, 0xABCDEF: {1e9, 1e18, 7}, 0x10002: {-1, -5, 0}, 0x10003: {bad, bad, 255}},
		Slowdowns: Slowdowns{5: {Weight: 4, Sum: 6}, 6: {Weight: bad, Sum: bad}, 7: {Weight: 0, Sum: 1}, 8: {Weight: 1e300, Sum: -1}},
	}
	data, err := json.Marshal(sent)
	is.NoErr(err)
	var got EngineStates
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(got.Loads[0x10001].Requests, 3.0)
	is.True(math.Abs(got.Loads[0x10001].Tokens-9190) < 0.03*9190)
	is.True(math.Abs(got.Slowdowns[5].Sum/got.Slowdowns[5].Weight-1.5) < 0.05)
	is.Equal(len(got.Loads), 4)
	for _, l := range got.Loads {
		is.True(l.Requests >= 0 && l.Requests < 256 && l.Tokens >= 0 && l.Tokens < 1e7)
	}
	for _, s := range got.Slowdowns {
		is.True(s.Weight >= 0 && s.Weight < 1e5 && s.Sum >= 0 && s.Sum <= placement.MaxSlowdown*s.Weight)
	}
	is.True(json.Unmarshal([]byte(`{"loads":"AAAA"}`), &got) != nil)
}

// Engines of which no message has an entry got the mean of the busy ones that were left out, of all
// services: with 70 engines at 24 requests, an idle one counted with 24. The receiver divides the sum
// by the engines that are listed for it, so the sum must be that of one service, and contain all requests.
func TestLeftOutEnginesAreSumsByService(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "hub", Zone: "z1"}, zerolog.Nop())
	send := func(e *EngineStates) (received EngineStates) {
		data, err := json.Marshal(e)
		is.NoErr(err)
		is.NoErr(json.Unmarshal(data, &received))
		return received
	}
	for i := range 70 {
		st := &EngineStates{Loads: EngineLoads{0x900000 + EngineID(i): EngineLoad{Requests: 1, Service: 2}}}
		for k := range 24 {
			st.Loads[engineNumber((i+k)%70)] = EngineLoad{Requests: 1, Tokens: 5000, Service: 1}
		}
		received := send(st.bounded(maxReportedLoads)) // without two of the 25 engines
		h.record(fmt.Sprint("host", i), Report{Zone: "z1", Engines: &received})
	}
	got := send(h.answerEngines("x", Report{Engines: &EngineStates{}}, toHost))
	requests := make(map[ServiceHash]float64)
	for _, e := range got.Loads {
		requests[e.Service] += e.Requests
	}
	is.Equal(requests, map[ServiceHash]float64{1: 70 * 24, 2: 70})
	is.Equal(got.Loads[OtherEngines(2)].Requests, 70.0)
	is.True(got.Loads[OtherEngines(1)].Requests >= 35*24)
	tokens := got.Loads[OtherEngines(1)].Tokens / got.Loads[OtherEngines(1)].Requests
	is.True(math.Abs(tokens-5000) < 0.05*5000)
	is.True(len(got.Loads) <= maxRepliedLoads+1) // an entry for each service
}

// What a query to another seed carried depended on the number of this seed's reports at its start. With
// queries of 200 ms, every second report starts one; from the start, or after a single slow query, these
// could be the ones without loads, and hosts counted only the loads of their own hub's followers.
func TestLoadsOfOtherSeedsWithSlowQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12, 3, 0)
		delay := func(d time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.queryDelay = d
		}
		delay(200 * time.Millisecond)
		for i, h := range f.hosts {
			h.mu.Lock()
			h.engines = 1 + i
			h.mu.Unlock()
		}
		time.Sleep(10 * time.Second)
		is.True(f.allHostsMatch(func(h *fleetHost) bool { return h.receivedFrom(11) }))
		delay(320 * time.Millisecond)
		time.Sleep(290 * time.Millisecond) // one query
		delay(200 * time.Millisecond)
		time.Sleep(20 * time.Second)
		for range 20 {
			is.True(f.allHostsMatch(func(h *fleetHost) bool { return h.receivedFrom(11) }))
			time.Sleep(170 * time.Millisecond)
		}
	})
}

// The sums for replies are kept for a moment, and a host's own report is subtracted. If its newest
// report were subtracted in place of the one in the sums, the others' requests would come out wrong.
func TestOwnLoadsAreSubtractedFromKeptSums(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "hub", Zone: "z1"}, zerolog.Nop())
		report := func(from string, requests float64) EngineLoads {
			r := Report{Zone: "z1", Engines: &EngineStates{Loads: EngineLoads{0x900000: {Requests: requests, Tokens: 100 * requests, Service: 1}}}}
			h.record(from, r)
			if answer := h.answerEngines(from, r, toHost); answer != nil {
				return answer.Loads
			}
			return nil
		}
		report("a", 3)
		time.Sleep(loadSumsAge)
		is.Equal(report("b", 4), EngineLoads{0x900000: {Requests: 3, Tokens: 300, Service: 1}})
		is.Equal(report("a", 9), EngineLoads{0x900000: {Requests: 4, Tokens: 400, Service: 1}})
		is.Equal(report("c", 1)[0x900000].Requests, 7.0) // new hosts are in the sums a moment later
		time.Sleep(loadSumsAge)
		is.Equal(report("b", 4)[0x900000].Requests, 10.0)
		is.Equal(len(h.otherEngines("", 0, toHub, maxHubLoads).Loads), 1)
		time.Sleep(MaxWorkAge + time.Millisecond)
		is.Equal(len(report("c", 1)), 0) // expired, and nothing of its own
	})
}
