package lease

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// DefaultMarginDivisor is the default of Options.MarginDivisor. The safety margin is
// the last part of the TTL, in which the holder no longer uses the lease. It covers
// differences between the clock rates of hosts.
const DefaultMarginDivisor = 10

// Options configures a Manager.
type Options struct {
	Table storage.Table
	// Clock must return monotonic times that also advance while the host is
	// suspended; default boottime.Now.
	Clock storage.Clock
	// MarginDivisor is the ratio of the TTL to the safety margin; default 10, so
	// that a lease with a TTL of 10 s is valid for 9 s.
	MarginDivisor int
}

// Manager acquires leases. It is safe for concurrent use. A process must use the
// same Manager for all its attempts to acquire a name, since the Manager records
// when it first read the current version of the name's row.
type Manager struct {
	rows          rowStore
	clock         storage.Clock
	marginDivisor int

	mu       sync.Mutex
	observed map[string]observation
}

// observation is a row's version and the time at which this version was first read. A
// Manager keeps one observation per lease name, that of the row's current version.
type observation struct {
	version     uint64
	firstReadAt time.Time
}

// NewManager returns a Manager that stores leases in options.Table.
func NewManager(options Options) *Manager {
	if options.Clock == nil {
		options.Clock = boottime.Now
	}
	if options.MarginDivisor <= 0 {
		options.MarginDivisor = DefaultMarginDivisor
	}
	return &Manager{
		rows:          rowStore{table: options.Table},
		clock:         options.Clock,
		marginDivisor: options.MarginDivisor,
		observed:      make(map[string]observation),
	}
}

// Acquire acquires the name for holder if the name has no row, if its lease was
// released, or if this Manager has observed the row unchanged for the row's TTL.
// Otherwise it returns *HeldError without waiting, and the caller retries. After any
// other error, which is ErrLapsed or an error of the table, the lease isn't held,
// but its row may block the name for one TTL.
func (m *Manager) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (*Lease, error) {
	found, err := m.rows.read(ctx, name)
	if err != nil {
		return nil, err
	}
	if wait := m.remainingWait(name, found); wait > 0 {
		return nil, &HeldError{Holder: found.Holder, Fencing: found.Fencing, Wait: wait}
	}
	rec := record{
		Holder:  holder,
		Token:   uuid.NewString(),
		Fencing: found.Fencing + 1,
		TTL:     ttl,
	}
	start := m.clock()
	version, err := m.rows.write(ctx, name, rec, found.version)
	if err != nil {
		return nil, err
	}
	l := &Lease{
		manager:        m,
		name:           name,
		acquiredAt:     m.clock(),
		predecessorTTL: found.TTL,
		record:         rec,
		version:        version,
		renewedAt:      start,
		writeSlot:      make(chan struct{}, 1),
	}
	if !l.Valid() {
		return nil, ErrLapsed
	}
	return l, nil
}

// remainingWait returns how long the row that was read still blocks the name. The
// TTL is measured from the end of the first read that returned this version of the
// row, and therefore from after the holder's write.
func (m *Manager) remainingWait(name string, found row) time.Duration {
	if found.version == 0 || found.Released {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	first := m.observed[name]
	if first.version != found.version {
		first = observation{version: found.version, firstReadAt: now}
		m.observed[name] = first
	}
	return found.TTL - now.Sub(first.firstReadAt)
}

// margin returns the safety margin of a lease with the TTL.
func (m *Manager) margin(ttl time.Duration) time.Duration {
	return ttl / time.Duration(m.marginDivisor)
}

// elapsed returns the time from start to now. With the default clock it includes
// the time for which the host was suspended, and it doesn't depend on the wall
// clock, which may be set back.
func elapsed(now, start time.Time) time.Duration { return now.Sub(start) }
