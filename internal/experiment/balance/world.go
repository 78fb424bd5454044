package balance

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	choose "github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/storage"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

const (
	model   = "quotes"
	version = model + "@1"
	// reportEvery is how often a host asks an engine for its load, and
	// reportLag how old the load is by then.
	reportEvery = time.Second
	reportLag   = 500 * time.Millisecond
	maxAttempts = 3
)

// events says how cache events reach the hosts.
type events struct {
	enabled bool
	delay   time.Duration
	loss    float64
}

// setting is one cell of the measurement.
type setting struct {
	engines int
	hosts   int
	rate    float64 // requests/s outside the peak
	fault   fault   // of the first engine
	events  events
}

// result is what one run showed.
type result struct {
	firstToken *hdrhistogram.Histogram // microseconds
	blocks     int
	cached     int
	failed     int
	requests   int
}

type world struct {
	setting  setting
	queue    *simulate.Queue
	rnd      *rand.Rand
	engines  map[string]*engine
	order    []*engine
	pools    []*choose.Pool
	choosers []chooser
	seqs     map[string]uint64
	result   result
}

// Bounds of the histogram, in microseconds.
const (
	lowest  = 100
	highest = 600_000_000
	digits  = 3
)

func run(s setting, c contender, seed int) result {
	w := &world{
		setting: s,
		queue:   simulate.New(),
		rnd:     rand.New(rand.NewPCG(uint64(seed), 1)),
		engines: make(map[string]*engine),
		seqs:    make(map[string]uint64),
	}
	w.result.firstToken = hdrhistogram.New(lowest, highest, digits)
	list := w.addEngines()
	for i := range s.hosts {
		w.addHost(i, c, list, seed)
	}
	t := &traffic{queue: w.queue, rnd: simulate.NewRand(seed), rate: s.rate, hosts: s.hosts, submit: w.submit}
	t.start()
	w.queue.Run(length)
	return w.result
}

func (w *world) addEngines() []storage.Host {
	var list []storage.Host
	for i := range w.setting.engines {
		e := newEngine(fmt.Sprintf("engine-%02d", i), w.queue)
		if i == 0 {
			e.fault = w.setting.fault
		}
		if w.setting.events.enabled {
			e.evicts = w.publish
		}
		w.engines[e.id] = e
		w.order = append(w.order, e)
		list = append(list, storage.Host{ID: e.id, Kind: storage.KindEngine, Name: model, Zone: zone(i), State: storage.HostLive})
	}
	return list
}

func zone(i int) string { return string(rune('a' + i%3)) }

func (w *world) addHost(i int, c contender, list []storage.Host, seed int) {
	name := fmt.Sprint("entry-", i)
	options := choose.Options{Host: name, Zone: zone(i), Clock: w.queue.Now, Seed: uint64(seed)}
	pool := choose.NewPool(options)
	if c.selector != nil {
		pool.SetSelector(c.selector(pool.Index()))
	}
	pool.SetHosts(w.setting.hosts)
	pool.Update(list)
	w.pools = append(w.pools, pool)
	chooser := chooseByPool
	if c.chooser != nil {
		chooser = c.chooser(rand.New(rand.NewPCG(uint64(seed), uint64(i))))
	}
	w.choosers = append(w.choosers, chooser)
	for _, e := range w.order {
		pool.Report(e.id, e.load(), w.queue.Now())
		offset := time.Duration(w.rnd.Float64() * float64(reportEvery))
		w.queue.After(offset, func() { w.poll(pool, e) })
	}
}

func chooseByPool(pool *choose.Pool, req *choose.Request) (string, bool) {
	choice, ok := pool.Choose(req)
	if !ok {
		return "", false
	}
	return choice.Upstream.ID, true
}

// poll takes a report and delivers it when it is old.
func (w *world) poll(pool *choose.Pool, e *engine) {
	load, taken := e.load(), w.queue.Now()
	w.queue.After(reportLag, func() { pool.Report(e.id, load, taken) })
	w.queue.After(reportEvery, func() { w.poll(pool, e) })
}

// publish sends a cache event to all hosts, late and with gaps.
func (w *world) publish(e *engine, stored, removed []uint64) {
	w.seqs[e.id]++
	event := choose.CacheEvent{Upstream: e.id, Seq: w.seqs[e.id], At: w.queue.Now(), Stored: stored, Removed: removed}
	for _, pool := range w.pools {
		if w.rnd.Float64() >= w.setting.events.loss {
			w.queue.After(w.setting.events.delay, func() { pool.Index().Apply(event) })
		}
	}
}

func (w *world) submit(r *request) {
	pool := w.pools[r.host]
	id, ok := w.choosers[r.host](pool, &choose.Request{
		Model:        model,
		Version:      "1",
		Zone:         zone(r.host),
		SessionID:    r.session,
		PrefixHashes: r.hashes,
		Exclude:      r.tried,
	})
	if !ok || !pool.Begin(id) {
		w.failed(r)
		return
	}
	pool.Index().Sent(id, r.hashes)
	sent := w.queue.Now()
	var firstToken time.Duration
	r.answer = func(first, ok bool) {
		if first {
			firstToken = w.queue.Now().Sub(sent)
			w.answered(r)
			return
		}
		pool.End(id, choose.Outcome{Err: !ok, FirstToken: firstToken})
		if !ok {
			w.retry(r, id)
		}
	}
	w.engines[id].send(r)
}

func (w *world) retry(r *request, id string) {
	r.tried = append(r.tried, id)
	if len(r.tried) >= maxAttempts {
		w.failed(r)
		return
	}
	w.submit(r)
}

func (w *world) counts(r *request) bool {
	return r.started.Sub(simulate.Epoch) >= warmUp
}

func (w *world) failed(r *request) {
	if w.counts(r) {
		w.result.failed++
		w.result.requests++
	}
}

func (w *world) answered(r *request) {
	if !w.counts(r) {
		return
	}
	w.result.requests++
	w.result.blocks += len(r.hashes)
	w.result.cached += r.cached
	micros := w.queue.Now().Sub(r.started).Microseconds()
	_ = w.result.firstToken.RecordValue(min(max(micros, lowest), highest)) // within bounds
}
