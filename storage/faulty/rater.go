package faulty

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.Rater = (*Rater)(nil)

// Rater passes calls to an inner rater, subject to faults. It is safe for
// concurrent use.
type Rater struct {
	inner storage.Rater

	mu    sync.Mutex
	down  bool
	delay time.Duration
}

// NewRater returns a rater without faults over inner.
func NewRater(inner storage.Rater) *Rater {
	return &Rater{inner: inner}
}

// SetDown starts or ends an outage: every call returns storage.ErrUnavailable.
func (r *Rater) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// SetDelay makes each call take d longer; zero ends it.
func (r *Rater) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Rate implements storage.Rater.
func (r *Rater) Rate(ctx context.Context, model, version, prompt, answer string) (storage.Rating, error) {
	down, delay := r.faults()
	if down {
		return storage.Rating{}, errDown()
	}
	if err := sleep(ctx, delay); err != nil {
		return storage.Rating{}, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return r.inner.Rate(ctx, model, version, prompt, answer)
}

func (r *Rater) faults() (down bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down, r.delay
}
