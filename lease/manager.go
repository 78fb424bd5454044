package lease

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// DefaultMarginPart is the part of a lease's TTL that its holder doesn't use.
// It covers the clocks' different rates.
const DefaultMarginPart = 10

// Options sets up a Manager.
type Options struct {
	Table storage.Table
	// Clock must give monotonic times that count suspensions; default boottime.Now.
	Clock storage.Clock
	// MarginPart divides the TTL to give the safety margin; default 10, which
	// makes a TTL of 10 s usable for 9 s.
	MarginPart int
}

// Manager acquires leases. It is safe for concurrent use. It must live as long
// as its process contends, since it remembers when it first saw each row.
type Manager struct {
	rows       rows
	clock      storage.Clock
	marginPart int

	mu   sync.Mutex
	seen map[string]sighting
}

// sighting is the first time that a row was seen at a version.
type sighting struct {
	version uint64
	at      time.Time
}

// New returns a Manager.
func New(options Options) *Manager {
	if options.Clock == nil {
		options.Clock = boottime.Now
	}
	if options.MarginPart <= 0 {
		options.MarginPart = DefaultMarginPart
	}
	return &Manager{
		rows:       rows{table: options.Table},
		clock:      options.Clock,
		marginPart: options.MarginPart,
		seen:       make(map[string]sighting),
	}
}

// Acquire takes the name for holder if it is free, was released, or its row
// was seen unchanged for its TTL. Otherwise it returns *HeldError without
// waiting; the caller comes back until it succeeds. Other errors wrap those of
// the platform: the lease isn't held, though its row may say so for one TTL.
func (m *Manager) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (*Lease, error) {
	found, err := m.rows.read(ctx, name)
	if err != nil {
		return nil, err
	}
	if wait := m.wait(name, found); wait > 0 {
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
		manager:     m,
		name:        name,
		acquired:    m.clock(),
		predecessor: found.TTL,
		record:      rec,
		version:     version,
		start:       start,
		writing:     make(chan struct{}, 1),
	}
	if !l.Valid() {
		return nil, ErrLapsed
	}
	return l, nil
}

// wait returns how long the found row still keeps others out. The time runs
// from after the read that first saw it, hence from after the holder's write.
func (m *Manager) wait(name string, found row) time.Duration {
	if found.version == 0 || found.Released {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	first := m.seen[name]
	if first.version != found.version {
		first = sighting{version: found.version, at: now}
		m.seen[name] = first
	}
	return found.TTL - now.Sub(first.at)
}

// margin is the part of ttl that a holder leaves unused.
func (m *Manager) margin(ttl time.Duration) time.Duration {
	return ttl / time.Duration(m.marginPart)
}

// elapsed is the time since start. It counts the time for which the host was suspended,
// whatever the time of day says meanwhile: that may be set back.
func elapsed(now, start time.Time) time.Duration { return now.Sub(start) }
