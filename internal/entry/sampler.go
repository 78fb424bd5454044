package entry

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// samplerQueueSize is the maximum number of answers that wait for a rating.
	// Further answers aren't rated.
	samplerQueueSize = 64
	// samplerWorkers is the number of ratings that run concurrently. If it is too small,
	// too few answers are rated, which delays the roll-out of a good version.
	samplerWorkers = 8
	// samplerTimeout is the timeout of one rating.
	samplerTimeout = 5 * time.Second
)

// sampler rates answers of versions that roll in. It rates an answer only after the
// request has ended, so that a slow rater never delays an answer. If too many answers
// wait for a slow rater, further answers aren't rated.
type sampler struct {
	rater   storage.Rater
	rollout *rollout.Tracker
	queue   chan sample
}

type sample struct {
	model, version, prompt, answer string
}

func newSampler(rater storage.Rater, tracker *rollout.Tracker) *sampler {
	return &sampler{rater: rater, rollout: tracker, queue: make(chan sample, samplerQueueSize)}
}

func (s *sampler) enqueue(model, version, prompt, answer string) {
	select {
	case s.queue <- sample{model, version, prompt, answer}:
	default:
	}
}

// run rates answers until ctx ends.
func (s *sampler) run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range samplerWorkers {
		workers.Go(func() { s.runWorker(ctx) })
	}
	workers.Wait()
	return ctx.Err()
}

func (s *sampler) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-s.queue:
			s.rate(ctx, next)
		}
	}
}

func (s *sampler) rate(ctx context.Context, queued sample) {
	ctx, cancel := context.WithTimeout(ctx, samplerTimeout)
	defer cancel()
	rating, err := s.rater.Rate(ctx, queued.model, queued.version, queued.prompt, queued.answer)
	if err != nil {
		return
	}
	s.rollout.Rate(queued.model, queued.version, rating.Score)
}
