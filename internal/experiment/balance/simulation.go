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
	// reportInterval is the time between load polls of an engine by a host;
	// reportDelay is the age of a load report when it arrives.
	reportInterval = time.Second
	reportDelay    = 500 * time.Millisecond
	maxAttempts    = 3
)

// events describes the delivery of cache events to the hosts.
type events struct {
	enabled  bool
	delay    time.Duration
	lossRate float64
}

// setting holds the parameters of one table row.
type setting struct {
	engineCount int
	hostCount   int
	rate        float64 // requests/s outside the peak
	fault       fault   // of the first engine; the others are healthy
	events      events
}

// result holds the results of one run.
type result struct {
	firstToken   *hdrhistogram.Histogram // microseconds
	blockCount   int
	cached       int
	failed       int
	requestCount int
}

type simulation struct {
	setting    setting
	queue      *simulate.Queue
	rnd        *rand.Rand
	engines    map[string]*engine
	engineList []*engine
	pools      []*choose.Pool
	choosers   []chooser
	eventSeqs  map[string]uint64
	result     result
}

// Bounds of the histogram, in microseconds.
const (
	minLatency    = 100
	maxLatency    = 600_000_000
	latencyDigits = 3
)

func run(s setting, c namedPolicy, seed int) result {
	sim := &simulation{
		setting:   s,
		queue:     simulate.New(),
		rnd:       rand.New(rand.NewPCG(uint64(seed), 1)),
		engines:   make(map[string]*engine),
		eventSeqs: make(map[string]uint64),
	}
	sim.result.firstToken = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	list := sim.addEngines()
	for i := range s.hostCount {
		sim.addHost(i, c, list, seed)
	}
	t := &traffic{queue: sim.queue, rnd: simulate.NewRand(seed), rate: s.rate, hostCount: s.hostCount, submit: sim.submit}
	t.scheduleSession()
	sim.queue.Run(runDuration)
	return sim.result
}

func (sim *simulation) addEngines() []storage.Host {
	var list []storage.Host
	for i := range sim.setting.engineCount {
		e := newEngine(fmt.Sprintf("engine-%02d", i), sim.queue)
		if i == 0 {
			e.fault = sim.setting.fault
		}
		if sim.setting.events.enabled {
			e.onCacheChange = sim.publishCacheEvent
		}
		sim.engines[e.id] = e
		sim.engineList = append(sim.engineList, e)
		list = append(list, storage.Host{ID: e.id, Kind: storage.KindEngine, Name: model, Zone: zone(i), State: storage.HostLive})
	}
	return list
}

func zone(i int) string { return string(rune('a' + i%3)) }

func (sim *simulation) addHost(i int, c namedPolicy, list []storage.Host, seed int) {
	name := fmt.Sprint("entry-", i)
	options := choose.Options{Host: name, Zone: zone(i), Clock: sim.queue.Now, Seed: uint64(seed)}
	pool := choose.NewPool(options)
	if c.newSelector != nil {
		pool.SetSelector(c.newSelector(pool.Index()))
	}
	pool.SetHosts(sim.setting.hostCount)
	pool.Update(list)
	sim.pools = append(sim.pools, pool)
	chooser := chooseByPool
	if c.newChooser != nil {
		chooser = c.newChooser(rand.New(rand.NewPCG(uint64(seed), uint64(i))))
	}
	sim.choosers = append(sim.choosers, chooser)
	for _, e := range sim.engineList {
		pool.Report(e.id, e.reportedLoad(), sim.queue.Now())
		offset := time.Duration(sim.rnd.Float64() * float64(reportInterval))
		sim.queue.After(offset, func() { sim.poll(pool, e) })
	}
}

func chooseByPool(pool *choose.Pool, req *choose.Request) (string, bool) {
	choice, ok := pool.Choose(req)
	if !ok {
		return "", false
	}
	return choice.Upstream.ID, true
}

// poll reads an engine's load, delivers it after reportDelay, and schedules the
// next poll.
func (sim *simulation) poll(pool *choose.Pool, e *engine) {
	load, measuredAt := e.reportedLoad(), sim.queue.Now()
	sim.queue.After(reportDelay, func() { pool.Report(e.id, load, measuredAt) })
	sim.queue.After(reportInterval, func() { sim.poll(pool, e) })
}

// publishCacheEvent sends a cache event to all hosts, with the delay and the
// loss rate of the setting.
func (sim *simulation) publishCacheEvent(e *engine, stored, removed []uint64) {
	sim.eventSeqs[e.id]++
	event := choose.CacheEvent{Upstream: e.id, Seq: sim.eventSeqs[e.id], At: sim.queue.Now(), Stored: stored, Removed: removed}
	for _, pool := range sim.pools {
		if sim.rnd.Float64() >= sim.setting.events.lossRate {
			sim.queue.After(sim.setting.events.delay, func() { pool.Index().Apply(event) })
		}
	}
}

func (sim *simulation) submit(r *request) {
	pool := sim.pools[r.host]
	id, ok := sim.choosers[r.host](pool, &choose.Request{
		Model:        model,
		Version:      "1",
		Zone:         zone(r.host),
		SessionID:    r.session,
		PrefixHashes: r.hashes,
		Exclude:      r.tried,
	})
	if !ok || !pool.Begin(id) {
		sim.recordFailure(r)
		return
	}
	pool.Index().RecordSent(id, r.hashes)
	sent := sim.queue.Now()
	var firstToken time.Duration
	r.onProgress = func(isFirstToken, ok bool) {
		if isFirstToken {
			firstToken = sim.queue.Now().Sub(sent)
			sim.recordFirstToken(r)
			return
		}
		pool.End(id, choose.Outcome{Failed: !ok, TimeToFirstToken: firstToken})
		if !ok {
			sim.retry(r, id)
		}
	}
	sim.engines[id].accept(r)
}

func (sim *simulation) retry(r *request, id string) {
	r.tried = append(r.tried, id)
	if len(r.tried) >= maxAttempts {
		sim.recordFailure(r)
		return
	}
	sim.submit(r)
}

func (sim *simulation) isMeasured(r *request) bool {
	return r.intendedStart.Sub(simulate.Epoch) >= warmUp
}

func (sim *simulation) recordFailure(r *request) {
	if sim.isMeasured(r) {
		sim.result.failed++
		sim.result.requestCount++
	}
}

func (sim *simulation) recordFirstToken(r *request) {
	if !sim.isMeasured(r) {
		return
	}
	sim.result.requestCount++
	sim.result.blockCount += len(r.hashes)
	sim.result.cached += r.cachedBlockCount
	micros := sim.queue.Now().Sub(r.intendedStart).Microseconds()
	_ = sim.result.firstToken.RecordValue(min(max(micros, minLatency), maxLatency)) // within bounds
}
