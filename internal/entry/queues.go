package entry

import (
	"slices"
	"strings"
	"sync"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/storage"
)

// queues holds an admission queue for each pool: the engines of a model, or the
// hosts of a service. Requests for a full pool don't hold up those for another.
type queues struct {
	max      int
	maxQueue int
	// factor is Settings.QueueFactor. Its default is above 1, since hosts don't
	// get equal parts of the traffic and engines have queues of their own; and
	// bounded, since what waits at an engine can't be refused or overtaken any
	// more.
	factor  int
	mu      sync.RWMutex
	classes []admission.ClassOptions
	byPool  map[string]*admission.Queue
	// size is what capacities follow from.
	size size
}

// size is what is known of the upstreams and of who shares them.
type size struct {
	// reached are the upstreams that this host sends to, of a total that may be
	// larger.
	reached []*balance.Upstream
	total   int
	// hosts is the number of entry hosts.
	hosts int
}

func newQueues(s Settings) *queues {
	return &queues{max: s.Capacity, maxQueue: s.MaxQueue, factor: s.QueueFactor, byPool: make(map[string]*admission.Queue)}
}

// of returns the queue of a pool, which the manifest names.
func (q *queues) of(pool string) *admission.Queue {
	q.mu.RLock()
	queue := q.byPool[pool]
	q.mu.RUnlock()
	if queue != nil {
		return queue
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if queue = q.byPool[pool]; queue == nil {
		queue = admission.New(admission.Options{Capacity: q.part(pool), MaxQueue: q.maxQueue, Classes: q.classes})
		q.byPool[pool] = queue
	}
	return queue
}

// setClasses takes over the classes of a manifest.
func (q *queues) setClasses(classes []admission.ClassOptions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.classes = classes
	for _, queue := range q.byPool {
		queue.SetClasses(classes)
	}
}

// adapt sets each pool's capacity to this host's part of what the pool runs.
func (q *queues) adapt(reached []*balance.Upstream, total, hosts int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.size = size{reached: reached, total: total, hosts: max(1, hosts)}
	for pool, queue := range q.byPool {
		queue.SetCapacity(q.part(pool))
	}
}

// part is a host's part of a pool's capacity. A pool without any stays open:
// its requests are refused at once for want of an upstream.
func (q *queues) part(pool string) int {
	capacity := poolCapacity(pool, q.size.reached)
	if capacity == 0 {
		return q.max
	}
	// Those that aren't reached are taken to be like those that are.
	scaled := capacity * max(1, q.size.total) / len(q.size.reached)
	return max(1, min(q.max, (scaled*q.factor+q.size.hosts-1)/q.size.hosts))
}

// poolCapacity sums what the upstreams of a pool run at once.
func poolCapacity(pool string, upstreams []*balance.Upstream) int {
	capacity := 0
	for _, u := range upstreams {
		if !u.Leaving && serves(u, pool) {
			capacity += u.Reported.Capacity
		}
	}
	return capacity
}

func serves(u *balance.Upstream, pool string) bool {
	if u.Kind == storage.KindService {
		return poolOfService(u.Name) == pool
	}
	return slices.ContainsFunc(u.Versions, func(v string) bool {
		model, _, _ := strings.Cut(v, "@")
		return poolOfModel(model) == pool
	})
}

func poolOfModel(model string) string     { return "model/" + model }
func poolOfService(service string) string { return "service/" + service }

// pool is the pool that the request needs a place in.
func (r *Request) pool() string {
	if r.Kind == KindService {
		return poolOfService(r.Route)
	}
	return poolOfModel(r.Model)
}

// stats sums the numbers of all pools.
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
