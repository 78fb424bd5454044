package entry

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// samplerQueue is how many answers wait for a rating; more are dropped.
	samplerQueue = 64
	// samplerWorkers is how many ratings are asked for at once. Too few ratings
	// hold a good version back.
	samplerWorkers = 8
	// samplerTimeout bounds one rating.
	samplerTimeout = 5 * time.Second
)

// sampler rates answers of versions that roll in, beside the request path. A
// slow rater loses samples and never delays an answer.
type sampler struct {
	rater   storage.Rater
	rollout *rollout.Tracker
	queue   chan sample
}

type sample struct {
	model, version, prompt, answer string
}

func newSampler(rater storage.Rater, tracker *rollout.Tracker) *sampler {
	return &sampler{rater: rater, rollout: tracker, queue: make(chan sample, samplerQueue)}
}

func (s *sampler) offer(model, version, prompt, answer string) {
	select {
	case s.queue <- sample{model, version, prompt, answer}:
	default:
	}
}

// run rates until ctx ends.
func (s *sampler) run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range samplerWorkers {
		workers.Go(func() { s.work(ctx) })
	}
	workers.Wait()
	return ctx.Err()
}

func (s *sampler) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-s.queue:
			s.rate(ctx, next)
		}
	}
}

func (s *sampler) rate(ctx context.Context, a sample) {
	ctx, cancel := context.WithTimeout(ctx, samplerTimeout)
	defer cancel()
	rating, err := s.rater.Rate(ctx, a.model, a.version, a.prompt, a.answer)
	if err != nil {
		return
	}
	s.rollout.Rate(a.model, a.version, rating.Score)
}
