package gateway

import "sync"

// sizeGain is the weight of a new prompt in the mean sizes.
const sizeGain = 0.02

// promptSizes keeps the mean prompt sizes of a service and of its routes, in
// tokens, to tell the routes of long prompts.
type promptSizes struct {
	mu     sync.Mutex
	all    float64
	routes map[string]float64
}

// observe takes in a request's prompt and returns the mean size of its route's
// prompts against the service's; 1 while nothing is known.
func (p *promptSizes) observe(route string, tokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes == nil {
		p.routes = make(map[string]float64)
	}
	p.all = smooth(p.all, tokens)
	p.routes[route] = smooth(p.routes[route], tokens)
	if p.all == 0 {
		return 1
	}
	return p.routes[route] / p.all
}

// smooth moves a mean towards a value; a mean of 0 has seen none.
func smooth(mean float64, value int) float64 {
	if mean == 0 {
		return float64(value)
	}
	return mean + sizeGain*(float64(value)-mean)
}
