package membership

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// probe performs an exchange with a target. If it fails, other hosts probe the
// target; if these fail too, the target becomes Suspect.
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
	m.applyFailedProbe(target, epoch, start, boottime.Now())
	m.mu.Unlock()
	m.notifier.flush()
}

// probeIndirect asks other hosts to probe the target, and reports whether one of
// them reached it.
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
			request := m.newRequest(KindProbe, helper.ID)
			request.Target = &target
			answer, err := m.exchange(ctx, helper, request, m.options.IndirectTimeout)
			results <- err == nil && answer.Reached
		}()
	}
	reached := false
	for range helpers {
		if <-results {
			reached = true
			cancel() // the other results aren't needed
		}
	}
	return reached
}

// helpers returns the hosts for an indirect probe: random live members, except
// the target and members that are Suspect.
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
		if len(chosen) == m.options.IndirectProbes {
			break
		}
	}
	return chosen
}

// newRequest returns a message without updates.
func (m *Membership) newRequest(kind Kind, to string) Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newMessage(kind, to)
}

// ping probes a target on behalf of another host.
func (m *Membership) ping(ctx context.Context, target Member) bool {
	_, err := m.exchange(ctx, target, m.newRequest(KindPing, target.ID), m.options.ProbeTimeout)
	return err == nil
}

// applyFailedProbe handles the failure of a probe that began at start. It has no
// effect if the fault may be this host's, or if there is a later message or a
// newer record of the target.
func (m *Membership) applyFailedProbe(target Member, epoch uint64, start, now time.Time) {
	maxDuration := m.options.ProbeTimeout + m.options.IndirectTimeout + sweepInterval
	if epoch != m.pauseEpoch || now.Sub(start) > maxDuration {
		return // this process was paused or starved during the probe
	}
	if m.lastContact.Before(start) && len(m.rings.all) > maxPeersWithoutIsolation {
		return
	}
	r := m.store.member(target.ID)
	if r == nil || r.version > target.version() || !r.lastContact.Before(start) {
		return
	}
	m.markUnresponsive(r, now)
}

// markUnresponsive changes a member from Up to Suspect, or from Leaving to Down.
func (m *Membership) markUnresponsive(r *record, now time.Time) {
	member := r.member
	switch member.State {
	case Up:
		member.State = Suspect
	case Leaving:
		member.State = Down
	default:
		return
	}
	m.setMember(r, member, localOrigin, now)
	m.publish()
}

// isolated reports whether no message of another host has arrived for a while.
// Unless there are few other hosts, it is more likely that this host is
// partitioned than that all others have failed at once.
func (m *Membership) isolated(now time.Time) bool {
	if len(m.rings.all) <= maxPeersWithoutIsolation {
		return false
	}
	return now.Sub(m.lastContact) > isolationIntervals*m.options.Interval
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
		r.updatedAt = now // restart the timeout, so that it can refute after the isolation
	}
	age := now.Sub(r.updatedAt)
	switch {
	case r.member.State == Suspect && age >= m.options.SuspicionTimeout:
		member := r.member
		member.State = Down
		m.setMember(r, member, localOrigin, now)
	case r.member.State == Down && age >= m.options.DownRetention:
		m.store.remove(r)
		m.membersChanged = true
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

// resumeAfterPause handles a pause of this process, after which its records are
// outdated. Probes in progress are ignored, suspicion timeouts restart, and this
// host announces a new incarnation, because others may have declared it Down.
func (m *Membership) resumeAfterPause(now time.Time) {
	m.mu.Lock()
	m.stats.Pauses++
	m.pauseEpoch++
	m.lastContact = time.Time{}
	m.nextSync = now
	for _, r := range m.store.records {
		if r.isMember && r.member.State == Suspect {
			r.updatedAt = now
		}
	}
	m.announce(m.self.Incarnation+1, now)
	m.mu.Unlock()
	m.notifier.flush()
}
