package gateway

import (
	"maps"
	"math"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
)

// Work is what requests in flight ask of an upstream: for an engine the milliseconds that
// it takes to read their prompts, for a plain service the number of requests. Requests of
// one service differ by a hundred times: reading a prompt of thousands of tokens keeps an
// engine busy for as long as dozens of short ones.

const (
	// heldGain is the weight of a new request in the mean time that requests take.
	heldGain = 0.05
	// urgencyGain is the weight of a new prompt in the parts of the work by urgency.
	urgencyGain = 0.02
)

// begin counts a request as in flight at the upstream.
func (m *member) begin(c *choice) {
	m.inFlight++
	c.work = 1
	if c.wants.prompt != nil {
		c.work = milliseconds(c.placed.Reading)
		m.keep(c)
		m.shard.noteUrgency(c.wants.priority, c.work)
		m.reading[c.wants.priority] += c.work
	}
	m.work += c.work
}

// keep notes that the upstream reads the prompt. Other hosts are told of the shared parts
// that it reads for the first time.
func (m *member) keep(c *choice) {
	w := &c.wants
	m.kept.Add(w.keys...)
	if shared := w.prompt.Shared; c.kept < shared {
		m.shard.reads[m.ID] = append(m.shard.reads[m.ID], w.keys[shared-1])
	}
}

// takeReads returns what the upstreams were sent for the first time since the last call.
func (f *Fleet) takeReads() map[string][]placement.Key {
	reads := make(map[string][]placement.Key)
	f.each(func(s *shard) {
		maps.Copy(reads, s.reads)
		clear(s.reads)
	})
	return reads
}

// noteReads takes what other hosts sent to the upstreams.
func (f *Fleet) noteReads(reads map[string][]placement.Key) {
	f.each(func(s *shard) {
		for id, keys := range reads {
			if m := s.members[id]; m != nil {
				m.kept.Add(keys...)
			}
		}
	})
}

// end ends what begin counted.
func (m *member) end(c *choice) {
	m.inFlight--
	if c.wants.prompt != nil && c.work > 0 {
		// The answer never began.
		m.reading[c.wants.priority] -= c.work
		m.kept.Remove(c.wants.keys[c.kept:]...)
	}
	m.work -= c.work
	if m.inFlight == 0 {
		// No rest of rounding.
		m.work = 0
		clear(m.reading[:])
	}
}

// began notes that the upstream has read the request's prompt, which took a time. What
// is left, a step of the batch for each token, delays no other prompt that counts.
func (f *Fleet) began(c *choice, took time.Duration) {
	if c.wants.prompt == nil || c.work == 0 {
		return
	}
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[c.upstream.ID]; m != nil {
		m.work -= c.work
		m.reading[c.wants.priority] -= c.work
	}
	c.work = 0
	if c.ahead < c.placed.Reading/littleAhead {
		s.rates.Observe(c.wants.model, c.placed.Missing, took)
	}
}

// littleAhead: an answer tells how fast its model reads if the work believed to be ahead
// of it was less than a fourth of its own.
const littleAhead = 4

// ahead is the time for which an engine reads other prompts before one of the priority:
// those that are as urgent, and the rest of the one that it is reading. Of other hosts'
// work only the sum is known; it is taken to be as urgent as this host's own.
func (m *member) ahead(priority int, now time.Time) time.Duration {
	own, urgent := 0.0, 0.0
	for p, work := range m.reading {
		own += work
		if p <= priority {
			urgent += work
		}
	}
	others := 0.0
	if now.Sub(m.othersAt) <= exchange.WorkAge {
		others = m.others
	}
	urgent += others * m.shard.urgentPart(priority)
	rest := min(own+others-urgent, m.shard.meanReading)
	return time.Duration((urgent + max(0, rest)) * float64(time.Millisecond))
}

// noteUrgency takes in a new prompt's work.
func (s *shard) noteUrgency(priority int, work float64) {
	for p := range s.urgency {
		s.urgency[p] *= 1 - urgencyGain
	}
	s.urgency[priority] += urgencyGain * work
	if work > s.meanReading/2 {
		s.meanReading += urgencyGain * (work - s.meanReading)
	}
}

// urgentPart is the part of the service's work that is of the priority or more urgent.
func (s *shard) urgentPart(priority int) float64 {
	sum, urgent := 0.0, 0.0
	for p, work := range s.urgency {
		sum += work
		if p <= priority {
			urgent += work
		}
	}
	if sum == 0 {
		return 1
	}
	return urgent / sum
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// work is what this host has in flight, by upstream.
func (f *Fleet) work() map[string]float64 {
	work := make(map[string]float64)
	f.each(func(s *shard) {
		for id, m := range s.members {
			if m.work >= leastTold {
				work[id] = math.Round(m.work)
			}
		}
	})
	return work
}

// leastTold is the least work that other hosts are told.
const leastTold = 1

// setOthers takes what the other hosts have in flight, as of a time.
func (f *Fleet) setOthers(work map[string]float64, at time.Time) {
	f.each(func(s *shard) {
		for id, m := range s.members {
			m.others = work[id]
			m.othersAt = at
		}
	})
}

// noteHeld takes in how long a request was at its upstream.
func (s *shard) noteHeld(took time.Duration) {
	if s.meanHeld == 0 {
		s.meanHeld = took
	}
	s.meanHeld += time.Duration(heldGain * float64(took-s.meanHeld))
}

// knownWork is the work of all hosts at the upstream; ok is false where that isn't
// known. Where requests are over sooner than hosts hear of them, the load that upstreams
// report with their answers tells more.
func (m *member) knownWork(now time.Time) (float64, bool) {
	if m.shard.meanHeld < exchange.Interval || now.Sub(m.othersAt) > exchange.WorkAge {
		return 0, false
	}
	return m.work + m.others, true
}
