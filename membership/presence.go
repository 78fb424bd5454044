package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

// PresencePrefix is the key prefix of the presence rows.
const PresencePrefix = "presence/"

// presenceRow is the value of a presence row.
type presenceRow struct {
	Member Member `json:"member"`
	// Instance identifies the process.
	Instance string `json:"instance"`
	// RenewedAt is the time of the last renewal in Unix milliseconds, by the
	// writer's clock. Hosts use it only to ignore stale rows when they first read
	// them.
	RenewedAt int64 `json:"renewed_at"`
}

// presence holds the state of this host's presence row, and what this host has
// observed of the rows of all hosts.
type presence struct {
	instanceID string

	mu sync.Mutex
	// version is the version of this host's row when it was last written or
	// read. It is zero if the row didn't exist. versionKnown is false before
	// the first read, and after a failed write, which may have changed the row.
	version      uint64
	versionKnown bool
	// renewedAt is when this process last wrote the row. It is zero if never.
	renewedAt time.Time
	withdrawn bool

	// observations holds the observations of rows by key. Only the discovery loop
	// uses it.
	observations map[string]rowObservation
}

func newPresence() *presence {
	return &presence{instanceID: uuid.NewString(), observations: make(map[string]rowObservation)}
}

// renewLoop renews the presence row periodically. It continues after failures of
// the table and ends only when ctx ends or this process is superseded.
func (m *Membership) renewLoop(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		m.blockHook()
		if err := m.renew(ctx); errors.Is(err, ErrSuperseded) {
			cancel(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.jitter(m.options.RenewInterval)):
		}
	}
}

// renew writes the row on condition that its version hasn't changed. After a
// conflict or a lost answer of the table it reads the row and repeats the write
// once.
func (m *Membership) renew(ctx context.Context) error {
	p := m.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.withdrawn {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.TableTimeout)
	defer cancel()
	if !p.versionKnown {
		if err := m.readOwnRow(ctx); err != nil {
			return err
		}
	}
	version, err := m.writeOwnRow(ctx)
	if errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrUnknown) {
		if err := m.readOwnRow(ctx); err != nil {
			return err
		}
		version, err = m.writeOwnRow(ctx)
	}
	if err != nil {
		p.versionKnown = false
		return err
	}
	p.version, p.versionKnown, p.renewedAt = version, true, boottime.Now()
	return nil
}

func (m *Membership) ownKey() string { return PresencePrefix + m.options.Self.ID }

func (m *Membership) writeOwnRow(ctx context.Context) (uint64, error) {
	row := presenceRow{Member: m.Self(), Instance: m.presence.instanceID, RenewedAt: time.Now().UnixMilli()}
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fmt.Errorf("membership: encode presence: %w", err)
	}
	key := m.ownKey()
	version, err := m.options.Table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: m.presence.version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, fmt.Errorf("membership: write presence: %w", err)
	}
	return version, nil
}

// readOwnRow reads this host's row. If the row was written by an earlier process
// and its incarnation isn't lower than that of this process, this process announces
// a higher one. If this process has written the row before and it now belongs to
// another process, readOwnRow returns ErrSuperseded.
func (m *Membership) readOwnRow(ctx context.Context) error {
	p := m.presence
	stored, err := m.options.Table.Get(ctx, m.ownKey())
	if errors.Is(err, storage.ErrNotFound) {
		p.version, p.versionKnown = 0, true
		return nil
	}
	if err != nil {
		return fmt.Errorf("membership: read presence: %w", err)
	}
	p.version, p.versionKnown = stored.Version, true
	var row presenceRow
	if json.Unmarshal(stored.Value, &row) != nil || row.Instance == p.instanceID {
		return nil
	}
	if !p.renewedAt.IsZero() {
		return ErrSuperseded
	}
	m.mu.Lock()
	if row.Member.Incarnation >= m.self.Incarnation {
		m.announce(row.Member.Incarnation+1, boottime.Now())
	}
	m.mu.Unlock()
	m.notifier.flush()
	return nil
}

// withdrawPresence ends the renewal of the row, and deletes the row if it still
// belongs to this process. If the deletion fails, the lease expires.
func (m *Membership) withdrawPresence(ctx context.Context) {
	p := m.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdrawn = true
	if m.options.Table == nil || !p.versionKnown || p.version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.TableTimeout)
	defer cancel()
	m.deleteRow(ctx, m.ownKey(), p.version)
}

func (m *Membership) deleteRow(ctx context.Context, key string, version uint64) {
	m.options.Table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Deletes:    []string{key},
	})
}
