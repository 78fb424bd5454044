package gateway

import "sync"

// sizeGain is the weight of a new prompt in the mean sizes.
const sizeGain = 0.02

// promptSizes keeps the mean prompt sizes of a service and its routes, in tokens, to identify the
// routes with long prompts.
type promptSizes struct {
	mu     sync.Mutex
	all    float64
	routes map[string]float64
}

// observe records a prompt's size and returns the mean size of its route's prompts divided by that
// of the service; 1 while nothing is known.
func (p *promptSizes) observe(route string, tokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes == nil {
		p.routes = make(map[string]float64)
	}
	p.all = movingMean(p.all, tokens)
	p.routes[route] = movingMean(p.routes[route], tokens)
	if p.all == 0 {
		return 1
	}
	return p.routes[route] / p.all
}

// movingMean moves a mean towards a value. A mean of 0 has no values yet.
func movingMean(mean float64, value int) float64 {
	if mean == 0 {
		return float64(value)
	}
	return mean + sizeGain*(float64(value)-mean)
}
