package deployment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/loadgen"
)

// cell is one load on a system.
type cell struct {
	label string
	// rate is in requests a second, for the time that requests start.
	rate float64
	time time.Duration
	mix  mix
	seed int
	keep bool
}

// load runs a cell to the end of its last request. When ctx ends no more
// requests start.
func (s *system) load(ctx context.Context, c cell) *tally {
	n := int(c.rate * c.time.Seconds())
	requests := plan(n, c.seed, c.label, c.mix)
	hosts := drawHosts(n, c.seed)
	t := newTally()
	t.keep = c.keep
	loadgen.Run(ctx, loadgen.Options{
		Rate:     c.rate,
		Requests: n,
		Seed:     uint64(c.seed),
		Send: func(ctx context.Context, i, _ int) error {
			r := requests[i]
			// A request that started goes on to its own end.
			got := s.send(context.WithoutCancel(ctx), r, s.host(hosts[i]).CallerAddr())
			t.add(r, got, s.idleFor(r))
			return nil
		},
	})
	return t
}

// drawHosts draws the host that each request goes to.
func drawHosts(n, seed int) []int {
	rnd := rand.New(rand.NewPCG(uint64(seed), 2))
	draws := make([]int, n)
	for i := range draws {
		draws[i] = rnd.IntN(entryHosts)
	}
	return draws
}

// idleFor counts free places for a request of one model; other routes need
// more than one.
func (s *system) idleFor(r request) int {
	if r.route != modelSmall && r.route != modelLarge {
		return 0
	}
	return s.idle(r.route)
}
