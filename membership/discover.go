package membership

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// presencePageSize is the maximum number of rows read per call.
	presencePageSize = 256
	// discoverIntervalPerRow times the number of rows is the minimum interval
	// between listings. At about 250 bytes per row, a host reads at most 500
	// bytes per second.
	discoverIntervalPerRow = 500 * time.Millisecond
	// abandonedTTLs is the number of TTLs without renewal after which any host
	// removes a row.
	abandonedTTLs = 10
	// staleTTLs is the age of a row, in TTLs, from which its lease counts as
	// expired. A host that reads such a row for the first time doesn't add its
	// member. For this first reading, the age is the difference between the
	// wall clocks of two hosts, and two TTLs allow these clocks to differ by
	// one TTL.
	staleTTLs = 2
)

// rowObservation is the latest version of a row that this host has read, and when
// it first read this version, by its own clock.
type rowObservation struct {
	version     uint64
	firstReadAt time.Time
}

// discoverLoop periodically reads the presence rows of all hosts.
func (m *Membership) discoverLoop(ctx context.Context) {
	for {
		m.blockHook()
		m.discover(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.jitter(m.discoverInterval())):
		}
	}
}

// discoverInterval returns the time to the next listing. It grows with the number
// of members, which bounds the read rate of a host. It doesn't grow while there is
// no other live member or this host is isolated, because the host then depends on
// the rows.
func (m *Membership) discoverInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.options
	switch {
	case len(m.rings.global) == 0:
		return min(o.DiscoverInterval, o.RoundInterval)
	case m.isolated(boottime.Now()):
		return o.DiscoverInterval
	default:
		return max(o.DiscoverInterval, time.Duration(len(m.rings.global))*discoverIntervalPerRow)
	}
}

// discover reads and processes all presence rows. It stops at the first failure.
func (m *Membership) discover(ctx context.Context) {
	after := ""
	for {
		// The time is taken before the call, because this process may be paused
		// between the response and its processing.
		requestedAt := boottime.Now()
		page, err := m.listPage(ctx, after)
		if err != nil {
			return
		}
		for _, row := range page {
			m.observeRow(ctx, row, requestedAt)
		}
		if len(page) < presencePageSize {
			return
		}
		after = page[len(page)-1].Key
	}
}

func (m *Membership) listPage(ctx context.Context, after string) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.TableTimeout)
	defer cancel()
	return m.options.Table.List(ctx, PresencePrefix, after, presencePageSize)
}

// observeRow processes a presence row that was requested at now. A row with a new
// version indicates a live host, whose member is added. An unchanged row is passed
// to observeUnchangedRow.
func (m *Membership) observeRow(ctx context.Context, stored storage.Row, now time.Time) {
	p := m.presence
	previous, found := p.observations[stored.Key]
	if found && previous.version == stored.Version {
		m.observeUnchangedRow(ctx, stored, now.Sub(previous.firstReadAt))
		return
	}
	p.observations[stored.Key] = rowObservation{version: stored.Version, firstReadAt: now}
	var row presenceRow
	if json.Unmarshal(stored.Value, &row) != nil || PresencePrefix+row.Member.ID != stored.Key {
		return
	}
	age := time.Since(time.UnixMilli(row.RenewedAt)) // by the wall clock, as in the row
	if !found && age > staleTTLs*m.options.PresenceTTL {
		return
	}
	if row.Member.ID == m.options.Self.ID || !row.Member.alive() {
		return
	}
	m.mu.Lock()
	m.mergeMember(row.Member, origin{initialSync: !m.joined}, now)
	m.publish()
	m.mu.Unlock()
	m.notifier.flush()
}

// ownLeaseValid reports whether this host's own row was renewed within its TTL.
// Only then does the missing renewal of another row indicate a failure of the
// row's host rather than of the table.
func (m *Membership) ownLeaseValid(now time.Time) bool {
	p := m.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.renewedAt.IsZero() && now.Sub(p.renewedAt) < m.options.PresenceTTL
}

// observeUnchangedRow processes a row that hasn't been renewed for the given time,
// by this host's clock. It removes abandoned rows. While this host is isolated, it
// also declares the row's member Down if the lease has expired, which is then the
// only evidence that the member has failed and not this host.
func (m *Membership) observeUnchangedRow(ctx context.Context, stored storage.Row, unchangedFor time.Duration) {
	if unchangedFor < staleTTLs*m.options.PresenceTTL || !m.ownLeaseValid(boottime.Now()) {
		return
	}
	if unchangedFor >= abandonedTTLs*m.options.PresenceTTL {
		ctx, cancel := context.WithTimeout(ctx, m.options.TableTimeout)
		defer cancel()
		m.deleteRow(ctx, stored.Key, stored.Version)
		delete(m.presence.observations, stored.Key)
	}
	m.mu.Lock()
	now := boottime.Now()
	r := m.store.member(strings.TrimPrefix(stored.Key, PresencePrefix))
	if r != nil && r.member.ID != m.self.ID && m.isolated(now) {
		member := r.member
		member.State = Down
		if member.version() > r.version {
			m.setMember(r, member, localOrigin, now)
		}
		m.publish()
	}
	m.mu.Unlock()
	m.notifier.flush()
}
