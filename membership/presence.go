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

// PresencePrefix starts the keys of the presence rows.
const PresencePrefix = "presence/"

// presenceRow is the value of a presence row.
type presenceRow struct {
	Member Member `json:"member"`
	// Instance differs between processes.
	Instance string `json:"instance"`
	// RenewedAt is in Unix milliseconds, by the writer's clock; it is a hint.
	RenewedAt int64 `json:"renewed_at"`
}

// presence is the state of this host's row and of the rows it has seen.
type presence struct {
	instance string

	mu sync.Mutex
	// version is that of this host's row when last written or read; zero if
	// it doesn't exist. known says that it is current, as far as can be told.
	version uint64
	known   bool
	// written is when a row of this process was last written; zero if never.
	written   time.Time
	withdrawn bool

	// seen is used by the discovery loop alone.
	seen map[string]sighting
}

func newPresence() *presence {
	return &presence{instance: uuid.NewString(), seen: make(map[string]sighting)}
}

// renewLoop keeps the presence row, whatever the table does.
func (m *Membership) renewLoop(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		m.pause()
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

// renew writes the row once, on condition that nobody else did. After a
// conflict or a lost answer the row is read before the next attempt.
func (m *Membership) renew(ctx context.Context) error {
	p := m.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.withdrawn {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.TableTimeout)
	defer cancel()
	if !p.known {
		if err := m.readOwn(ctx); err != nil {
			return err
		}
	}
	version, err := m.writeOwn(ctx)
	if errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrUnknown) {
		if err := m.readOwn(ctx); err != nil {
			return err
		}
		version, err = m.writeOwn(ctx)
	}
	if err != nil {
		p.known = false
		return err
	}
	p.version, p.known, p.written = version, true, boottime.Now()
	return nil
}

func (m *Membership) ownKey() string { return PresencePrefix + m.options.Self.ID }

func (m *Membership) writeOwn(ctx context.Context) (uint64, error) {
	row := presenceRow{Member: m.Self(), Instance: m.presence.instance, RenewedAt: time.Now().UnixMilli()}
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

// readOwn reads this host's row. A row of an earlier process with a higher
// incarnation raises this one's; a row of another process that appears after
// this one wrote its own means that this one is superseded.
func (m *Membership) readOwn(ctx context.Context) error {
	p := m.presence
	stored, err := m.options.Table.Get(ctx, m.ownKey())
	if errors.Is(err, storage.ErrNotFound) {
		p.version, p.known = 0, true
		return nil
	}
	if err != nil {
		return fmt.Errorf("membership: read presence: %w", err)
	}
	p.version, p.known = stored.Version, true
	var row presenceRow
	if json.Unmarshal(stored.Value, &row) != nil || row.Instance == p.instance {
		return nil
	}
	if !p.written.IsZero() {
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

// withdrawPresence deletes the row, if it is still this process's. Where that
// fails the row lapses.
func (m *Membership) withdrawPresence(ctx context.Context) {
	p := m.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdrawn = true
	if m.options.Table == nil || !p.known || p.version == 0 {
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
