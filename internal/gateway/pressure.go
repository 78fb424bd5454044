package gateway

import (
	"sync"
	"time"
)

const (
	// pressureGain is the weight of a new answer in a service's pressure.
	pressureGain = 0.05
	// pressureFrom is the pressure from which the threshold falls, in units of
	// confidence by pressureSlope for each unit above, twice that where prompts are of the mean size
	// and more where they are longer. Below it the best model's first events come
	// early enough; far above it each further request for that model makes another one
	// late, in proportion to its prompt.
	pressureFrom  = 0.2
	pressureSlope = 25
	// lowestThreshold is the part of the threshold that always stays.
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

// threshold is the confidence from which a smaller model's answer is passed on, under
// the pressure, on a route whose prompts have a size relative to the service's.
func (p *pressure) threshold(usual int, relativePrompt float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := float64(usual) - pressureSlope*(1+relativePrompt)*max(0, p.mean-pressureFrom)
	return int(max(lowestThreshold*float64(usual), t))
}
