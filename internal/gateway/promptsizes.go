package gateway

import "sync"

// promptSizeGain is the weight of a new prompt in the mean prompt sizes.
const promptSizeGain = 0.02

// promptSizes holds the decayed mean prompt sizes of a service and of each of its routes, in
// tokens, by which routes with long prompts are identified.
type promptSizes struct {
	mu          sync.Mutex
	serviceMean float64
	routeMeans  map[string]float64
}

// observe records the size of a prompt and returns the mean size of the route's prompts divided by
// that of the service's prompts. It returns 1 while the service's mean is 0, which means that no
// prompt with a known size was observed.
func (p *promptSizes) observe(route string, tokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routeMeans == nil {
		p.routeMeans = make(map[string]float64)
	}
	p.serviceMean = movingMean(p.serviceMean, tokens)
	p.routeMeans[route] = movingMean(p.routeMeans[route], tokens)
	if p.serviceMean == 0 {
		return 1
	}
	return p.routeMeans[route] / p.serviceMean
}

// movingMean returns the decayed mean updated with the value. A mean of 0 means that no value was
// observed yet; the result is then the value itself.
func movingMean(mean float64, value int) float64 {
	if mean == 0 {
		return float64(value)
	}
	return mean + promptSizeGain*(float64(value)-mean)
}
