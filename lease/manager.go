package lease

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// DefaultMarginDivisor is the default divisor of the TTL that gives the safety
// margin, the end of the TTL that the holder doesn't use. The margin covers
// differences in clock rate.
const DefaultMarginDivisor = 10

// Options configures a Manager.
type Options struct {
	Table storage.Table
	// Clock must return monotonic times that include suspensions; default
	// boottime.Now.
	Clock storage.Clock
	// MarginDivisor divides the TTL to give the safety margin; default 10, which
	// makes a TTL of 10 s usable for 9 s.
	MarginDivisor int
}

// Manager acquires leases. It is safe for concurrent use. A process must use one
// Manager for as long as it contends, since the Manager records when it first
// read each row version.
type Manager struct {
	rows          rowStore
	clock         storage.Clock
	marginDivisor int

	mu       sync.Mutex
	observed map[string]observation
}

// observation is the time at which a row was first read with a version.
type observation struct {
	version uint64
	at      time.Time
}

// New returns a Manager that stores leases in options.Table.
func New(options Options) *Manager {
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

// Acquire acquires the name for holder if it has no row, was released, or its
// row was observed unchanged for its TTL. Otherwise it returns *HeldError without
// waiting, and the caller retries. Other errors wrap those of the table: the
// lease isn't held, but its row may block the name for one TTL.
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
// time is measured from after the first read of its version, and therefore from
// after the holder's write.
func (m *Manager) remainingWait(name string, found row) time.Duration {
	if found.version == 0 || found.Released {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	first := m.observed[name]
	if first.version != found.version {
		first = observation{version: found.version, at: now}
		m.observed[name] = first
	}
	return found.TTL - now.Sub(first.at)
}

// margin returns the part of ttl that a holder doesn't use.
func (m *Manager) margin(ttl time.Duration) time.Duration {
	return ttl / time.Duration(m.marginDivisor)
}

// elapsed returns the time since start. It includes the time for which the host
// was suspended and doesn't depend on the wall clock, which may be set back.
func elapsed(now, start time.Time) time.Duration { return now.Sub(start) }
