package deployment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/loadgen"
)

// cell holds the parameters of one load on a system.
type cell struct {
	label string
	// rate is the number of requests a second that start during duration.
	rate        float64
	duration    time.Duration
	mix         routeMix
	seed        int
	keepAnswers bool
}

// runCell runs a cell until its last request has ended. When ctx ends, no more
// requests start.
func (s *system) runCell(ctx context.Context, c cell) *cellStats {
	n := int(c.rate * c.duration.Seconds())
	requests := planRequests(n, c.seed, c.label, c.mix)
	hosts := drawHosts(n, c.seed)
	stats := newCellStats()
	stats.keepAnswers = c.keepAnswers
	loadgen.Run(ctx, loadgen.Options{
		Rate:     c.rate,
		Requests: n,
		Seed:     uint64(c.seed),
		Send: func(ctx context.Context, i, _ int) error {
			r := requests[i]
			// Requests that have started aren't cancelled with ctx.
			got := s.send(context.WithoutCancel(ctx), r, s.host(hosts[i]).CallerAddr())
			stats.add(r, got, s.freeSlotsFor(r))
			return nil
		},
	})
	return stats
}

// drawHosts draws the host of each of n requests.
func drawHosts(n, seed int) []int {
	rnd := rand.New(rand.NewPCG(uint64(seed), 2))
	draws := make([]int, n)
	for i := range draws {
		draws[i] = rnd.IntN(entryHostCount)
	}
	return draws
}

// freeSlotsFor returns the number of free slots for a request to a single
// model. It returns 0 for the cascade and the service, which depend on several
// models or on no engine.
func (s *system) freeSlotsFor(r request) int {
	if r.route != modelSmall && r.route != modelLarge {
		return 0
	}
	return s.freeSlots(r.route)
}
