package claim

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/storage"
)

// cancellation is the pending write that prevents the row write of a failed Acquire
// from taking effect later. An absent row doesn't show that the row write has failed,
// since it may still be in transit. The cancellation therefore writes a row in state
// released, with which the late row write conflicts.
type cancellation struct {
	// record is the row value that the failed Acquire wrote.
	record record
}

func (c *cancellation) write(ctx context.Context, s *Store) error {
	version, err := c.versionToReplace(ctx, s)
	if err != nil || version == nil {
		return err
	}
	_, err = s.rows.write(ctx, c.record.withState(released), *version)
	return err
}

// versionToReplace returns the version of the row that the cancellation replaces,
// 0 if the row is absent, or nil if no cancellation is needed.
func (c *cancellation) versionToReplace(ctx context.Context, s *Store) (*uint64, error) {
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
