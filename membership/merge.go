package membership

import (
	"time"
)

// origin is the source of a record.
type origin struct {
	// host is the host that sent the record. It is empty if this host created
	// it.
	host string
	// initialSync reports whether the record was received by a sync, or read from
	// the presence rows, before this host had joined. The other hosts have such a
	// record, so it isn't disseminated.
	initialSync bool
}

// localOrigin is the origin of records that this host created.
var localOrigin = origin{}

// merge applies the records of a message. The caller holds the lock.
func (m *Membership) merge(message Message, now time.Time) {
	from := origin{host: message.From, initialSync: message.Kind == KindSync && !m.joined}
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

// mergeMember applies a member record if it is newer than the stored one.
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

// setMember stores a newer version of a member and disseminates it.
func (m *Membership) setMember(r *record, member Member, from origin, now time.Time) {
	previous := r.member
	r.member = member
	r.updatedAt = now
	m.store.refresh(r)
	m.disseminate(r, from)
	m.membersChanged = true
	previous.Incarnation = member.Incarnation
	if previous == member {
		return
	}
	if previous.State != member.State {
		m.stats.countChange(member.State)
	}
	m.queueEvent(Event{Member: member, Previous: previous.State})
}

// refute processes a record of this host that another host sent. If its version is
// higher than that of the own record, this process didn't create it; the host then
// announces an incarnation that is higher than the record's.
func (m *Membership) refute(received Member, now time.Time) {
	if received.version() <= m.self.version() {
		return
	}
	m.stats.Refuted++
	m.announce(received.Incarnation+1, now)
}

// announce stores and disseminates a new incarnation of this host.
func (m *Membership) announce(incarnation uint64, now time.Time) {
	m.self.Incarnation = incarnation
	r := m.store.ensure(memberPrefix+m.self.ID, true)
	m.setMember(r, m.self, localOrigin, now)
	m.publish()
}

// mergeFact applies a fact if it is newer than the stored one, and reports
// whether it did.
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
	m.disseminate(r, from)
	return true
}

// setFact stores a new version of a fact. An expired fact is retained as a
// tombstone, so that an older version can't be restored.
func (m *Membership) setFact(r *record, fact Fact, now time.Time) {
	r.fact = fact
	r.updatedAt = now
	r.expiresAt = time.Time{}
	switch {
	case fact.Expired():
		r.fact.Value = nil
		r.expiresAt = now.Add(m.options.TombstoneRetention)
	case fact.TTL > 0:
		r.expiresAt = now.Add(fact.TTL)
	}
	m.store.refresh(r)
	m.queueFact(r.fact)
}

// disseminate adds a record to the broadcast queue, and to the next push unless
// it is a lazy or expired fact. It does nothing for records of an initial sync.
func (m *Membership) disseminate(r *record, from origin) {
	if from.initialSync {
		return
	}
	m.store.enqueue(r, from.host)
	if !r.isMember && (r.fact.Lazy || r.fact.Expired()) {
		return
	}
	m.pendingPush[r.key] = r
	m.signalPush()
}

// factAt returns the fact with the lifetime that remains at now.
func (r *record) factAt(now time.Time) Fact {
	f := r.fact
	if f.TTL > 0 {
		f.TTL = max(r.expiresAt.Sub(now), 1)
	}
	return f
}
