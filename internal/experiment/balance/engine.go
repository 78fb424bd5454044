package balance

import (
	"container/heap"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Parameters of the simulated engine.
const (
	batchSlots       = 24   // concurrent requests in the batch
	cacheBlocks      = 3000 // capacity of the prefix cache
	blockTokens      = 64
	prefillPerSecond = 9000.0 // uncached tokens/s
	baseTimePerToken = 12 * time.Millisecond
	// batchSlowdown is the increase of the time per token in a full batch, as a
	// multiple of baseTimePerToken.
	batchSlowdown = 1.5
	failureDelay  = 5 * time.Millisecond
)

// fault is a kind of engine failure.
type fault int

const (
	healthy       fault = iota
	slowed              // prefill and decoding take slowFactor times as long
	reportsNoLoad       // load reports have no running and no queued requests
	failing             // fails every request after failureDelay
)

const slowFactor = 4

// request is one simulated request.
type request struct {
	account          string
	session          string
	hashes           []uint64
	outputTokens     int // to generate
	intendedStart    time.Time
	host             int
	tried            []string
	cachedBlockCount int // number of leading blocks found in the engine's cache
	onProgress       func(firstToken bool, ok bool)
}

// engine simulates continuous batching: prefills run one after the other, and
// the decoding requests advance together, more slowly the more there are.
type engine struct {
	id            string
	fault         fault
	queue         *simulate.Queue
	cache         *simplelru.LRU[uint64, struct{}]
	onCacheChange func(e *engine, stored, removed []uint64)

	waiting    []*request
	prefilling int // requests that hold a slot and whose prefill has not finished
	prefillEnd time.Time
	decoding   decodeHeap
	// progress is the number of tokens that a request decoding since the start
	// of the run would have produced by progressAt.
	progress        float64
	progressAt      time.Time
	scheduleVersion int
	evicted         []uint64
}

func newEngine(id string, q *simulate.Queue) *engine {
	e := &engine{id: id, queue: q, progressAt: q.Now()}
	cache, err := simplelru.NewLRU(cacheBlocks, func(h uint64, _ struct{}) { e.evicted = append(e.evicted, h) })
	if err != nil {
		panic(err) // the size is positive
	}
	e.cache = cache
	return e
}

func (e *engine) timeFactor() float64 {
	if e.fault == slowed {
		return slowFactor
	}
	return 1
}

// accept queues a request, or fails it if the engine is failing.
func (e *engine) accept(r *request) {
	if e.fault == failing {
		e.queue.After(failureDelay, func() { r.onProgress(false, false) })
		return
	}
	e.waiting = append(e.waiting, r)
	e.startWaiting()
}

// startWaiting starts waiting requests while slots are free.
func (e *engine) startWaiting() {
	for len(e.waiting) > 0 && e.prefilling+len(e.decoding) < batchSlots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.startPrefill(r)
	}
}

func (e *engine) startPrefill(r *request) {
	e.prefilling++
	r.cachedBlockCount = e.lookupAndStore(r.hashes)
	tokens := float64((len(r.hashes)-r.cachedBlockCount)*blockTokens + blockTokens)
	length := time.Duration(tokens / prefillPerSecond * e.timeFactor() * float64(time.Second))
	begin := e.queue.Now()
	if e.prefillEnd.After(begin) {
		begin = e.prefillEnd
	}
	e.prefillEnd = begin.Add(length)
	e.queue.After(e.prefillEnd.Sub(e.queue.Now()), func() { e.startDecoding(r) })
}

// lookupAndStore returns the number of leading blocks that were cached, and
// stores all blocks.
func (e *engine) lookupAndStore(hashes []uint64) int {
	cached := 0
	for cached < len(hashes) && e.cache.Contains(hashes[cached]) {
		cached++
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		e.cache.Add(hashes[i], struct{}{})
	}
	if e.onCacheChange != nil {
		e.onCacheChange(e, hashes, e.evicted)
	}
	e.evicted = nil
	return cached
}

func (e *engine) startDecoding(r *request) {
	e.updateProgress()
	e.prefilling--
	heap.Push(&e.decoding, decodingRequest{request: r, endProgress: e.progress + float64(r.outputTokens)})
	r.onProgress(true, true)
	e.scheduleFinish()
}

// updateProgress adds the progress made since progressAt.
func (e *engine) updateProgress() {
	now := e.queue.Now()
	if n := len(e.decoding); n > 0 {
		e.progress += float64(now.Sub(e.progressAt)) / e.timePerToken(n)
	}
	e.progressAt = now
}

func (e *engine) timePerToken(batch int) float64 {
	return float64(baseTimePerToken) * e.timeFactor() * (1 + batchSlowdown*float64(batch)/batchSlots)
}

// scheduleFinish schedules the end of the decoding request that ends first, and
// invalidates the event scheduled before.
func (e *engine) scheduleFinish() {
	e.scheduleVersion++
	if len(e.decoding) == 0 {
		return
	}
	scheduleVersion := e.scheduleVersion
	remaining := e.decoding[0].endProgress - e.progress
	e.queue.After(time.Duration(remaining*e.timePerToken(len(e.decoding)))+1, func() {
		if scheduleVersion == e.scheduleVersion {
			e.finishRequests()
		}
	})
}

func (e *engine) finishRequests() {
	e.updateProgress()
	for len(e.decoding) > 0 && e.decoding[0].endProgress <= e.progress {
		heap.Pop(&e.decoding).(decodingRequest).request.onProgress(false, true)
	}
	e.startWaiting()
	e.scheduleFinish()
}

// reportedLoad returns the load that the engine reports.
func (e *engine) reportedLoad() upstream.Load {
	load := upstream.Load{Capacity: batchSlots, Versions: []string{version}}
	if e.fault != reportsNoLoad {
		load.Running = e.prefilling + len(e.decoding)
		load.Queued = len(e.waiting)
	}
	return load
}

type decodingRequest struct {
	request     *request
	endProgress float64
}

// decodeHeap implements heap.Interface, ordered by endProgress.
type decodeHeap []decodingRequest

func (d decodeHeap) Len() int           { return len(d) }
func (d decodeHeap) Less(i, j int) bool { return d[i].endProgress < d[j].endProgress }
func (d decodeHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *decodeHeap) Push(x any) { *d = append(*d, x.(decodingRequest)) }

// Pop implements heap.Interface.
func (d *decodeHeap) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}
