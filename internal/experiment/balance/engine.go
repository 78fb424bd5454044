package balance

import (
	"container/heap"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// The modelled engine.
const (
	slots            = 24   // requests in a batch
	cacheBlocks      = 3000 // of the prefix cache
	blockTokens      = 64
	prefillPerSecond = 9000.0 // uncached tokens
	tokenTime        = 12 * time.Millisecond
	// batchSlowdown is by how much a full batch lengthens the time per token.
	batchSlowdown = 1.5
	failDelay     = 5 * time.Millisecond
)

// fault is what is wrong with an engine.
type fault int

const (
	healthy fault = iota
	slow          // four times slower
	lying         // reports no load
	failing       // fails each request at once
)

const slowFactor = 4

// request is one request of the traffic.
type request struct {
	account string
	session string
	hashes  []uint64
	output  int // tokens
	started time.Time
	host    int
	tried   []string
	cached  int // blocks found in the engine's cache
	answer  func(firstToken bool, ok bool)
}

// engine batches continuously: prefills run one after the other, and the
// decoding requests advance together at a speed that falls with their number.
type engine struct {
	id     string
	fault  fault
	queue  *simulate.Queue
	cache  *simplelru.LRU[uint64, struct{}]
	evicts func(e *engine, stored, removed []uint64)

	waiting    []*request
	prefilling int // holding a slot, prefill not done
	prefillEnd time.Time
	decoding   decodes
	// progress is how many tokens a decoding request has produced since the
	// start of the run, as of the time progressAt.
	progress   float64
	progressAt time.Time
	generation int
	removed    []uint64
}

func newEngine(id string, q *simulate.Queue) *engine {
	e := &engine{id: id, queue: q, progressAt: q.Now()}
	cache, err := simplelru.NewLRU(cacheBlocks, func(h uint64, _ struct{}) { e.removed = append(e.removed, h) })
	if err != nil {
		panic(err) // the size is positive
	}
	e.cache = cache
	return e
}

func (e *engine) factor() float64 {
	if e.fault == slow {
		return slowFactor
	}
	return 1
}

// send takes a request.
func (e *engine) send(r *request) {
	if e.fault == failing {
		e.queue.After(failDelay, func() { r.answer(false, false) })
		return
	}
	e.waiting = append(e.waiting, r)
	e.admit()
}

// admit moves waiting requests into free slots.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.prefilling+len(e.decoding) < slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.prefill(r)
	}
}

func (e *engine) prefill(r *request) {
	e.prefilling++
	r.cached = e.lookup(r.hashes)
	tokens := float64((len(r.hashes)-r.cached)*blockTokens + blockTokens)
	length := time.Duration(tokens / prefillPerSecond * e.factor() * float64(time.Second))
	begin := e.queue.Now()
	if e.prefillEnd.After(begin) {
		begin = e.prefillEnd
	}
	e.prefillEnd = begin.Add(length)
	e.queue.After(e.prefillEnd.Sub(e.queue.Now()), func() { e.decode(r) })
}

// lookup returns how many leading blocks are cached, and stores all of them.
func (e *engine) lookup(hashes []uint64) int {
	cached := 0
	for cached < len(hashes) && e.cache.Contains(hashes[cached]) {
		cached++
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		e.cache.Add(hashes[i], struct{}{})
	}
	if e.evicts != nil {
		e.evicts(e, hashes, e.removed)
	}
	e.removed = nil
	return cached
}

func (e *engine) decode(r *request) {
	e.advance()
	e.prefilling--
	heap.Push(&e.decoding, decode{request: r, end: e.progress + float64(r.output)})
	r.answer(true, true)
	e.schedule()
}

// advance brings progress up to now.
func (e *engine) advance() {
	now := e.queue.Now()
	if n := len(e.decoding); n > 0 {
		e.progress += float64(now.Sub(e.progressAt)) / e.perToken(n)
	}
	e.progressAt = now
}

func (e *engine) perToken(batch int) float64 {
	return float64(tokenTime) * e.factor() * (1 + batchSlowdown*float64(batch)/slots)
}

// schedule sets the event of the next end of a decoding request.
func (e *engine) schedule() {
	e.generation++
	if len(e.decoding) == 0 {
		return
	}
	generation := e.generation
	left := e.decoding[0].end - e.progress
	e.queue.After(time.Duration(left*e.perToken(len(e.decoding)))+1, func() {
		if generation == e.generation {
			e.finish()
		}
	})
}

func (e *engine) finish() {
	e.advance()
	for len(e.decoding) > 0 && e.decoding[0].end <= e.progress {
		heap.Pop(&e.decoding).(decode).request.answer(false, true)
	}
	e.admit()
	e.schedule()
}

// load is the engine's report.
func (e *engine) load() upstream.Load {
	load := upstream.Load{Capacity: slots, Versions: []string{version}}
	if e.fault != lying {
		load.Running = e.prefilling + len(e.decoding)
		load.Queued = len(e.waiting)
	}
	return load
}

type decode struct {
	request *request
	end     float64
}

// decodes implements heap.Interface by the ends.
type decodes []decode

func (d decodes) Len() int           { return len(d) }
func (d decodes) Less(i, j int) bool { return d[i].end < d[j].end }
func (d decodes) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *decodes) Push(x any) { *d = append(*d, x.(decode)) }

// Pop implements heap.Interface.
func (d *decodes) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}
