package exchange

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// follow exchanges with the hub until the context ends.
func (m *Member) follow(ctx context.Context, net network) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.step(ctx, net)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// step makes one exchange, after a look for a better hub if it is time for that.
func (m *Member) step(ctx context.Context, net network) {
	if !m.settled() && boottime.Now().After(m.lookAt) {
		m.look(ctx, net)
	}
	m.noteRole()
	switch m.current {
	case "":
		m.heard.Store(false)
	case m.options.Listen:
		report := m.report()
		m.noteLeads(true)
		m.hub.noteKnowsLimits(true)
		m.takeOwnReport(report)
		m.untoldLimits = m.untoldLimits[len(report.Limits):]
		m.takeOwn(report.WantTimings)
		m.holdAsRoot()
		m.holdOwn()
		m.askHubs(ctx, net)
	default:
		m.exchange(ctx, net)
	}
}

// exchange makes one exchange with the hub, for this host and those that it leads.
func (m *Member) exchange(ctx context.Context, net network) {
	leads := m.hub.leads()
	m.noteLeads(leads)
	report, told := m.report(), told{}
	toldLimits := len(report.Limits)
	report.ReadsSince, report.LimitsKnown, report.Holds = m.readsSince, m.limits.Mark(), ratelease.Digest(m.granted)
	if leads {
		report, told = m.leadersReport(report)
	}
	asked := boottime.Now()
	reply, err := ask(ctx, net, m.current, report)
	m.heard.Store(err == nil)
	m.hub.told.Store(err == nil && reply.Relays)
	if err != nil {
		m.lose(net, err)
		return
	}
	m.takeStanding(reply.Standing)
	m.takeLease(reply, asked)
	m.untoldLimits = m.untoldLimits[toldLimits:]
	m.takeHubLimits(reply.Limits, leads)
	if leads {
		m.toldReads, m.toldSightings, m.readsSince, m.toldLimits = told.reads, told.sightings, reply.ReadsLast, told.limits
		m.hub.takeHub(m.current, reply, max(0, reply.Hosts-report.Hosts))
		m.takeOwn(report.WantTimings)
	} else {
		m.unseen = Sightings{} // the hub has them
		m.readsSince, m.ownSince = reply.ReadsLast, 0
		m.take(reply, asked)
	}
	m.offer(reply, asked)
	m.goOver(reply.Assigned)
}

// told is up to which numbers of the own hub a report tells what that was told.
type told struct {
	reads, sightings uint64
	limits           ratelease.Mark
}

// leadersReport is the report for this host and its followers, and what it tells up to.
// Evidence waits until the hub before has forgotten it.
func (m *Member) leadersReport(own Report) (report Report, upTo told) {
	m.takeOwnReport(own)
	m.untold = make(Reads) // the own hub has them
	report, upTo.reads = m.hub.subtree(own, m.toldReads, m.current)
	report.Sightings, upTo.sightings = m.hub.sightingsSince(m.toldSightings, m.current)
	limits := m.hub.limitsSince(m.toldLimits, toHub)
	report.Limits, upTo.limits = limits.Words, limits.Mark
	if !m.alone() {
		report.Evidence = nil
	}
	return report, upTo
}

// takeOwnReport tells the own hub what this host reports.
func (m *Member) takeOwnReport(own Report) {
	m.hub.take(m.options.Host, own)
	m.hub.takeLimits(false, own.Limits, false)
	m.takeOwnSightings(own.Sightings)
}

// takeOwnSightings tells the own hub what this host saw.
func (m *Member) takeOwnSightings(s Sightings) {
	m.hub.takeSightings(m.options.Host, s)
	m.unseen = Sightings{}
}

// offer passes the store's word on to the tables' watchers.
func (m *Member) offer(reply Reply, asked time.Time) {
	for name, w := range m.options.Tables {
		news, ok := reply.Tables[name]
		switch {
		case ok:
			w.Offer(news.news(), asked)
		case !reply.Relays && !reply.Later && reply.Assigned == "":
			w.NoOffer()
		}
	}
}

// takeOwn takes what the own hub knows of the other hosts, with their timings or without.
func (m *Member) takeOwn(timings bool) {
	sums := m.hub.sums(m.options.Host, m.ownSince, toHost)
	if timings {
		sums.Timings = m.hub.toldTimings(m.options.Host, toHost)
	}
	m.ownSince = sums.ReadsLast
	m.takeOwnLimits()
	m.take(sums, boottime.Now())
}

// take takes what a hub told of the other hosts, as of a time.
func (m *Member) take(reply Reply, at time.Time) {
	m.options.Others(reply.Work, at)
	m.takeHosts(reply.Hosts)
	m.takeEvidence(reply.Evidence)
	m.takeReads(reply.Reads)
	if m.options.TakeTimings != nil && len(reply.Timings) > 0 {
		m.options.TakeTimings(reply.Timings)
	}
}

// takeReads takes the others' reads. The hub has this host's.
func (m *Member) takeReads(reads Reads) {
	m.untold = make(Reads)
	if m.options.TakeReads != nil && len(reads) > 0 {
		m.options.TakeReads(reads)
	}
}

func (m *Member) takeHosts(n int) {
	if m.options.Hosts != nil && n > 0 {
		m.options.Hosts(n)
	}
}

func (m *Member) takeEvidence(list []Evidence) {
	if m.options.TakeEvidence != nil && len(list) > 0 {
		m.options.TakeEvidence(list)
	}
}
