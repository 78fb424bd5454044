package exchange

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// follow exchanges reports with the hub until the context ends.
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

// step makes one exchange, after a probe for a better hub if one is due.
func (m *Member) step(ctx context.Context, net network) {
	if !m.hubIsFinal() && boottime.Now().After(m.nextProbeAt) {
		m.findHub(ctx, net)
	}
	m.updateJudging()
	switch m.current {
	case "":
		m.hubAnswered.Store(false)
	case m.options.Listen:
		report := m.report()
		m.setHasFollowers(true)
		m.hub.setHasAllLimits(true)
		m.recordOwnReport(report)
		m.unsentLimits = m.unsentLimits[len(report.Limits):]
		m.applyOwnHub(report.WantTimings)
		m.assignRootLease()
		m.applyOwnLease()
		m.askHubs(ctx, net)
	default:
		m.exchange(ctx, net)
	}
}

// exchange makes one exchange with the hub, on behalf of this host and its followers.
func (m *Member) exchange(ctx context.Context, net network) {
	hasFollowers := m.hub.hasFollowers()
	m.setHasFollowers(hasFollowers)
	report, upTo := m.report(), forwarded{}
	sentLimits := len(report.Limits)
	report.ReadsSince, report.LimitsCursor, report.GrantsDigest = m.hubReadsSeq, m.limits.Cursor(), ratelease.Digest(m.granted)
	if hasFollowers {
		report, upTo = m.aggregateReport(report)
	}
	requestedAt := boottime.Now()
	reply, err := callWithTimeout(ctx, net, m.current, report)
	m.hubAnswered.Store(err == nil)
	m.hub.receivesTables.Store(err == nil && reply.Relays)
	if err != nil {
		m.hubFailed(net, err)
		return
	}
	m.applyQuarantineStatus(reply.QuarantineStatus)
	m.acceptLease(reply, requestedAt)
	m.unsentLimits = m.unsentLimits[sentLimits:]
	m.applyHubLimits(reply.Limits, hasFollowers)
	if hasFollowers {
		m.forwardedReadsSeq, m.forwardedSightingsSeq, m.hubReadsSeq, m.forwardedLimitsMark = upTo.reads, upTo.sightings, reply.ReadsLast, upTo.limits
		m.hub.recordHub(m.current, reply, max(0, reply.Hosts-report.Hosts))
		m.applyOwnHub(report.WantTimings)
	} else {
		m.unsentSightings = Sightings{} // the hub has them
		m.hubReadsSeq, m.ownHubReadsSeq = reply.ReadsLast, 0
		m.apply(reply, requestedAt)
	}
	m.offerTables(reply, requestedAt)
	m.acceptAssignment(reply.Assigned)
}

// forwarded holds the positions in this host's own hub up to which a report forwards its data
// to the hub above.
type forwarded struct {
	reads, sightings uint64
	limits           ratelease.LogCursor
}

// aggregateReport returns the report on behalf of this host and its followers, and the
// positions up to which it forwards. Evidence is left out until the previous hub's copy has
// expired.
func (m *Member) aggregateReport(own Report) (report Report, upTo forwarded) {
	m.recordOwnReport(own)
	m.unsentReads = make(Reads) // this host's own hub has them
	report, upTo.reads = m.hub.subtreeReport(own, m.forwardedReadsSeq, m.current)
	report.Sightings, upTo.sightings = m.hub.sightingsSince(m.forwardedSightingsSeq, m.current)
	limits := m.hub.limitsSince(m.forwardedLimitsMark, toHub)
	report.Limits, upTo.limits = limits.Updates, limits.Cursor
	if !m.previousHubExpired() {
		report.Evidence = nil
	}
	return report, upTo
}

// recordOwnReport passes this host's report to its own hub.
func (m *Member) recordOwnReport(own Report) {
	m.hub.record(m.options.Host, own)
	m.hub.recordLimits(false, own.Limits, false)
	m.recordOwnSightings(own.Sightings)
}

// recordOwnSightings passes this host's sightings to its own hub.
func (m *Member) recordOwnSightings(s Sightings) {
	m.hub.recordSightings(m.options.Host, s)
	m.unsentSightings = Sightings{}
}

// offerTables passes the hub's table updates to the tables' watchers.
func (m *Member) offerTables(reply Reply, requestedAt time.Time) {
	for name, w := range m.options.Tables {
		update, ok := reply.Tables[name]
		switch {
		case ok:
			w.Offer(update.decode(), requestedAt)
		case !reply.Relays && !reply.TablePending && reply.Assigned == "":
			w.OfferNothing()
		}
	}
}

// applyOwnHub applies the other hosts' data that this host's own hub has, including their
// timings if requested.
func (m *Member) applyOwnHub(withTimings bool) {
	sums := m.hub.otherSums(m.options.Host, m.ownHubReadsSeq, toHost)
	if withTimings {
		sums.Timings = m.hub.otherTimings(m.options.Host, toHost)
	}
	m.ownHubReadsSeq = sums.ReadsLast
	m.applyOwnHubLimits()
	m.apply(sums, boottime.Now())
}

// apply passes the other hosts' data in a reply, as of the given time, to the callbacks in
// Options.
func (m *Member) apply(reply Reply, at time.Time) {
	m.options.OnWork(reply.Work, at)
	m.applyHostCount(reply.Hosts)
	m.applyEvidence(reply.Evidence)
	m.applyReads(reply.Reads)
	if m.options.OnTimings != nil && len(reply.Timings) > 0 {
		m.options.OnTimings(reply.Timings)
	}
}

// applyReads passes on the other hosts' reads. It also drops this host's unsent reads, which
// the hub has received.
func (m *Member) applyReads(reads Reads) {
	m.unsentReads = make(Reads)
	if m.options.OnReads != nil && len(reads) > 0 {
		m.options.OnReads(reads)
	}
}

func (m *Member) applyHostCount(n int) {
	if m.options.OnHostCount != nil && n > 0 {
		m.options.OnHostCount(n)
	}
}

func (m *Member) applyEvidence(list []Evidence) {
	if m.options.OnEvidence != nil && len(list) > 0 {
		m.options.OnEvidence(list)
	}
}
