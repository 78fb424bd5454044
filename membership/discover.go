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
	// presencePage is the number of rows read in one call.
	presencePage = 256
	// discoverPerRow is the least time between listings for each row: at about
	// 250 bytes a row a host reads at most 500 bytes a second.
	discoverPerRow = 500 * time.Millisecond
	// abandonedTTLs is the number of TTLs without renewal after which any host
	// removes a row.
	abandonedTTLs = 10
	// staleTTLs is the age of a row, by the wall clock, from which a host that
	// sees it for the first time doesn't take it for a live member. Clocks may
	// differ by a TTL.
	staleTTLs = 2
)

// sighting is when a version of a row was first seen, by this host's clock.
type sighting struct {
	version uint64
	since   time.Time
}

// discoverLoop looks for hosts in the table.
func (m *Membership) discoverLoop(ctx context.Context) {
	for {
		m.pause()
		m.discover(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.jitter(m.discoverWait())):
		}
	}
}

// discoverWait returns the time to the next listing. It grows with the number
// of rows, which bounds what a host reads, except where the rows are needed:
// while this host is alone or isolated.
func (m *Membership) discoverWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.options
	switch {
	case len(m.rings.all) == 0:
		return min(o.DiscoverInterval, o.Interval)
	case m.isolated(boottime.Now()):
		return o.DiscoverInterval
	default:
		return max(o.DiscoverInterval, time.Duration(len(m.rings.all))*discoverPerRow)
	}
}

// discover reads all presence rows, up to the first failure.
func (m *Membership) discover(ctx context.Context) {
	after := ""
	for {
		// The time before the call: an answer may have waited in a freeze.
		asked := boottime.Now()
		page, err := m.listPage(ctx, after)
		if err != nil {
			return
		}
		for _, row := range page {
			m.sight(ctx, row, asked)
		}
		if len(page) < presencePage {
			return
		}
		after = page[len(page)-1].Key
	}
}

func (m *Membership) listPage(ctx context.Context, after string) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.TableTimeout)
	defer cancel()
	return m.options.Table.List(ctx, PresencePrefix, after, presencePage)
}

// sight takes in a row: a renewed one names a live host, one that isn't
// renewed for long is removed.
func (m *Membership) sight(ctx context.Context, stored storage.Row, now time.Time) {
	p := m.presence
	before, known := p.seen[stored.Key]
	if known && before.version == stored.Version {
		m.sightUnchanged(ctx, stored, now.Sub(before.since))
		return
	}
	p.seen[stored.Key] = sighting{version: stored.Version, since: now}
	var row presenceRow
	if json.Unmarshal(stored.Value, &row) != nil || PresencePrefix+row.Member.ID != stored.Key {
		return
	}
	age := time.Since(time.UnixMilli(row.RenewedAt)) // by the time of day, as it was written
	if !known && age > staleTTLs*m.options.PresenceTTL {
		return
	}
	if row.Member.ID == m.options.Self.ID || !row.Member.alive() {
		return
	}
	m.mu.Lock()
	m.mergeMember(row.Member, origin{bulk: !m.joined}, now)
	m.publish()
	m.mu.Unlock()
	m.notifier.flush()
}

// holdsLease says that this host's own row was renewed within its TTL, so
// that others could have renewed theirs.
func (m *Membership) holdsLease(now time.Time) bool {
	p := m.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.written.IsZero() && now.Sub(p.written) < m.options.PresenceTTL
}

// sightUnchanged handles a row that wasn't renewed for a time, by this host's
// own clock. While nobody is heard, a lapsed lease is the only sign that the
// others have failed rather than this host.
func (m *Membership) sightUnchanged(ctx context.Context, stored storage.Row, unchanged time.Duration) {
	if unchanged < staleTTLs*m.options.PresenceTTL || !m.holdsLease(boottime.Now()) {
		return
	}
	if unchanged >= abandonedTTLs*m.options.PresenceTTL {
		ctx, cancel := context.WithTimeout(ctx, m.options.TableTimeout)
		defer cancel()
		m.deleteRow(ctx, stored.Key, stored.Version)
		delete(m.presence.seen, stored.Key)
	}
	m.mu.Lock()
	now := boottime.Now()
	r := m.store.member(strings.TrimPrefix(stored.Key, PresencePrefix))
	if r != nil && r.member.ID != m.self.ID && m.isolated(now) {
		member := r.member
		member.State = Down
		if member.version() > r.version {
			m.setMember(r, member, own, now)
		}
		m.publish()
	}
	m.mu.Unlock()
	m.notifier.flush()
}
