package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/notice"
)

// noticeState holds what an upstream stated to this host or to others in the heads of answers and
// what its entry doesn't contain.
type noticeState struct {
	// reportedLeavingUntil is the time until which the upstream counts as leaving because another
	// host reported that it stated so.
	reportedLeavingUntil time.Time
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
	n := notice.Read(resp.Header, notice.Headers{Leaving: names.Leaving})
	if len(n.Unreadable) > 0 {
		a.gateway.log.Warn().Str("event", "notice-unreadable").Str("upstream", a.choice.upstream.ID).Str("request", a.request.ID).
			Strs("headers", n.Unreadable).Str("leaving", headerText(a.statedLeaving())).Msg("")
	}
	if !n.IsZero() {
		a.gateway.fleet.observeNotice(&a.choice, n)
	}
}

// observeNotice applies what the chosen upstream stated in an answer to this host.
func (f *Fleet) observeNotice(c *choice, n notice.Notice) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.chosenMember(c)
	if m == nil || !n.Leaving || m.Leaving {
		return
	}
	if !m.isReportedLeaving(boottime.Now()) {
		s.unreportedLeaving[m] = boottime.Now()
	}
	m.setLeaving(leavingSourceAnswer, zerolog.InfoLevel, f.log)
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
			if m.notices == nil {
				m.notices = &noticeState{}
			}
			if !m.isReportedLeaving(now) {
				f.log.WithLevel(m.logLevel()).Str("event", "upstream-leaving").Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone).
					Str("source", leavingSourceHost).Int64("age_ms", l.Age.Milliseconds()).Int("in_flight", m.inFlight).Msg("")
			}
			m.notices.reportedLeavingUntil = until
			s.noticed[m] = struct{}{}
		}
	})
}

// dropExpiredNotices deletes the state of notices that no longer bind, and logs their end.
func (f *Fleet) dropExpiredNotices() {
	now := boottime.Now()
	f.eachShard(func(s *shard) {
		for m := range s.noticed {
			if m.isReportedLeaving(now) {
				continue
			}
			if !m.Leaving {
				f.log.WithLevel(m.logLevel()).Str("event", "upstream-leaving-expired").Str("upstream", m.ID).Str("service", m.Service).Msg("")
			}
			m.notices = nil
			delete(s.noticed, m)
		}
	})
}
