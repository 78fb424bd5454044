package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

const randomSourceCount = 16

// randomSources is a set of seeded random sources, each with its own lock. They
// are used in turn, which reduces contention. If only one goroutine uses them, it
// draws the same numbers in each run with the same seed.
type randomSources struct {
	next    atomic.Uint64
	sources [randomSourceCount]struct {
		mu  sync.Mutex
		rnd *rand.Rand
	}
}

func (r *randomSources) seed(seed uint64) {
	for i := range r.sources {
		r.sources[i].rnd = rand.New(rand.NewPCG(seed, uint64(i)))
	}
}

// withSource calls f with exclusive access to one of the sources.
func (r *randomSources) withSource(f func(rnd *rand.Rand)) {
	s := &r.sources[r.next.Add(1)%randomSourceCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.rnd)
}
