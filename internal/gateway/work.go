package gateway

import (
	"time"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/routing"
)

// Work is what a request asks of its upstream, in units of the service's mean
// request. Requests of one service differ by a hundred times: reading a prompt of
// thousands of tokens keeps an engine busy for as long as dozens of short ones.

const (
	// baseWork is the part of a request's work that doesn't depend on its size:
	// its place in the batch.
	baseWork = 0.3
	// runningWork is what is left once the answer began: the prompt is read, and
	// the tokens to come cost a step of the batch each.
	runningWork = 0.3
	// costGain is the weight of a new request in the mean cost.
	costGain = 0.01
	// heldGain is the weight of a new request in the mean time that requests take.
	heldGain = 0.05
)

// cost is what a request's prompt costs on a model, in prices times tokens. The
// operators' prices stand for the models' speeds, which aren't told. It is 0 where
// nothing is known.
func cost(t *routing.Table, service, model string, tokens int) float64 {
	return t.Price(service, model) * float64(tokens)
}

// weigh turns a cost into work.
func (s *shard) weigh(cost float64) float64 {
	if cost <= 0 {
		return 1
	}
	if s.meanCost == 0 {
		s.meanCost = cost
	}
	s.meanCost += costGain * (cost - s.meanCost)
	return baseWork + (1-baseWork)*cost/s.meanCost
}

// began notes that the upstream has read the request's prompt.
func (f *Fleet) began(c *choice) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	left := min(c.work, runningWork)
	if m := s.members[c.upstream.ID]; m != nil {
		m.work -= c.work - left
	}
	c.work = left
}

// work is what this host has in flight, by upstream.
func (f *Fleet) work() map[string]float64 {
	work := make(map[string]float64)
	f.each(func(s *shard) {
		for id, m := range s.members {
			if m.inFlight > 0 {
				work[id] = m.work
			}
		}
	})
	return work
}

// setOthers takes what the other hosts of this availability zone have in flight,
// as of a time.
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

// knownWork is the work of all hosts of this availability zone at the upstream; ok
// is false where that isn't known. Where requests are over sooner than hosts hear
// of them, the load that upstreams report with their answers tells more.
func (m *member) knownWork(now time.Time, zone string) (float64, bool) {
	if m.Zone != zone || m.shard.meanHeld < exchange.Interval || now.Sub(m.othersAt) > exchange.WorkAge {
		return 0, false
	}
	return m.work + m.others, true
}
