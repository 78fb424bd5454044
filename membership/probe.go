package membership

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// probe exchanges with a target. If that fails, others are asked to reach it;
// if they can't, it is suspected.
func (m *Membership) probe(ctx context.Context, target Member, epoch uint64) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.probing, target.ID)
	}()
	start := boottime.Now()
	if m.gossip(ctx, target) == nil || ctx.Err() != nil {
		return
	}
	if m.probeIndirect(ctx, target) || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	m.suspect(target, epoch, start, boottime.Now())
	m.mu.Unlock()
	m.notifier.flush()
}

// probeIndirect asks helpers to reach the target, and reports at the first
// that did.
func (m *Membership) probeIndirect(ctx context.Context, target Member) bool {
	helpers := m.helpers(target.ID)
	if len(helpers) == 0 {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			request := m.request(KindProbe, helper.ID)
			request.Target = &target
			answer, err := m.exchange(ctx, helper, request, m.options.IndirectTimeout)
			results <- err == nil && answer.Reached
		}()
	}
	reached := false
	for range helpers {
		if <-results {
			reached = true
			cancel() // the rest need not wait
		}
	}
	return reached
}

// helpers returns random live members other than the target.
func (m *Membership) helpers(target string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen []Member
	for _, i := range m.rng.Perm(len(m.rings.all)) {
		member := m.rings.all[i]
		if member.ID == target || member.State == Suspect {
			continue
		}
		chosen = append(chosen, member)
		if len(chosen) == m.options.Helpers {
			break
		}
	}
	return chosen
}

// request returns a message without news.
func (m *Membership) request(kind Kind, to string) Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.envelope(kind, to)
}

// ping probes a target for another host.
func (m *Membership) ping(ctx context.Context, target Member) bool {
	_, err := m.exchange(ctx, target, m.request(KindPing, target.ID), m.options.ProbeTimeout)
	return err == nil
}

// suspect records the outcome of a probe that began at start. It has no
// effect if the probe says more of this host than of the target, or if there
// is newer word of the target.
func (m *Membership) suspect(target Member, epoch uint64, start, now time.Time) {
	longest := m.options.ProbeTimeout + m.options.IndirectTimeout + sweepInterval
	if epoch != m.epoch || now.Sub(start) > longest {
		return // this host was frozen or starved meanwhile
	}
	if m.lastHeard.Before(start) && len(m.rings.all) > fewMembers {
		return
	}
	r := m.store.member(target.ID)
	if r == nil || r.version > target.version() || !r.heard.Before(start) {
		return
	}
	m.doubt(r, now)
}

// doubt makes a member that is Up Suspect, and one that is Leaving Down.
func (m *Membership) doubt(r *record, now time.Time) {
	member := r.member
	switch member.State {
	case Up:
		member.State = Suspect
	case Leaving:
		member.State = Down
	default:
		return
	}
	m.setMember(r, member, own, now)
	m.publish()
}

// isolated says that this host heard of nobody for a while. It is likelier to
// be cut off than all others to have failed at once, unless there are few.
func (m *Membership) isolated(now time.Time) bool {
	if len(m.rings.all) <= fewMembers {
		return false
	}
	return now.Sub(m.lastHeard) > silentIntervals*m.options.Interval
}

// sweep applies the timeouts.
func (m *Membership) sweep(now time.Time) {
	m.mu.Lock()
	isolated := m.isolated(now)
	for _, r := range m.store.records {
		if r.isMember {
			m.sweepMember(r, isolated, now)
		} else {
			m.sweepFact(r, now)
		}
	}
	m.publish()
	m.mu.Unlock()
	m.notifier.flush()
}

func (m *Membership) sweepMember(r *record, isolated bool, now time.Time) {
	if r.member.State == Suspect && isolated {
		r.since = now // it gets its time to refute when contact is back
	}
	age := now.Sub(r.since)
	switch {
	case r.member.State == Suspect && age >= m.options.SuspicionTimeout:
		member := r.member
		member.State = Down
		m.setMember(r, member, own, now)
	case r.member.State == Down && age >= m.options.DownRetention:
		m.store.remove(r)
		m.changed = true
	}
}

func (m *Membership) sweepFact(r *record, now time.Time) {
	if r.expires.IsZero() || now.Before(r.expires) {
		return
	}
	if r.fact.Expired() {
		m.store.remove(r)
		return
	}
	fact := r.fact
	fact.TTL = expiredTTL
	m.setFact(r, fact, now)
}

// thaw is called after a freeze. What this host believes is old: probes in
// progress don't count, suspicions start again, and it announces itself anew,
// because others may have declared it Down.
func (m *Membership) thaw(now time.Time) {
	m.mu.Lock()
	m.stats.Thawed++
	m.epoch++
	m.lastHeard = time.Time{}
	m.nextSync = now
	for _, r := range m.store.records {
		if r.isMember && r.member.State == Suspect {
			r.since = now
		}
	}
	m.announce(m.self.Incarnation+1, now)
	m.mu.Unlock()
	m.notifier.flush()
}
