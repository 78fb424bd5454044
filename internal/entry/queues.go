package entry

import (
	"slices"
	"strings"
	"sync"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/storage"
)

// queues holds an admission queue for each pool. A pool consists of the engines that
// serve a model or the upstreams of a service. Requests for a full pool don't block
// those for other pools. max is the maximum capacity of a queue, and maxQueue is the
// maximum number of requests that wait in a queue.
type queues struct {
	max      int
	maxQueue int
	// queueFactor is Settings.QueueFactor. Its default is above 1, since hosts
	// don't receive equal parts of the traffic and engines have queues of their
	// own. It must not be much larger than 1, since a request in an engine's queue can
	// no longer be refused by this host or overtaken by a request of higher priority.
	queueFactor int
	mu          sync.RWMutex
	classes     []admission.ClassOptions
	byPool      map[string]*admission.Queue
	// fleet holds the upstreams and the number of hosts from which the queues'
	// capacities are computed.
	fleet fleetSize
}

// fleetSize holds the upstreams and the number of hosts that share them.
type fleetSize struct {
	// reachable holds the upstreams that this host sends to; total is the number of
	// all upstreams in the host list, which may be larger.
	reachable []*balance.Upstream
	total     int
	// hosts is the number of entry hosts that are up.
	hosts int
}

func newQueues(s Settings) *queues {
	return &queues{max: s.Capacity, maxQueue: s.MaxQueue, queueFactor: s.QueueFactor, byPool: make(map[string]*admission.Queue)}
}

// getOrCreateQueue returns the queue of a pool and creates it if there is none. The
// pool's name must come from the manifest, so that the number of queues is bounded.
func (q *queues) getOrCreateQueue(pool string) *admission.Queue {
	q.mu.RLock()
	queue := q.byPool[pool]
	q.mu.RUnlock()
	if queue != nil {
		return queue
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if queue = q.byPool[pool]; queue == nil {
		queue = admission.New(admission.Options{Capacity: q.hostCapacity(pool), MaxQueue: q.maxQueue, Classes: q.classes})
		q.byPool[pool] = queue
	}
	return queue
}

// setClasses applies the classes of a manifest.
func (q *queues) setClasses(classes []admission.ClassOptions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.classes = classes
	for _, queue := range q.byPool {
		queue.SetClasses(classes)
	}
}

// setFleet sets the capacity of each queue to this host's share of the pool's capacity.
func (q *queues) setFleet(reachable []*balance.Upstream, total, hosts int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet = fleetSize{reachable: reachable, total: total, hosts: max(1, hosts)}
	for pool, queue := range q.byPool {
		queue.SetCapacity(q.hostCapacity(pool))
	}
}

// hostCapacity returns this host's share of a pool's capacity, multiplied by queueFactor.
// For a pool without capacity it returns q.max, so that requests aren't queued: they
// are admitted at once and then fail, because no upstream can be chosen.
func (q *queues) hostCapacity(pool string) int {
	capacity := poolCapacity(pool, q.fleet.reachable)
	if capacity == 0 {
		return q.max
	}
	// The upstreams that this host doesn't send to are assumed to have the same
	// average capacity.
	scaled := capacity * max(1, q.fleet.total) / len(q.fleet.reachable)
	return max(1, min(q.max, (scaled*q.queueFactor+q.fleet.hosts-1)/q.fleet.hosts))
}

// poolCapacity returns the number of requests that a pool's upstreams run at once.
func poolCapacity(pool string, upstreams []*balance.Upstream) int {
	capacity := 0
	for _, u := range upstreams {
		if !u.Leaving && inPool(u, pool) {
			capacity += u.Reported.Capacity
		}
	}
	return capacity
}

func inPool(u *balance.Upstream, pool string) bool {
	if u.Kind == storage.KindService {
		return servicePool(u.Name) == pool
	}
	return slices.ContainsFunc(u.Versions, func(v string) bool {
		model, _, _ := strings.Cut(v, "@")
		return modelPool(model) == pool
	})
}

func modelPool(model string) string     { return "model/" + model }
func servicePool(service string) string { return "service/" + service }

// poolName returns the name of the pool that the request is admitted to.
func (r *Request) poolName() string {
	if r.Kind == KindService {
		return servicePool(r.Route)
	}
	return modelPool(r.Model)
}

// stats returns the sums of all pools' statistics.
func (q *queues) stats() admission.Stats {
	q.mu.RLock()
	defer q.mu.RUnlock()
	var sum admission.Stats
	for _, queue := range q.byPool {
		s := queue.Stats()
		sum.Capacity += s.Capacity
		sum.Running += s.Running
		sum.Queued += s.Queued
	}
	return sum
}
