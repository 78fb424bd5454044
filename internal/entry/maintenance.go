package entry

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/lease"
	"github.com/quetzalweir/quetzalweir/ledger"
)

const (
	// maintenanceLease is the name of the lease held by the host that maintains
	// the table.
	maintenanceLease = "maintenance"
	// maintenanceTTL is the duration of the maintenance lease.
	maintenanceTTL = 30 * time.Second
	// maintenanceInterval is the time between maintenance rounds.
	maintenanceInterval = 10 * time.Second
	// maintenanceTimeout is the timeout of one round.
	maintenanceTimeout = 20 * time.Second
	// claimsPerRound is the maximum number of claims that one round checks.
	claimsPerRound = 500
	// minSegmentAge is the age from which ledger segments are compacted. It is
	// much longer than a host takes to write its pending bills, so that few rows
	// are written after their minute was compacted.
	minSegmentAge = 10 * time.Minute
	// confirmationTTL is the age at which a host's confirmation of a manifest is
	// deleted. A running host renews its confirmation before that.
	confirmationTTL = 24 * time.Hour
)

// maintenance limits the size of the table: it deletes expired claims, sessions and
// confirmations and compacts the ledger. One host at a time does this, under a
// lease. Each step may safely run on several hosts at once. If the lease expires during
// a round and another host starts its own round, this only causes duplicate work.
type maintenance struct {
	host   *Host
	leases *lease.Manager
	held   *lease.Lease
	// sessionCursor is the row key after which the next round continues to sweep sessions.
	sessionCursor string
}

// run maintains the table until ctx ends.
func (m *maintenance) run(ctx context.Context) error {
	defer m.release()
	return runPeriodically(ctx, maintenanceInterval, func() {
		ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		defer cancel()
		if m.ensureLease(ctx) {
			m.runRound(ctx)
		}
	})
}

// ensureLease acquires or renews the lease and reports whether this host holds it.
func (m *maintenance) ensureLease(ctx context.Context) bool {
	if m.held != nil && m.held.Renew(ctx) == nil {
		return true
	}
	held, err := m.leases.Acquire(ctx, maintenanceLease, m.host.incarnation, maintenanceTTL)
	if err != nil {
		m.held = nil
		return false
	}
	m.held = held
	return true
}

func (m *maintenance) runRound(ctx context.Context) {
	now := time.Now()
	_, err := m.host.claims.Sweep(ctx, claimsPerRound)
	m.logError("claims", err)
	m.sessionCursor, _, err = m.host.sessions.Sweep(ctx, m.sessionCursor)
	m.logError("sessions", err)
	m.logError("confirmations", m.host.manifestStore.PruneConfirmations(ctx, now.Add(-confirmationTTL)))
	m.logError("ledger", ledger.Compact(ctx, m.host.platform.Table, m.host.platform.Objects, now.Add(-minSegmentAge)))
}

func (m *maintenance) logError(step string, err error) {
	if err != nil {
		m.host.log.Warn().Str("event", "maintenance").Str("what", step).Err(err).Msg("")
	}
}

// release releases the lease in a planned stop. If it can't be released, it expires.
func (m *maintenance) release() {
	if m.held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	_ = m.held.Release(ctx)
}
