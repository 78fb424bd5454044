package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
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

// reading is a prompt that an engine was sent and hasn't answered yet.
type reading struct {
	work     time.Duration
	priority int
	// beginsAt is when the engine is expected to begin with it: when it was sent, and
	// what was ahead of it is read.
	beginsAt time.Time
}

// begin counts a request as in flight at the upstream.
func (m *member) begin(c *choice) {
	m.inFlight++
	m.shard.active[m] = struct{}{}
	if c.wants.prompt == nil {
		return
	}
	c.reading = &reading{work: c.placed.Reading, priority: c.wants.priority, beginsAt: c.at.Add(c.ahead)}
	m.used().readings = append(m.used().readings, c.reading)
	m.shard.prompts = true
	m.shard.noteUrgency(c.reading)
	m.keep(c)
}

// end ends what begin counted.
func (m *member) end(c *choice) {
	if m.inFlight--; m.inFlight == 0 {
		delete(m.shard.active, m)
	}
	if c.reading != nil {
		// The answer never began.
		m.read(c)
		m.shard.kept.Remove(m, c.wants.keys[c.kept:]...)
	}
}

// read notes that the engine no longer has the choice's prompt to read.
func (m *member) read(c *choice) {
	u := m.used()
	u.readings = slices.DeleteFunc(u.readings, func(r *reading) bool { return r == c.reading })
	c.reading = nil
}

// began notes that the upstream has read the request's prompt, which took a time. What
// is left, a step of the batch for each token, delays no other prompt that counts.
func (f *Fleet) began(c *choice, took time.Duration) {
	if c.reading == nil {
		return
	}
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.chosen(c); m != nil {
		m.read(c)
		m.used().beganAt = boottime.Now()
	}
	c.reading = nil
	s.waits.observe(took, c.placed.Alone)
	if c.ahead < c.placed.Reading/littleAhead {
		s.rates.Observe(c.wants.model, c.placed.Missing, took, boottime.Now())
	}
}

// littleAhead: an answer tells how fast its model reads if the work believed to be ahead
// of it was less than a fourth of its own.
const littleAhead = 4

// unansweredPart is the part of a reading that is left at least while its answer hasn't
// begun: an engine that is late with it is slower, or has more to do, than is known.
const unansweredPart = 0.25

// left is what the engine still has to do for a reading of this host. It is under way
// from the time at which the engine was expected to begin with it, or from the end of the
// one before. Hosts that each took theirs to be under way at once, when the engine reads
// one after the other, told each other a third of what it had to do.
func (m *member) left(i int, now time.Time) time.Duration {
	u := m.known()
	r := u.readings[i]
	if i > 0 {
		return r.work
	}
	since := r.beginsAt
	if u.beganAt.After(since) {
		since = u.beganAt
	}
	least := time.Duration(unansweredPart * float64(r.work))
	return min(r.work, max(least, r.work-now.Sub(since)))
}

// othersLeft is what the engine still has to do for the other hosts, which told of it a
// while ago: it went on since.
func (m *member) othersLeft(now time.Time) time.Duration {
	s := m.shard
	age := now.Sub(s.othersAt)
	if age > exchange.WorkAge {
		return 0
	}
	return max(0, time.Duration(s.others[m.name]*float64(time.Millisecond))-age)
}

// ahead is the time for which an engine reads other prompts before one of the priority:
// those that are as urgent, and the rest of the one that it is reading. Of other hosts'
// work only the sum is known; it is taken to be as urgent as this host's own.
func (m *member) ahead(priority int, now time.Time) time.Duration {
	urgent, rest := time.Duration(0), time.Duration(0)
	for i, r := range m.known().readings {
		if r.priority <= priority {
			urgent += m.left(i, now)
		} else {
			rest += m.left(i, now)
		}
	}
	others := m.othersLeft(now)
	urgentOthers := time.Duration(m.shard.urgentPart(priority) * float64(others))
	rest += others - urgentOthers
	return urgent + urgentOthers + min(rest, m.shard.meanReading/2)
}

// noteUrgency takes in a new prompt's work.
func (s *shard) noteUrgency(r *reading) {
	for p := range s.urgency {
		s.urgency[p] *= 1 - urgencyGain
	}
	s.urgency[r.priority] += urgencyGain * float64(r.work)
	if r.work > s.meanReading/2 {
		s.meanReading += time.Duration(urgencyGain * float64(r.work-s.meanReading))
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

// work is what this host has in flight, by upstream.
func (f *Fleet) work() exchange.Work {
	now := boottime.Now()
	work := make(exchange.Work)
	f.each(func(s *shard) {
		for m := range s.active {
			if w := math.Round(m.work(now)); w >= leastTold {
				work[m.name] = w
			}
		}
	})
	return work
}

// work is what this host's requests in flight ask of the upstream.
func (m *member) work(now time.Time) float64 {
	if !m.shard.prompts {
		return float64(m.inFlight)
	}
	left := time.Duration(0)
	for i := range m.known().readings {
		left += m.left(i, now)
	}
	return float64(left) / float64(time.Millisecond)
}

// keep notes that the upstream reads the prompt. Other hosts are told of the shared parts
// that it reads for the first time.
func (m *member) keep(c *choice) {
	w := &c.wants
	m.shard.kept.Add(m, w.keys...)
	if shared := w.prompt.Shared; c.kept < shared {
		m.shard.reads[m.name] = append(m.shard.reads[m.name], w.keys[shared-1])
	}
}

// kept is the number of a prompt's leading parts that the engine keeps.
func (m *member) kept(keys []placement.Key) int {
	return m.shard.kept.Count(m, keys)
}

// takeReads returns what the upstreams were sent for the first time since the last call.
func (f *Fleet) takeReads() exchange.Reads {
	reads := make(exchange.Reads)
	f.each(func(s *shard) {
		maps.Copy(reads, s.reads)
		clear(s.reads)
	})
	return reads
}

// noteReads takes what other hosts sent to the upstreams.
func (f *Fleet) noteReads(reads exchange.Reads) {
	f.each(func(s *shard) {
		for name, keys := range reads {
			if m := s.names[name]; m != nil {
				s.kept.Add(m, keys...)
			}
		}
	})
}

// leastTold is the least work that other hosts are told.
const leastTold = 1

// setOthers takes what the other hosts have in flight, as of a time. The work isn't changed
// any more.
func (f *Fleet) setOthers(work exchange.Work, at time.Time) {
	f.each(func(s *shard) { s.others, s.othersAt = work, at })
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
	s := m.shard
	if s.meanHeld < exchange.Interval || now.Sub(s.othersAt) > exchange.WorkAge {
		return 0, false
	}
	return m.work(now) + s.others[m.name], true
}
