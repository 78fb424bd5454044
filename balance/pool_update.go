package balance

import (
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// leavingRetentionFactor is the retention of entries with a leaving fact, in
// multiples of AbsentFor.
const leavingRetentionFactor = 60

// Update applies the platform's host list. It skips entry hosts and preserves
// the state of upstreams that remain listed. An upstream that disappears from the
// list receives no new requests; its entry is removed once it has been absent for
// its retention and has no requests in flight.
func (p *Pool) Update(list []storage.Host) {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	now := p.options.Clock()
	chosen := p.options.Subset.Select(p.options.Host, p.options.Zone, list)
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		listed[h.ID] = true
	}
	members := make([]*poolEntry, 0, len(chosen))
	for _, h := range chosen {
		members = append(members, p.upsert(h, now))
	}
	p.members.Store(&members)
	p.removeAbsent(listed, now)
}

// upsert creates or updates the entry of a listed host.
func (p *Pool) upsert(h storage.Host, now time.Time) *poolEntry {
	shard := p.shard(h.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e := shard.entries[h.ID]
	if e == nil {
		e = &poolEntry{}
		shard.entries[h.ID] = e
	}
	if e.incarnationEnded(now, p.options.AbsentFor) {
		e.reset()
		p.index.Forget(h.ID)
	}
	e.applyHost(h)
	e.publish()
	return e
}

// removeAbsent marks the entries of upstreams that are absent from the list, and
// removes those whose retention has ended.
func (p *Pool) removeAbsent(listed map[string]bool, now time.Time) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for id, e := range shard.entries {
			p.removeIfAbsent(shard, id, e, listed[id], now)
		}
		shard.mu.Unlock()
	}
}

func (p *Pool) removeIfAbsent(shard *poolShard, id string, e *poolEntry, listed bool, now time.Time) {
	switch {
	case listed:
		e.absentSince = time.Time{}
	case e.absentSince.IsZero():
		e.absentSince = now
	case now.Sub(e.absentSince) >= p.retention(e) && e.inFlight() == 0:
		delete(shard.entries, id)
		p.index.Forget(id)
	}
}

// retention returns how long the entry of an absent upstream is retained:
// AbsentFor, or longer with a leaving fact, so that a repetition of the fact isn't
// applied to the next incarnation.
func (p *Pool) retention(e *poolEntry) time.Duration {
	if e.leavingVersion != 0 {
		return leavingRetentionFactor * p.options.AbsentFor
	}
	return p.options.AbsentFor
}
