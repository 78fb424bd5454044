package membership

import (
	"time"
)

// origin says where a record came from.
type origin struct {
	// host brought the record; empty if it is this host's own word.
	host string
	// bulk marks records of a comparison or listing by which this host joins.
	// They are known to the others, so they aren't spread.
	bulk bool
}

// own is the origin of what this host found out itself.
var own = origin{}

// merge takes in the records of a message. The caller holds the lock.
func (m *Membership) merge(message Message, now time.Time) {
	from := origin{host: message.From, bulk: message.Kind == KindSync && !m.joined}
	for _, member := range message.Members {
		m.mergeMember(member, from, now)
	}
	for _, fact := range message.Facts {
		if fact.check() == nil {
			m.mergeFact(fact, from, now)
		}
	}
	m.publish()
}

// mergeMember takes in what is said of a member, if it is news.
func (m *Membership) mergeMember(member Member, from origin, now time.Time) {
	if !member.valid() {
		return
	}
	if member.ID == m.self.ID {
		m.refute(member, now)
		return
	}
	r := m.store.member(member.ID)
	if r == nil {
		if !member.alive() || m.store.members >= maxMembers {
			return
		}
		r = m.store.ensure(memberPrefix+member.ID, true)
	}
	if member.version() <= r.member.version() {
		return
	}
	m.setMember(r, member, from, now)
}

// setMember stores a newer version of a member and spreads it.
func (m *Membership) setMember(r *record, member Member, from origin, now time.Time) {
	previous := r.member
	r.member = member
	r.since = now
	m.store.updated(r)
	m.spread(r, from)
	m.changed = true
	previous.Incarnation = member.Incarnation
	if previous == member {
		return
	}
	if previous.State != member.State {
		m.stats.count(member.State)
	}
	m.queueEvent(Event{Member: member, Previous: previous.State})
}

// refute answers what others say of this host. Whatever is higher than its
// own version isn't its own word, so it raises its incarnation above it.
func (m *Membership) refute(said Member, now time.Time) {
	if said.version() <= m.self.version() {
		return
	}
	m.stats.Refuted++
	m.announce(said.Incarnation+1, now)
}

// announce makes an incarnation of this host known.
func (m *Membership) announce(incarnation uint64, now time.Time) {
	m.self.Incarnation = incarnation
	r := m.store.ensure(memberPrefix+m.self.ID, true)
	m.setMember(r, m.self, own, now)
	m.publish()
}

// mergeFact takes in a fact, if it is news, and reports whether it was.
func (m *Membership) mergeFact(fact Fact, from origin, now time.Time) bool {
	r := m.store.fact(fact.Key)
	if r == nil {
		if fact.Expired() {
			return false
		}
		if m.store.facts >= m.options.MaxFacts {
			m.stats.FactsDropped++
			return false
		}
		r = m.store.ensure(factPrefix+fact.Key, false)
	} else if compareFacts(fact, r.fact) <= 0 {
		return false
	}
	m.setFact(r, fact, now)
	m.spread(r, from)
	return true
}

// setFact stores a fact's new content. An expired one stays as a tombstone,
// so that an older version can't come back.
func (m *Membership) setFact(r *record, fact Fact, now time.Time) {
	r.fact = fact
	r.since = now
	r.expires = time.Time{}
	switch {
	case fact.Expired():
		r.fact.Value = nil
		r.expires = now.Add(m.options.TombstoneRetention)
	case fact.TTL > 0:
		r.expires = now.Add(fact.TTL)
	}
	m.store.updated(r)
	m.queueFact(r.fact)
}

// spread puts a record on the hot list, and in the next push unless it is a
// lazy or expired fact.
func (m *Membership) spread(r *record, from origin) {
	if from.bulk {
		return
	}
	m.store.heat(r, from.host)
	if !r.isMember && (r.fact.Lazy || r.fact.Expired()) {
		return
	}
	m.urgent[r.key] = r
	m.wakePush()
}

// current returns a fact with the lifetime that remains.
func (r *record) current(now time.Time) Fact {
	f := r.fact
	if f.TTL > 0 {
		f.TTL = max(r.expires.Sub(now), 1)
	}
	return f
}
