package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// noticeState holds what an upstream stated to this host or to others in the heads of answers and
// what its entry doesn't contain.
type noticeState struct {
	// reportedLeavingUntil is the time until which the upstream counts as leaving because another
	// host reported that it stated so.
	reportedLeavingUntil time.Time
	// backoff is the time for which the upstream gets no requests of this host, and logged what was last
	// logged of it.
	backoff notice.Backoffs
	logged  loggedBackoff
	// rejections are those of this host's requests that the upstream made because it is full while it was
	// brittle.
	rejections ratelease.Window
}

// loggedBackoff is the backoff that was last logged for an upstream.
type loggedBackoff struct {
	// since is when the host logged that the backoff began; zero if the last log line states that
	// it ended. statements counts the answers that stated it, and withheld the times that the
	// upstream was passed over or a request to it wasn't sent because of it.
	since                time.Time
	statements, withheld int
}

// These are the sources, in log lines, of the information that an upstream is leaving: its entry, an
// answer to this host, or a report by another host.
const (
	leavingSourceEntry  = "entry"
	leavingSourceAnswer = "answer"
	leavingSourceHost   = "host"
)

// observeNotice applies what the head of an answer states about its upstream, whatever the answer's
// status and whether or not it is passed on. The head of an answer by another upstream, which
// listens at the address by now, is ignored.
func (a *attempt) observeNotice(resp *http.Response) {
	names := &a.gateway.settings.Headers
	if id := resp.Header.Get(names.Instance); a.misdirected(resp) || id != "" && id != a.choice.upstream.ID {
		return
	}
	n := notice.Read(resp.StatusCode, resp.Header, notice.Headers{Leaving: names.Leaving, Brittle: names.Brittle, RetryAfter: names.RetryAfter})
	if len(n.Unreadable) > 0 {
		a.gateway.log.Warn().Str("event", "notice-unreadable").Str("upstream", a.choice.upstream.ID).Str("request", a.request.ID).
			Strs("headers", n.Unreadable).Str("leaving", headerText(a.statedLeaving())).Str("retry_after", headerText(a.statedRetryAfter())).Msg("")
	}
	full := resp.StatusCode == http.StatusServiceUnavailable && a.notRun(resp)
	a.gateway.fleet.observeBrittle(&a.choice, n.Brittle, full)
	if full && n.Brittle > 0 {
		a.logBrittleRejection(resp)
	}
	a.gateway.fleet.observeNotice(&a.choice, n, resp.StatusCode != http.StatusServiceUnavailable)
}

// observeNotice applies what the chosen upstream stated in an answer to this host. accepted is set
// if the answer shows that the upstream accepts requests.
func (f *Fleet) observeNotice(c *choice, n notice.Notice, accepted bool) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.chosenMember(c)
	if m == nil {
		return
	}
	now := boottime.Now()
	if n.Leaving && !m.Leaving {
		if !m.isReportedLeaving(now) {
			s.unreportedLeaving[m] = now
		}
		m.setLeaving(leavingSourceAnswer, zerolog.InfoLevel, f.log)
	}
	switch {
	case n.Backoff > 0:
		m.ensureNotices().backoff.Extend(n.Backoff, now)
		m.logBackoff(n.Backoff, now, f.log)
	case accepted && m.notices != nil && m.notices.backoff.Accepted(c.chosenAt):
		m.logBackoffEnd("accepted", now, f.log)
	}
}

// ensureNotices returns the state of the upstream's notices and creates it if there is none.
func (m *member) ensureNotices() *noticeState {
	if m.notices == nil {
		m.notices = &noticeState{}
		m.shard.noticed[m] = struct{}{}
	}
	return m.notices
}

// logBackoff logs that the upstream gets no requests of this host for a duration, if that is new.
func (m *member) logBackoff(d time.Duration, now time.Time, log zerolog.Logger) {
	state := m.notices
	state.logged.statements++
	if state.logged.since.IsZero() {
		state.logged.since = now
		log.Warn().Str("event", "upstream-backoff").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).
			Int64("for_ms", d.Milliseconds()).Int("in_flight", m.inFlight).Msg("")
	}
}

// logBackoffEnd logs that the upstream may get requests again: it accepted one, or the time was over
// and this host had none for it.
func (m *member) logBackoffEnd(reason string, now time.Time, log zerolog.Logger) {
	logged := &m.notices.logged
	log.Info().Str("event", "upstream-backoff-ended").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).Str("reason", reason).
		Int64("for_ms", now.Sub(logged.since).Milliseconds()).Int("statements", logged.statements).Int("withheld", logged.withheld).Msg("")
	*logged = loggedBackoff{}
}

