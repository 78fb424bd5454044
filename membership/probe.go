package membership

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// probe performs an exchange with a target. If the exchange fails, other hosts
// probe the target. If none of them reaches it, applyFailedProbe may change the
// target's state.
func (m *Membership) probe(ctx context.Context, target Member, pauseEpoch uint64) {
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
	m.applyFailedProbe(target, pauseEpoch, start, boottime.Now())
	m.mu.Unlock()
	m.notifier.flush()
}

// probeIndirect asks other hosts to probe the target, and reports whether one of
// them reached it.
func (m *Membership) probeIndirect(ctx context.Context, target Member) bool {
	helpers := m.selectHelpers(target.ID)
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

// selectHelpers returns the hosts to ask for an indirect probe: random live
// members, except the target and members that are Suspect.
func (m *Membership) selectHelpers(target string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen []Member
	for _, i := range m.rng.Perm(len(m.rings.global)) {
		member := m.rings.global[i]
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

// newRequest takes the lock and returns the message that newMessage composes.
func (m *Membership) newRequest(kind Kind, to string) Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newMessage(kind, to)
}

// ping probes a target on behalf of another host and reports whether it answered.
func (m *Membership) ping(ctx context.Context, target Member) bool {
	_, err := m.exchange(ctx, target, m.newRequest(KindPing, target.ID), m.options.ProbeTimeout)
	return err == nil
}

// applyFailedProbe marks a target as unresponsive after a probe that began at start
// in the given pause epoch has failed. It has no effect if the cause may be this
// host, or if a message from the target or a newer record of it has arrived since.
func (m *Membership) applyFailedProbe(target Member, pauseEpoch uint64, start, now time.Time) {
	maxDuration := m.options.ProbeTimeout + m.options.IndirectTimeout + sweepInterval
	if pauseEpoch != m.pauseEpoch || now.Sub(start) > maxDuration {
		return // this process was paused or starved during the probe
	}
	if m.lastContact.Before(start) && len(m.rings.global) > maxPeersWithoutIsolation {
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

// isolated reports whether no message from another host has arrived for
// isolationIntervals. Unless there are few other hosts, it is then more likely that
// this host is partitioned from them than that all of them have failed at the same
// time.
func (m *Membership) isolated(now time.Time) bool {
	if len(m.rings.global) <= maxPeersWithoutIsolation {
		return false
	}
	return now.Sub(m.lastContact) > isolationIntervals*m.options.RoundInterval
}

// sweep declares members Down whose suspicion timeout has passed, expires facts
// at the end of their lifetimes, and removes records whose retention has ended.
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
		r.updatedAt = now // restart the timeout, so that the member can refute after the isolation
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
	if r.expiresAt.IsZero() || now.Before(r.expiresAt) {
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

// resumeAfterPause is called after a pause of this process, in which its records
// became outdated. The results of probes in progress are ignored, suspicion timeouts
// restart, the next exchange requests a sync, and this host announces a new
// incarnation, because other hosts may have declared it Down.
func (m *Membership) resumeAfterPause(now time.Time) {
	m.mu.Lock()
	m.stats.Pauses++
	m.pauseEpoch++
	m.lastContact = time.Time{}
	m.nextSyncAt = now
	for _, r := range m.store.records {
		if r.isMember && r.member.State == Suspect {
			r.updatedAt = now
		}
	}
	m.announce(m.self.Incarnation+1, now)
	m.mu.Unlock()
	m.notifier.flush()
}
