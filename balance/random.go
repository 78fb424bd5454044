package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

const randomStreams = 16

// randomSources is a set of seeded random sources, each with its own lock, used
// in turn to reduce contention. A single goroutine draws the same numbers in
// each run.
type randomSources struct {
	next    atomic.Uint64
	streams [randomStreams]struct {
		mu  sync.Mutex
		rnd *rand.Rand
	}
}

func (r *randomSources) seed(seed uint64) {
	for i := range r.streams {
		r.streams[i].rnd = rand.New(rand.NewPCG(seed, uint64(i)))
	}
}

// use calls f with exclusive access to one of the sources.
func (r *randomSources) use(f func(rnd *rand.Rand)) {
	s := &r.streams[r.next.Add(1)%randomStreams]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.rnd)
}
