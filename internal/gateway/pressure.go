package gateway

import (
	"sync"
	"time"
)

const (
	// pressureGain is the weight of a new answer in a service's pressure.
	pressureGain = 0.05
	// pressureFrom is the pressure from which the threshold of confidence falls,
	// by pressureSlope for each unit above; lowestThreshold is the part of it that
	// always stays. Below it the best model's first events come early enough; far
	// above it each further request for that model makes another one late.
	pressureFrom    = 0.3
	pressureSlope   = 2
	lowestThreshold = 0.3
)

// pressure is the decayed mean time to the first event of a service's best
// models, as a part of their routes' targets. It tells how near the upstreams
// are to their capacity without asking them.
type pressure struct {
	mu   sync.Mutex
	mean float64
}

// observe takes in an answer of a best model.
func (p *pressure) observe(first, target time.Duration) {
	if target <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mean += pressureGain * (float64(first)/float64(target) - p.mean)
}

// lower is the threshold of confidence under the pressure.
func (p *pressure) lower(threshold int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	part := min(1, max(lowestThreshold, 1-pressureSlope*(p.mean-pressureFrom)))
	return int(part * float64(threshold))
}
