package deployment

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/loadgen"
)

const (
	// capacityCallers keep all places of the engines busy, and some waiting.
	capacityCallers = 2 * engineCapacity * (smallEngines + largeEngines)
	// capacityWarmUp isn't counted, capacityTime is.
	capacityWarmUp = time.Second
	capacityTime   = 3 * time.Second
	// capacityPlan is how many requests each caller has ready.
	capacityPlan = 200
)

// capacity measures how many requests a second of the usual mix the system
// answers while callers each send one after the other, without deadlines.
func (s *system) capacity(ctx context.Context) float64 {
	var done atomic.Int64
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	for i := range capacityCallers {
		requests := plan(capacityPlan, i, "capacity", usualMix)
		wait.Go(func() { s.askInTurn(ctx, requests, i, &done) })
	}
	time.Sleep(capacityWarmUp)
	before := done.Load()
	started := time.Now()
	time.Sleep(capacityTime)
	n := done.Load() - before
	took := time.Since(started)
	cancel()
	wait.Wait()
	return float64(n) / took.Seconds()
}

func (s *system) askInTurn(ctx context.Context, requests []request, caller int, done *atomic.Int64) {
	for i, r := range requests {
		if ctx.Err() != nil {
			return
		}
		r.class.deadline = time.Minute
		got := s.send(loadgen.WithIntendedStart(ctx, time.Now()), r, s.host(caller+i).CallerAddr())
		if got.whole {
			done.Add(1)
		}
	}
}
