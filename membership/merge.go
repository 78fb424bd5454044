package membership

import (
	"time"
)

// merge takes in the records of a message. The caller holds the lock.
func (m *Membership) merge(message Message, now time.Time) {
	for _, member := range message.Members {
		m.mergeMember(member, message.From, now)
	}
	for _, fact := range message.Facts {
		if fact.check() == nil {
			m.mergeFact(fact, message.From, now)
		}
	}
	m.publish()
}

// mergeMember takes in what is said of a member, if it is news.
func (m *Membership) mergeMember(member Member, source string, now time.Time) {
	if member.ID == "" || member.State < Up || member.State > Down {
		return
	}
	if member.ID == m.self.ID {
		m.refute(member, now)
		return
	}
	r := m.store.member(member.ID)
	if r == nil {
		if !member.alive() {
			return
		}
		r = m.store.ensure(memberPrefix+member.ID, true)
	}
	if member.version() <= r.member.version() {
		return
	}
	m.setMember(r, member, source, now)
}

// setMember stores a newer version of a member and spreads it.
func (m *Membership) setMember(r *record, member Member, source string, now time.Time) {
	previous := r.member
	r.member = member
	r.since = now
	m.store.updated(r)
	m.spread(r, source)
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
	m.setMember(r, m.self, "", now)
	m.publish()
}

// mergeFact takes in a fact, if it is news, and reports whether it was.
func (m *Membership) mergeFact(fact Fact, source string, now time.Time) bool {
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
	m.spread(r, source)
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
// lazy or expired fact. A host that is joining has no news but its own: what
// it learns is known to the others.
func (m *Membership) spread(r *record, source string) {
	if source != "" && !m.joined {
		return
	}
	m.store.heat(r, source)
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
