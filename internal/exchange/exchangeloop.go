package exchange

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// exchangeLoop makes one exchange with the hub per Interval until the context ends.
func (m *Member) exchangeLoop(ctx context.Context, net network) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.exchangeStep(ctx, net)
		if m.requestsBegan() {
			m.exchangeStep(ctx, net)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// requestsBegan reports whether the hub has begun to request changes of a table since the last call. This
// host then sends them without waiting for the next Interval, since other hosts wait for them.
func (m *Member) requestsBegan() bool {
	began := len(m.requested) > 0 && !m.wasRequested
	m.wasRequested = len(m.requested) > 0
	return began
}

// exchangeStep makes one exchange with the hub, which may be this host's own. If a probe for a
// better hub is due, exchangeStep makes the probe first.
func (m *Member) exchangeStep(ctx context.Context, net network) {
	if !m.hasBestHub() && boottime.Now().After(m.nextProbeAt) {
		m.findHub(ctx, net)
	}
	m.updateMakesVerdicts()
	m.logFollowersBehind()
	switch m.hubAddress {
	case "":
		m.hubAnswered.Store(false)
	case m.options.Listen:
		report := m.nextReport()
		m.setHasFollowers(true)
		m.ownHub.setHasAllLimits(true)
		m.recordOwnReport(report)
		m.unsentLimits, m.unsentLeaving = m.unsentLimits[len(report.Limits):], m.unsentLeaving[len(report.Leaving):]
		m.deliverOwnHubData(report.WantTimings)
		if report.WantRelayHosts {
			m.addRelayHosts(m.ownHub.namedRelayHosts(m.options.Host, toHost))
		}
		m.renewRootLease()
		m.renewHolding()
		m.querySeeds(ctx, net)
		m.hubOutdated.Store(false)
		m.updateHolds()
	default:
		m.exchangeWithHub(ctx, net)
	}
}

// exchangeWithHub sends the hub a report on behalf of this host and its followers, and
// processes the reply.
func (m *Member) exchangeWithHub(ctx context.Context, net network) {
	hasFollowers := m.ownHub.hasFollowers()
	m.setHasFollowers(hasFollowers)
	report, upTo := m.nextReport(), forwardedPositions{}
	sentLimits, sentLeaving := len(report.Limits), len(report.Leaving)
	report.LeavingSince, report.PromisesSince = m.hubLeavingSeq, m.hubPromiseSeq
	report.SentPrefixesSince, report.LimitsCursor, report.GrantsDigest = m.hubPrefixSeq, m.hubLimitReader.Cursor(), ratelease.GrantsDigest(m.hubGrants)
	if hasFollowers {
		report, upTo = m.aggregateReport(report)
	}
	report.Tables = m.ownHub.requestedUpdates(m.hubAddress, m.requested)
	requestedAt := boottime.Now()
	reply, err := callWithTimeout(ctx, net, m.hubAddress, report)
	m.requested = reply.Requested
	m.hubAnswered.Store(err == nil)
	m.ownHub.receivesTables.Store(err == nil && reply.Relays)
	if err != nil {
		m.hubOutdated.Store(false)
		m.hubFailed(net, err)
		return
	}
	m.deliverQuarantineStatus(reply.QuarantineStatus)
	m.addRelayHosts(reply.RelayHosts)
	if hasFollowers {
		m.ownHub.recordRelayHostsElsewhere(reply.RelayHosts)
	}
	m.acceptLease(reply, requestedAt)
	m.unsentLimits, m.unsentLeaving = m.unsentLimits[sentLimits:], m.unsentLeaving[sentLeaving:]
	m.hubLeavingSeq, m.hubPromiseSeq = reply.LeavingLast, reply.PromisesLast
	m.applyHubLimits(reply.Limits, hasFollowers)
	if hasFollowers {
		m.forwardedPrefixSeq, m.forwardedSightingSeq, m.hubPrefixSeq, m.forwardedLimitsCursor = upTo.prefixes, upTo.sightings, reply.SentPrefixesLast, upTo.limits
		m.forwardedLeavingSeq, m.forwardedPromiseSeq = upTo.leaving, upTo.promises
		m.ownHub.recordHubReply(m.hubAddress, reply, max(0, reply.Hosts-report.Hosts))
		m.deliverOwnHubData(report.WantTimings)
	} else {
		m.unsentSightings = Sightings{} // the hub has them
		m.unsentPromises, m.ownHubPromiseSeq = m.unsentPromises[len(report.Promises):], 0
		m.hubPrefixSeq, m.ownHubPrefixSeq, m.ownHubLeavingSeq = reply.SentPrefixesLast, 0, 0
		m.deliver(reply, requestedAt)
	}
	m.hubOutdated.Store(reply.Outdated)
	m.updateHolds()
	m.offerTables(report, reply, requestedAt)
	m.acceptAssignment(reply.Assigned)
}

// forwardedPositions holds the positions in the logs of ownHub up to which a report forwards the
// entries to this host's hub: sequence numbers in the logs of prefixes, sightings, leaving
// upstreams and reservations, and a cursor in the limit log.
type forwardedPositions struct {
	prefixes, sightings, leaving, promises uint64
	limits                                 ratelease.LogCursor
}

// aggregateReport returns the report on behalf of this host and its followers, and the positions
// up to which the report forwards the logs of ownHub. The report holds no evidence until the
// previous hub's copy of the evidence has expired.
func (m *Member) aggregateReport(own Report) (report Report, upTo forwardedPositions) {
	m.recordOwnReport(own)
	m.unsentPrefixes = make(SentPrefixes) // this host's own hub has them
	report, upTo.prefixes = m.ownHub.subtreeReport(own, m.forwardedPrefixSeq, m.hubAddress)
	report.Engines = m.subtreeEngines()
	report.Sightings, upTo.sightings = m.ownHub.sightingsSince(m.forwardedSightingSeq, m.hubAddress)
	report.Leaving, upTo.leaving = m.ownHub.leavingSince(m.forwardedLeavingSeq, m.hubAddress, toHub)
	report.Promises, upTo.promises = m.ownHub.promisesSince(m.forwardedPromiseSeq, m.hubAddress, toHub)
	limits := m.ownHub.limitsSince(m.forwardedLimitsCursor, toHub)
	report.Limits, upTo.limits = limits.Updates, limits.Cursor
	if !m.previousHubExpired() {
		report.Evidence = nil
	}
	if !m.previousHubDroppedUse() {
		report.AccountUse = nil
	}
	return report, upTo
}

// recordOwnReport passes this host's report to its own hub.
func (m *Member) recordOwnReport(own Report) {
	m.ownHub.record(m.options.Host, own)
	m.ownHub.recordLimits(false, own.Limits, false)
	m.ownHub.recordLeaving(m.options.Host, false, own.Leaving)
	m.ownHub.recordPromises(m.options.Host, false, own.Promises)
	m.unsentPromises = m.unsentPromises[len(own.Promises):]
	m.recordOwnSightings(own.Sightings)
}

// recordOwnSightings passes this host's sightings to its own hub.
func (m *Member) recordOwnSightings(s Sightings) {
	m.ownHub.recordSightings(m.options.Host, s)
	m.unsentSightings = Sightings{}
}

// offerTables passes the table updates in the hub's reply to the report to the tables' watchers.
func (m *Member) offerTables(report Report, reply Reply, requestedAt time.Time) {
	for name, w := range m.options.Tables {
		update, ok := reply.Tables[name]
		switch {
		case ok:
			decoded, err := m.incoming.receive(name, update)
			if err != nil {
				m.log.Error().Str("event", "transfer-failed").Str("table", name).Err(err).Msg("")
			}
			if update.Part != nil && (decoded.Complete || decoded.IsSnapshot) {
				m.log.Info().Str("event", "table-received-in-parts").Str("table", name).Stringer("revision", decoded.Revision).Int("bytes", update.Part.Size).Msg("")
			}
			if !reply.Relays && report.Revisions[name] > 0 {
				w.OfferRows(decoded)
				w.SetNotRelayed()
				continue
			}
			w.Offer(decoded, requestedAt)
		case !reply.Relays && !reply.TablePending && reply.Assigned == "":
			w.SetNotRelayed()
		}
	}
}

// deliverOwnHubData passes the other hosts' data that this host's own hub has to the callbacks
// in Options. The other hosts' timings are included if withTimings is set.
func (m *Member) deliverOwnHubData(withTimings bool) {
	sums := m.ownHub.otherSums(m.options.Host, m.ownHubPrefixSeq, toHost)
	if withTimings {
		sums.Timings, sums.AccountUse = m.ownHub.otherTimings(m.options.Host, toHost), m.ownHub.otherAccountUse(m.options.Host, toHost)
	}
	if slice, due := m.enginesDue(); due {
		sums.Engines = m.ownHub.otherEngines(m.options.Host, slice, toHost, maxRepliedLoads)
	}
	m.ownHubPrefixSeq = sums.SentPrefixesLast
	m.applyOwnHubLimits()
	m.deliverOwnHubLeaving()
	m.deliverOwnHubPromises()
	m.deliver(sums, boottime.Now())
}

// deliver passes the other hosts' data in a reply, as of the given time, to the callbacks in
// Options.
func (m *Member) deliver(reply Reply, at time.Time) {
	m.options.OnWork(reply.Work, at)
	m.deliverEngines(reply.Engines, at)
	m.deliverHostCount(reply.Hosts)
	m.deliverEvidence(reply.Evidence)
	m.deliverPrefixes(reply.SentPrefixes)
	m.deliverLeaving(reply.Leaving)
	m.deliverPromises(reply.Promises)
	m.deliverAccountUse(reply.AccountUse)
	if m.options.OnTimings != nil && len(reply.Timings) > 0 {
		m.options.OnTimings(reply.Timings)
	}
}

// deliverPrefixes passes the prefixes that other hosts sent to upstreams to OnSentPrefixes. It also
// drops this host's unsent prefixes, which the hub has received by then.
func (m *Member) deliverPrefixes(prefixes SentPrefixes) {
	m.unsentPrefixes = make(SentPrefixes)
	if m.options.OnSentPrefixes != nil && len(prefixes) > 0 {
		m.options.OnSentPrefixes(prefixes)
	}
}

func (m *Member) deliverHostCount(n int) {
	if m.options.OnHostCount != nil && n > 0 {
		m.options.OnHostCount(n)
	}
}

func (m *Member) deliverEvidence(list []Evidence) {
	if m.options.OnEvidence != nil && len(list) > 0 {
		m.options.OnEvidence(list)
	}
}
