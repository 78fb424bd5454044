package exchange

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// hubQuery is the state of this hub's queries to another hub.
type hubQuery struct {
	// inFlight reports whether an answer is pending. retryAt is the earliest time of the next
	// query. readsSince is the sequence number of the last of the other hub's reads that was
	// received.
	inFlight   bool
	retryAt    time.Time
	readsSince uint64
	// sightingsSince is the same for the other hub's sightings. answered reports whether it
	// answered the last query.
	sightingsSince uint64
	answered       bool
	// limitsMark is the position in the other hub's log of limits up to which it was received.
	limitsMark ratelease.LogCursor
}

// askHubs queries each of the other seeds for the sums over its followers, concurrently, so
// that a dead one delays nothing.
func (m *Member) askHubs(ctx context.Context, net network) {
	for _, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			continue
		}
		state, ok := m.beginQuery(seed)
		if !ok {
			continue
		}
		report := Report{
			Zone: m.options.Zone, Address: m.options.Listen, Hub: true, ReadsSince: state.readsSince, SightingsSince: state.sightingsSince, LimitsCursor: state.limitsMark, Revisions: m.revisions(),
			WantTimings: m.exchanges%timingsEvery == 1,
		}
		requestedAt := boottime.Now()
		go func() {
			reply, err := callWithTimeout(ctx, net, seed, report)
			if err != nil {
				net.forget(seed)
				m.endQuery(seed, hubQuery{retryAt: boottime.Now().Add(hubRetryInterval), readsSince: state.readsSince, sightingsSince: state.sightingsSince, limitsMark: state.limitsMark})
				return
			}
			m.hub.recordHub(seed, reply, reply.Hosts)
			m.hub.recordLimits(true, reply.Limits.Updates, false)
			m.applyQuarantineStatus(reply.QuarantineStatus)
			m.offerTablesIfDisconnected(reply, requestedAt)
			m.endQuery(seed, hubQuery{readsSince: reply.ReadsLast, sightingsSince: reply.SightingsLast, limitsMark: reply.Limits.Cursor, answered: true})
		}()
	}
}

// offerTablesIfDisconnected passes another hub's table updates to those watchers that can't
// reach the store themselves: the store may reject single hosts.
func (m *Member) offerTablesIfDisconnected(reply Reply, requestedAt time.Time) {
	for name, w := range m.options.Tables {
		if update, ok := reply.Tables[name]; ok {
			w.OfferIfDisconnected(update.decode(), requestedAt)
		}
	}
}

// beginQuery returns the state of the queries to a hub, and whether it may be queried now: no
// query is in flight, and the last one didn't fail within hubRetryInterval.
func (m *Member) beginQuery(hub string) (state hubQuery, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.hubQueries[hub]
	if q == nil {
		q = &hubQuery{}
		m.hubQueries[hub] = q
	}
	if q.inFlight || boottime.Now().Before(q.retryAt) {
		return hubQuery{}, false
	}
	q.inFlight = true
	return *q, true
}

// endQuery records the state after a query has ended.
func (m *Member) endQuery(hub string, state hubQuery) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*m.hubQueries[hub] = state
	m.updateSeedsAnswered()
}
