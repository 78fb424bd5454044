package exchange

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// seedQuery is the state of this host's queries to another seed.
type seedQuery struct {
	// inFlight reports whether the reply to a query is pending. retryAt is the earliest time of
	// the next query, and failures is the number of consecutive queries that failed. prefixesSince
	// is the sequence number of the last entry in the seed's prefix log that was received.
	inFlight      bool
	retryAt       time.Time
	failures      int
	prefixesSince uint64
	// sightingsSince is the sequence number of the last entry in the seed's sighting log that
	// was received. answered reports whether the seed answered the last query.
	sightingsSince uint64
	answered       bool
	// outdated reports whether the seed stated that its tables are outdated.
	outdated bool
	// leavingSince is the sequence number of the last entry that was received from the seed's log
	// of leaving upstreams.
	leavingSince uint64
	// promisesSince is the same for the seed's log of reservations.
	promisesSince uint64
	// limitsCursor is the position in the seed's limit log up to which the log was received.
	limitsCursor ratelease.LogCursor
	// incoming holds the table updates that the seed sends in parts.
	incoming incomingTransfers
	// engines is what the seed last answered on engines.
	engines engineAnswers
}

// querySeeds queries each of the other seeds for the sums over its followers. The queries run
// concurrently, so that a dead seed doesn't delay the others.
func (m *Member) querySeeds(ctx context.Context, net network) {
	for _, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			continue
		}
		state, ok := m.beginQuery(seed)
		if !ok {
			continue
		}
		answered := state.engines
		report := Report{
			Zone: m.options.Zone, Address: m.options.Listen, HubQuery: true, SentPrefixesSince: state.prefixesSince, SightingsSince: state.sightingsSince, LimitsCursor: state.limitsCursor, LeavingSince: state.leavingSince, PromisesSince: state.promisesSince, Revisions: m.revisions(),
			WantTimings: m.reportCount%exchangesPerTimings == 1,
		}
		if state.incoming == nil {
			state.incoming = make(incomingTransfers)
		}
		m.addTableSupport(&report, state.incoming)
		report.AcceptsParts = m.disconnected()
		report.Engines, state.engines = m.engineQuery(answered)
		report.WantRelayHosts = m.wantsRelayHosts()
		requestedAt := boottime.Now()
		go func() {
			reply, err := callWithTimeout(ctx, net, seed, report)
			if err != nil {
				net.disconnect(seed)
				m.endQuery(seed, seedQuery{retryAt: boottime.Now().Add(queryRetryDelay(state.failures)), failures: state.failures + 1, prefixesSince: state.prefixesSince, sightingsSince: state.sightingsSince, limitsCursor: state.limitsCursor, leavingSince: state.leavingSince, promisesSince: state.promisesSince, engines: answered, incoming: state.incoming})
				return
			}
			m.ownHub.recordHubReply(seed, reply, reply.Hosts)
			m.ownHub.recordLimits(true, reply.Limits.Updates, false)
			m.deliverQuarantineStatus(reply.QuarantineStatus)
			m.ownHub.recordRelayHostsElsewhere(reply.RelayHosts)
			m.addRelayHosts(reply.RelayHosts)
			m.offerTablesIfDisconnected(reply, state.incoming, requestedAt)
			m.endQuery(seed, seedQuery{prefixesSince: reply.SentPrefixesLast, sightingsSince: reply.SightingsLast, limitsCursor: reply.Limits.Cursor, leavingSince: reply.LeavingLast, promisesSince: reply.PromisesLast, answered: true, outdated: reply.Outdated, engines: state.engines, incoming: state.incoming})
		}()
	}
}

// queryRetryDelay returns the time until a seed that failed to answer is queried again. It grows with
// the number of earlier failures: seeds that start at the same time don't listen at once, and a host
// that is cut off from the store or from upstreams depends on the other seeds.
func queryRetryDelay(failures int) time.Duration {
	return min(noHubRetryInterval<<min(failures, maxProbeDoublings), hubRetryInterval)
}

// offerTablesIfDisconnected passes another seed's table updates to the watchers, which rely on them
// if they can't reach the store themselves. This matters if the store rejects the calls of single
// hosts, and where a host's path to the store is slow.
func (m *Member) offerTablesIfDisconnected(reply Reply, incoming incomingTransfers, requestedAt time.Time) {
	for name, w := range m.options.Tables {
		update, ok := reply.Tables[name]
		if !ok {
			continue
		}
		decoded, err := incoming.receive(name, update)
		if err != nil {
			m.log.Error().Str("event", "transfer-failed").Str("table", name).Err(err).Msg("")
		}
		w.OfferIfDisconnected(decoded, requestedAt)
	}
}

// disconnected reports whether this host's own calls of the store fail.
func (m *Member) disconnected() bool {
	for _, w := range m.options.Tables {
		if w.Disconnected() {
			return true
		}
	}
	return false
}

// IsFirstSeed reports whether this host is the first of the seeds that answer and aren't outdated,
// in the configured order. The others get the changes that they lack from it, and pass them on to
// their followers.
func (m *Member) IsFirstSeed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			return true
		}
		if q := m.seedQueries[seed]; q != nil && q.answered && !q.outdated {
			return false
		}
	}
	return false
}

// HoldsBriefly reports whether the store is to hold this host's calls only briefly, since other
// hosts depend on it as the first seed, or since its own hub is outdated.
func (m *Member) HoldsBriefly() bool { return m.hubOutdated.Load() || m.IsFirstSeed() }

// updateHolds makes the tables' watchers call the store more often as soon as HoldsBriefly reports
// so, by canceling the calls that the store may hold for a long time.
func (m *Member) updateHolds() {
	brief := m.HoldsBriefly()
	if brief && !m.heldBriefly {
		for _, w := range m.options.Tables {
			w.ShortenHold()
		}
	}
	m.heldBriefly = brief
}

// beginQuery returns the state of the queries to a seed, and whether the seed may be queried
// now: no query is in flight, and none failed too recently.
func (m *Member) beginQuery(seed string) (state seedQuery, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.seedQueries[seed]
	if q == nil {
		q = &seedQuery{}
		m.seedQueries[seed] = q
	}
	if q.inFlight || boottime.Now().Before(q.retryAt) {
		return seedQuery{}, false
	}
	q.inFlight = true
	return *q, true
}

// endQuery stores the state of the queries to a seed after one has ended.
func (m *Member) endQuery(seed string, state seedQuery) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*m.seedQueries[seed] = state
	m.updateSeedsAnswered()
}
