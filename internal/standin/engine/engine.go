package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/httpjson"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Engine is a stand-in for a model engine. Its methods are safe for concurrent
// use.
type Engine struct {
	opts   Options
	server *cut.Server
	// ctx is cancelled by Close and Kill, which ends all runs.
	ctx   context.Context
	stop  context.CancelFunc
	runs  sync.WaitGroup
	slots slotPool

	cache    *prefixCache
	jobs     jobTable
	versions versionSet
	history  loadHistory
	arrivals arrivalLog
	faults   faultState
	cutter   cut.Cutter
}

// New returns an engine that doesn't listen yet.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{opts: opts, cache: newPrefixCache(opts)}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.slots.capacity = opts.Capacity
	e.slots.maxQueue = opts.MaxQueue
	e.slots.onChange = e.recordLoad
	e.versions.loaded = slices.Clone(opts.Versions)
	e.faults.random = rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	e.server = &cut.Server{
		Listen:        opts.Listen,
		Handler:       e.Handler(),
		Cutter:        &e.cutter,
		UncutPrefixes: uncutRequests(),
	}
	e.recordLoad()
	return e
}

// uncutRequests returns the prefixes of request lines that are exempt from cuts
// at BeforeHead.
func uncutRequests() [][]byte {
	return [][]byte{
		[]byte("GET /load"), []byte("GET /arrivals"), []byte("GET /cache-events"),
		[]byte("POST /orders"), []byte("POST /faults"), []byte("DELETE /v1/streams"),
	}
}

// Handler returns the handler of the engine's HTTP API. Cuts at BeforeHead work
// only under Run.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /faults", e.serveFaults)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		e.faults.waitWhileStalled()
		httpjson.Write(w, e.laggedLoad())
	})
	mux.HandleFunc("GET /arrivals", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, e.arrivals.list())
	})
	mux.HandleFunc("GET /cache-events", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
		httpjson.Write(w, e.cache.eventsAfter(after))
	})
	return mux
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpjson.Read(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// Bind starts to listen, so that Address is known before Run.
func (e *Engine) Bind() error { return e.server.Bind() }

// Address returns the address that the engine listens on; empty before Bind.
func (e *Engine) Address() string { return e.server.Address() }

// Run serves until ctx ends, then closes the engine.
func (e *Engine) Run(ctx context.Context) error {
	defer e.Close()
	return e.server.Run(ctx)
}

// Close cancels all runs and waits for them.
func (e *Engine) Close() {
	e.stop()
	e.runs.Wait()
}

// Kill cancels all runs and closes all connections at once, as if the process had
// been killed. Run still returns only when its context ends.
func (e *Engine) Kill() {
	e.stop()
	e.server.Kill()
}

// Load returns the current load, without the lag of the load report.
func (e *Engine) Load() upstream.Load { return e.currentLoad() }

// Host returns the engine's entry for a host list.
func (e *Engine) Host() storage.Host {
	state := storage.HostLive
	if e.faults.get().Leaving {
		state = storage.HostLeaving
	}
	return storage.Host{
		ID:            e.opts.ID,
		Kind:          storage.KindEngine,
		Name:          e.opts.Name,
		Zone:          e.opts.Zone,
		Address:       e.Address(),
		State:         state,
		ChecksFencing: e.opts.Fenced,
	}
}
