package balance

import (
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// factsKept is how many times longer than AbsentFor leaving facts are kept.
const factsKept = 60

// Update takes in the platform's host list. Entry hosts in it are skipped.
// State of upstreams that stay is kept. One that vanishes takes no new work;
// it is forgotten when it was absent for AbsentFor and has nothing in flight.
func (p *Pool) Update(list []storage.Host) {
	p.updating.Lock()
	defer p.updating.Unlock()
	now := p.options.Clock()
	chosen := p.options.Subset.Select(p.options.Host, p.options.Zone, list)
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		listed[h.ID] = true
	}
	members := make([]*entry, 0, len(chosen))
	for _, h := range chosen {
		members = append(members, p.upsert(h, now))
	}
	p.members.Store(&members)
	p.sweep(listed, now)
}

// upsert brings an entry in line with the list.
func (p *Pool) upsert(h storage.Host, now time.Time) *entry {
	shard := p.shard(h.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e := shard.entries[h.ID]
	if e == nil {
		e = &entry{}
		shard.entries[h.ID] = e
	}
	if e.isOver(now, p.options.AbsentFor) {
		e.renew()
		p.index.Forget(h.ID)
	}
	e.list(h)
	e.publish()
	return e
}

// sweep marks what is absent from the list and forgets what was absent long.
func (p *Pool) sweep(listed map[string]bool, now time.Time) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for id, e := range shard.entries {
			p.sweepEntry(shard, id, e, listed[id], now)
		}
		shard.mu.Unlock()
	}
}

func (p *Pool) sweepEntry(shard *poolShard, id string, e *entry, listed bool, now time.Time) {
	switch {
	case listed:
		e.absentSince = time.Time{}
	case e.absentSince.IsZero():
		e.absentSince = now
	case now.Sub(e.absentSince) >= p.keep(e) && e.inFlight() == 0:
		delete(shard.entries, id)
		p.index.Forget(id)
	}
}

// keep returns how long an absent entry is remembered. Leaving facts are kept
// longer, so that a repeated fact doesn't hit the next incarnation.
func (p *Pool) keep(e *entry) time.Duration {
	if e.leavingVersion != 0 {
		return factsKept * p.options.AbsentFor
	}
	return p.options.AbsentFor
}
