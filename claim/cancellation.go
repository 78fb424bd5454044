package claim

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/storage"
)

// cancellation is the pending write that prevents a failed claim from taking
// effect later. It isn't enough to find the row absent, since the write of the
// claim may still be in transit. Therefore a released row is written, with which
// the late write conflicts.
type cancellation struct {
	// record is the row of the failed claim.
	record record
}

func (c *cancellation) write(ctx context.Context, s *Store) error {
	version, err := c.currentVersion(ctx, s)
	if err != nil || version == nil {
		return err
	}
	_, err = s.rows.write(ctx, c.record.with(released), *version)
	return err
}

// currentVersion returns the version to replace, or nil if no write is needed.
func (c *cancellation) currentVersion(ctx context.Context, s *Store) (*uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ReadTimeout)
	defer cancel()
	found, err := s.rows.read(ctx, c.record.Key)
	if errors.Is(err, storage.ErrNotFound) {
		return new(uint64), nil
	}
	if err != nil {
		return nil, err
	}
	if found.Token != c.record.Token || found.State != inFlight {
		return nil, nil
	}
	return &found.version, nil
}

func (c *cancellation) complete(*Store)   {}
func (c *cancellation) resultBytes() int  { return 0 }
func (c *cancellation) dropResult(*Store) {}