// backsOff reports whether this host may not send a request to the upstream now because of a backoff.
func (m *member) backsOff(now time.Time) bool {
	return m.notices != nil && !m.notices.backoff.Allows(now)
}

// noticesAllow reports whether the upstream's notices permit this host another request, and counts
// a request that they don't permit.
func (m *member) noticesAllow(now time.Time) bool {
	if !m.backsOff(now) {
		return true
	}
	m.notices.logged.withheld++
	return false
}

// maySend reports whether a request may still be sent to the chosen upstream. Since the choice, the upstream may have
// stated that it is leaving or accepts no requests, or the time after the removal of its entry may be over.
func (f *Fleet) maySend(c *choice) bool {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m, now := s.chosenMember(c), boottime.Now()
	if m == nil || m.isUsable(now) && !m.isLeaving(now) && (m.notices == nil || !m.notices.backoff.Active(now)) {
		return true
	}
	if m.notices != nil {
		m.notices.logged.withheld++
	}
	return false
}

// backoffWait returns the time until an upstream of the service may accept a request again, while all of them back off.
func (f *Fleet) backoffWait(service string, regions regionConstraint) time.Duration {
	s := f.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wait := boottime.Now(), notice.MaxBackoff
	for m := range s.noticed {
		if regions.allows(m.Zone) && m.inService(now) && m.backsOff(now) {
			wait = min(wait, m.notices.backoff.Wait(now))
		}
	}
	if s.hasSlotsSoon(regions, now) {
		wait = min(wait, exchange.EngineLoadsAge)
	}
	return max(wait, failover.MinWait)
}

// setLeaving records that the upstream is leaving. It stays so until it restarts, whatever a later
// entry states.
func (m *member) setLeaving(source string, level zerolog.Level, log zerolog.Logger) {
	m.Leaving = true
	log.WithLevel(level).Str("event", "upstream-leaving").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).
		Str("source", source).Stringer("revision", m.revision).Int("in_flight", m.inFlight).Msg("")
}

// isLeaving reports whether the upstream is leaving by its entry, its answers or another host's
// report.
func (m *member) isLeaving(now time.Time) bool { return m.Leaving || m.isReportedLeaving(now) }

// isReportedLeaving reports whether the upstream counts as leaving because of another host's report.
func (m *member) isReportedLeaving(now time.Time) bool {
	return m.notices != nil && now.Before(m.notices.reportedLeavingUntil)
}

// takeLeaving returns the upstreams that stated to this host, since the last call, that they are
// leaving.
func (f *Fleet) takeLeaving() []exchange.LeavingUpstream {
	var list []exchange.LeavingUpstream
	now := boottime.Now()
	f.eachShard(func(s *shard) {
		for m, at := range s.unreportedLeaving {
			list = append(list, exchange.LeavingUpstream{Upstream: m.leaseID, Age: now.Sub(at)})
		}
		clear(s.unreportedLeaving)
	})
	return list
}

// applyReportedLeaving applies the reports of other hosts that upstreams are leaving. A report
// counts for exchange.LeavingLifetime: after that, the upstream has terminated, or the report was
// wrong.
func (f *Fleet) applyReportedLeaving(list []exchange.LeavingUpstream) {
	now := boottime.Now()
	f.eachShard(func(s *shard) {
		for _, l := range list {
			m := s.membersByLease[l.Upstream]
			until := now.Add(exchange.LeavingLifetime - l.Age)
			if m == nil || m.Leaving || !until.After(now) {
				continue
			}
			if !m.isReportedLeaving(now) {
				f.log.WithLevel(m.logLevel()).Str("event", "upstream-leaving").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).
					Str("source", leavingSourceHost).Int64("age_ms", l.Age.Milliseconds()).Int("in_flight", m.inFlight).Msg("")
			}
			m.ensureNotices().reportedLeavingUntil = until
		}
	})
}

// dropExpiredNotices deletes the state of notices that no longer bind, and logs their end.
func (f *Fleet) dropExpiredNotices() {
	now := boottime.Now()
	f.eachShard(func(s *shard) {
		for m := range s.noticed {
			state := m.notices
			if !s.brittle.Active(now) {
				state.backoff.EndRejected()
			}
			if m.isReportedLeaving(now) || !state.backoff.IsOver(now) {
				continue
			}
			if !state.logged.since.IsZero() {
				m.logBackoffEnd("time", now, f.log)
			}
			if !state.reportedLeavingUntil.IsZero() && !m.Leaving {
				f.log.WithLevel(m.logLevel()).Str("event", "upstream-leaving-expired").Str("upstream", m.ID).Str("service", m.Service).Msg("")
			}
			m.notices = nil
			delete(s.noticed, m)
		}
	})
}
