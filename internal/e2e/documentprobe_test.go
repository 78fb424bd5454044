package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Routes that only some documents have show which document a host has in force: a host that
// answers 404 for a route doesn't have the document that added it, or a later one.

const (
	// documentContactTime is the time after a disturbance of the host, or of the store, from which
	// the host counts as in touch.
	documentContactTime = 3 * time.Second
	// documentProbeInterval is the time between two requests of a host's probe.
	documentProbeInterval = 150 * time.Millisecond
)

// addedRoute is a route that a document added.
type addedRoute struct {
	name        string
	confirmedAt time.Time
	// bytes is the size in bytes of the document in an answer of the store.
	bytes int
}

// documentProbe requests added routes at hosts, and records the answers.
type documentProbe struct {
	system *gatewaySystem
	// routes are in the order of their confirmation. disturbances holds those of single hosts by
	// name, and those of all hosts under "".
	mu           sync.Mutex
	routes       []addedRoute
	answers      map[string][]probeAnswer
	disturbances map[string][]interval
	// restarts are the times at which a host had no process, by its name.
	restarts map[string][]interval
	// linkRates holds the rates of slow links to the store in bytes a second, by the host's name.
	linkRates map[string]int
}

// probeAnswer is the answer to a request for the route with the index.
type probeAnswer struct {
	route int
	gatewayAnswer
}

func newDocumentProbe(s *gatewaySystem) *documentProbe {
	return &documentProbe{system: s, answers: make(map[string][]probeAnswer), disturbances: make(map[string][]interval), restarts: make(map[string][]interval), linkRates: make(map[string]int)}
}

// confirmed records that a document with a new route was confirmed.
func (p *documentProbe) confirmed(route string, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes = append(p.routes, addedRoute{name: route, confirmedAt: time.Now(), bytes: bytes * 4 / 3})
}

// slowDown gives the host a slow link to the store.
func (p *documentProbe) slowDown(h *gatewayHost, rate int) {
	h.toStore.setRate(rate)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linkRates[h.name] = rate
}

// disturb records a disturbance of a host, or of all hosts if the name is "".
func (p *documentProbe) disturb(host string, from, to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbances[host] = append(p.disturbances[host], interval{from, to})
}

// restarted records that a host had no process at the given time.
func (p *documentProbe) restarted(host string, from, to time.Time) {
	p.disturb(host, from, to)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restarts[host] = append(p.restarts[host], interval{from, to})
}

// run sends requests to the host until stop is closed: for the newest route in half of the cases.
func (p *documentProbe) run(h *gatewayHost, seed uint64, stop chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 20))
	for {
		select {
		case <-stop:
			return
		case <-time.After(documentProbeInterval):
		}
		p.mu.Lock()
		n := len(p.routes)
		p.mu.Unlock()
		if n == 0 {
			continue
		}
		route := n - 1
		if random.IntN(2) == 0 {
			route = random.IntN(n)
		}
		a := probeAnswer{route, p.system.send(h, p.routeName(route), "key-a")}
		p.mu.Lock()
		p.answers[h.name] = append(p.answers[h.name], a)
		p.mu.Unlock()
	}
}

func (p *documentProbe) routeName(route int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routes[route].name
}

// violations returns the answers that show that a host had a document in force too late, or a
// former one again.
func (p *documentProbe) violations() (list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.system.gateways {
		newest, since := -1, time.Time{} // the newest document that the process is known to have in force
		for _, a := range p.answers[h.name] {
			if a.err != nil {
				continue
			}
			if overlaps(p.restarts[h.name], since, a.ended) {
				newest = -1
			}
			switch route := p.routes[a.route]; {
			case a.status == http.StatusOK && a.route > newest:
				newest, since = a.route, a.began
			case a.status != http.StatusNotFound:
			case a.route <= newest:
				list = append(list, fmt.Sprintf("%s went back: %s was refused, %s had been served", a.id, route.name, p.routes[newest].name))
			case a.began.Sub(route.confirmedAt) > documentApplyTime+p.transferTime(h, a.route) && p.inTouch(h.name, a):
				list = append(list, fmt.Sprintf("%s: %s isn't in force at %s %v after it was confirmed", a.id, route.name, h.name, a.began.Sub(route.confirmedAt)))
			}
		}
	}
	return list
}

// transferTime returns the time that the host's link needs for the document that added the route,
// beyond that of a fast link.
func (p *documentProbe) transferTime(h *gatewayHost, route int) time.Duration {
	rate := p.linkRates[h.name]
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(p.routes[route].bytes) / float64(rate) * float64(time.Second))
}

// inTouch reports whether neither the host nor the store was disturbed within documentContactTime
// before the request.
func (p *documentProbe) inTouch(host string, a probeAnswer) bool {
	from := a.began.Add(-documentContactTime)
	return !overlaps(p.disturbances[host], from, a.ended) && !overlaps(p.disturbances[""], from, a.ended)
}

func overlaps(intervals []interval, from, to time.Time) bool {
	for _, iv := range intervals {
		if iv.overlaps(from, to) {
			return true
		}
	}
	return false
}

// summary describes the answers by status, and the longest time after its confirmation at which a
// host in touch didn't have a document in force.
func (p *documentProbe) summary() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	byStatus := make(map[int]int)
	var longest time.Duration
	var latest string
	for host, list := range p.answers {
		for _, a := range list {
			byStatus[a.status]++
			route := p.routes[a.route]
			if delay := a.began.Sub(route.confirmedAt); a.status == http.StatusNotFound && delay > longest && p.inTouch(host, a) {
				longest, latest = delay, fmt.Sprintf("%s at %s", route.name, host)
			}
		}
	}
	return fmt.Sprintf("%d documents, answers for their routes by status: %v; longest delay: %s, %v", len(p.routes), byStatus, latest, longest)
}

// served returns the number of requests for added routes that were served.
func (p *documentProbe) served() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.answers {
		for _, a := range list {
			if a.status == http.StatusOK {
				n++
			}
		}
	}
	return n
}
