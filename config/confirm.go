package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// confirmation is the value of the row in which a host records which manifest it has in
// force.
type confirmation struct {
	Epoch  uint64    `json:"epoch"`
	Digest string    `json:"digest"`
	At     time.Time `json:"at"`
}

// ConfirmationReport lists which hosts have confirmed a head.
type ConfirmationReport struct {
	// Confirmed hosts had the head or a later one in force when they wrote their
	// row. A host never returns to an earlier head.
	Confirmed []string
	// Unconfirmed hosts have written no such row. They may have the head in force
	// nevertheless.
	Unconfirmed []string
}

const (
	confirmAttempts = 3
	confirmPageSize = 500
)

// Confirm records in the host's row that host has put head in force. The row's epoch
// never decreases: Confirm doesn't change a row with a later head, and a late write of an
// older head fails because the row's version has changed.
func (s *Store) Confirm(ctx context.Context, host string, head Head) error {
	var err error
	for attempt := range confirmAttempts {
		var done bool
		if done, err = s.tryConfirm(ctx, host, head); done {
			return nil
		}
		if backOff(ctx, attempt) != nil {
			break
		}
	}
	return fmt.Errorf("config: confirm epoch %d: %w", head.Epoch, err)
}

func (s *Store) tryConfirm(ctx context.Context, host string, head Head) (bool, error) {
	key := confirmPrefix + host
	old, version, err := s.readConfirmation(ctx, key)
	if err != nil {
		return false, err
	}
	if old.Epoch > head.Epoch {
		return true, nil
	}
	row := encodeRow(confirmation{Epoch: head.Epoch, Digest: head.Digest, At: wallTime()})
	_, err = s.table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: row}},
	})
	return err == nil, err
}

func (s *Store) readConfirmation(ctx context.Context, key string) (confirmation, uint64, error) {
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return confirmation{}, 0, nil
	}
	if err != nil {
		return confirmation{}, 0, err
	}
	c, err := decodeConfirmation(row)
	return c, row.Version, err
}

func decodeConfirmation(row storage.Row) (confirmation, error) {
	var c confirmation
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return confirmation{}, fmt.Errorf("%w: row %s: %w", ErrCorrupt, row.Key, err)
	}
	return c, nil
}

// ReportConfirmations returns which of the hosts have confirmed head or a later
// one, sorted by name.
func (s *Store) ReportConfirmations(ctx context.Context, head Head, hosts []string) (ConfirmationReport, error) {
	epochs := map[string]uint64{}
	err := s.forEachConfirmation(ctx, func(row storage.Row, c confirmation) error {
		epochs[strings.TrimPrefix(row.Key, confirmPrefix)] = c.Epoch
		return nil
	})
	if err != nil {
		return ConfirmationReport{}, err
	}
	var report ConfirmationReport
	for _, host := range slices.Sorted(slices.Values(hosts)) {
		if epochs[host] >= head.Epoch {
			report.Confirmed = append(report.Confirmed, host)
		} else {
			report.Unconfirmed = append(report.Unconfirmed, host)
		}
	}
	return report, nil
}

func (s *Store) forEachConfirmation(ctx context.Context, visit func(storage.Row, confirmation) error) error {
	after := ""
	for {
		rows, err := s.table.List(ctx, confirmPrefix, after, confirmPageSize)
		if err != nil {
			return fmt.Errorf("config: list confirmations: %w", err)
		}
		for _, row := range rows {
			c, err := decodeConfirmation(row)
			if err != nil {
				return err
			}
			if err := visit(row, c); err != nil {
				return err
			}
		}
		if len(rows) < confirmPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// PruneConfirmations deletes the rows that were last written earlier than before.
// Running hosts rewrite their row every hour, so rows older than a day can safely
// be deleted.
func (s *Store) PruneConfirmations(ctx context.Context, before time.Time) error {
	return s.forEachConfirmation(ctx, func(row storage.Row, c confirmation) error {
		if !c.At.Before(before) {
			return nil
		}
		_, err := s.table.Commit(ctx, storage.Txn{
			Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
			Deletes:    []string{row.Key},
		})
		if errors.Is(err, storage.ErrConflict) {
			return nil // the host has rewritten the row
		}
		return err
	})
}
