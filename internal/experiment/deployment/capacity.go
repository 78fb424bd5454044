package deployment

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/loadgen"
)

const (
	// capacityCallers is twice the number of engine slots, which keeps all
	// slots busy and some requests waiting.
	capacityCallers = 2 * engineCapacity * (smallEngineCount + largeEngineCount)
	// capacityWarmUp precedes the measurement, which lasts capacityDuration.
	capacityWarmUp   = time.Second
	capacityDuration = 3 * time.Second
	// capacityRequests is the number of requests planned for each caller.
	capacityRequests = 200
)

// measureCapacity returns how many requests a second of usualMix the system
// answers while each caller sends one request after the other, with deadlines
// too long to matter.
func (s *system) measureCapacity(ctx context.Context) float64 {
	var completed atomic.Int64
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	for i := range capacityCallers {
		requests := planRequests(capacityRequests, i, "capacity", usualMix)
		wait.Go(func() { s.sendSequentially(ctx, requests, i, &completed) })
	}
	time.Sleep(capacityWarmUp)
	before := completed.Load()
	started := time.Now()
	time.Sleep(capacityDuration)
	n := completed.Load() - before
	took := time.Since(started)
	cancel()
	wait.Wait()
	return float64(n) / took.Seconds()
}

func (s *system) sendSequentially(ctx context.Context, requests []request, caller int, completed *atomic.Int64) {
	for i, r := range requests {
		if ctx.Err() != nil {
			return
		}
		r.class.deadline = time.Minute
		got := s.send(loadgen.WithIntendedStart(ctx, time.Now()), r, s.host(caller+i).CallerAddr())
		if got.complete {
			completed.Add(1)
		}
	}
}
