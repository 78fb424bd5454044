package claim

import (
	"context"
	"errors"

	"github.com/quetzalweir/quetzalweir/storage"
)

// abandon makes sure that a claim which was given up can't take effect later.
// It isn't enough to find the row absent, since the write may be on its way:
// a released row is written in its place, on which the late write fails.
type abandon struct {
	// record is the claim that was given up.
	record record
}

func (j *abandon) write(ctx context.Context, s *Store) error {
	version, err := j.current(ctx, s)
	if err != nil || version == nil {
		return err
	}
	_, err = s.rows.write(ctx, j.record.with(released), *version)
	return err
}

// current returns the version to write on; nil says that nothing is needed.
func (j *abandon) current(ctx context.Context, s *Store) (*uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ReadTimeout)
	defer cancel()
	found, err := s.rows.read(ctx, j.record.Key)
	if errors.Is(err, storage.ErrNotFound) {
		return new(uint64), nil
	}
	if err != nil {
		return nil, err
	}
	if found.Token != j.record.Token || found.State != inFlight {
		return nil, nil
	}
	return &found.version, nil
}

func (j *abandon) done(*Store)   {}
func (j *abandon) size() int     { return 0 }
func (j *abandon) shrink(*Store) {}
