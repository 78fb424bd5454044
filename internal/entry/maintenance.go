package entry

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/lease"
	"github.com/quetzalweir/quetzalweir/ledger"
)

const (
	// maintenanceLease is the name that the host which tidies the table holds.
	maintenanceLease = "maintenance"
	// maintenanceTTL is the life of that lease.
	maintenanceTTL = 30 * time.Second
	// maintenanceInterval is the time between rounds.
	maintenanceInterval = 10 * time.Second
	// maintenanceTimeout bounds one round.
	maintenanceTimeout = 20 * time.Second
	// claimsPerRound is how many claims a round looks at.
	claimsPerRound = 500
	// compactAfter is the age of segments that are compacted. It is well above
	// the time in which a host writes what it holds.
	compactAfter = 10 * time.Minute
	// confirmationLife is when the confirmation of a host that is gone goes.
	confirmationLife = 24 * time.Hour
)

// maintenance keeps the table from growing: it drops expired claims and
// sessions and compacts the ledger. One host at a time does it, under a lease;
// each step is safe on any number of hosts, so a lapse costs only work.
type maintenance struct {
	host    *Host
	manager *lease.Manager
	held    *lease.Lease
	// sessionsAfter is where the next round of sessions goes on.
	sessionsAfter string
}

// run tidies until ctx ends.
func (m *maintenance) run(ctx context.Context) error {
	defer m.release()
	return every(ctx, maintenanceInterval, func() {
		ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		defer cancel()
		if m.hold(ctx) {
			m.round(ctx)
		}
	})
}

// hold says whether this host holds the lease, and takes or renews it.
func (m *maintenance) hold(ctx context.Context) bool {
	if m.held != nil && m.held.Renew(ctx) == nil {
		return true
	}
	held, err := m.manager.Acquire(ctx, maintenanceLease, m.host.incarnation, maintenanceTTL)
	if err != nil {
		m.held = nil
		return false
	}
	m.held = held
	return true
}

func (m *maintenance) round(ctx context.Context) {
	now := time.Now()
	_, err := m.host.claims.Sweep(ctx, claimsPerRound)
	m.report("claims", err)
	m.sessionsAfter, _, err = m.host.registry.Sweep(ctx, m.sessionsAfter)
	m.report("sessions", err)
	m.report("confirmations", m.host.store.PruneConfirmations(ctx, now.Add(-confirmationLife)))
	m.report("ledger", ledger.Compact(ctx, m.host.platform.Table, m.host.platform.Objects, now.Add(-compactAfter)))
}

func (m *maintenance) report(what string, err error) {
	if err != nil {
		m.host.log.Warn().Str("event", "maintenance").Str("what", what).Err(err).Msg("")
	}
}

// release gives the lease up at a planned stop; one that can't be released
// lapses.
func (m *maintenance) release() {
	if m.held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	_ = m.held.Release(ctx)
}
