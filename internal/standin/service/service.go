// Package service is a stand-in for a service that isn't a model engine: it
// counts the runs of each request, returns deterministic answers and injects
// faults on request.
//
// It is for tests and development. Its counts stay in memory without limit.
package service

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/httpjson"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Headers that can hold the caller's request key; the first one that is set is
// used.
const (
	headerRequestKey     = "Quetzalweir-Request-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// DefaultCapacity is the default of Options.Capacity.
const DefaultCapacity = 64

// Options configures New. Zero values select the defaults.
type Options struct {
	// Listen is the address to listen on. Default: a free port of 127.0.0.1.
	Listen string
	// Name is the name of the service, ID that of the host and Zone the host's
	// availability zone.
	Name string
	ID   string
	Zone string
	// Capacity is the capacity in the load report; it isn't enforced. Default:
	// 64.
	Capacity int
	// RunTime is the duration of each run. Default: 0.
	RunTime time.Duration
}

// Answer is the body of the response to each request that was run.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the request's body.
	Body string `json:"body"`
	// Confirmation is a hash of the other fields, so that the correct answer to
	// a request is always the same.
	Confirmation string `json:"confirmation"`
}

// ExpectedAnswer returns the response body of every service to the request. The
// path includes the query.
func ExpectedAnswer(method, path string, body []byte) []byte {
	sum := xxhash.Sum64String(method + " " + path + "\n" + string(body))
	answer := Answer{Method: method, Path: path, Body: string(body), Confirmation: fmt.Sprintf("C%016X", sum)}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err) // a struct of strings always marshals
	}
	return data
}

// Service is a stand-in for a service. Its methods are safe for concurrent use.
type Service struct {
	opts     Options
	server   *cut.Server
	running  atomic.Int64
	arrivals arrivalLog
	faults   faultState
	cutter   cut.Cutter
}

// New returns a service that doesn't listen yet.
func New(opts Options) *Service {
	if opts.Capacity == 0 {
		opts.Capacity = DefaultCapacity
	}
	s := &Service{opts: opts}
	s.server = &cut.Server{
		Listen:        opts.Listen,
		Handler:       s.Handler(),
		Cutter:        &s.cutter,
		UncutPrefixes: [][]byte{[]byte("GET /load"), []byte("GET /arrivals"), []byte("POST /faults")},
	}
	return s
}

// Handler returns the handler of the service's HTTP API: /load, /arrivals and
// /faults, and an Answer on every other path. Cuts at BeforeHead work only
// under Run.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serveCall)
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, s.load()) })
	mux.HandleFunc("GET /arrivals", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, s.arrivals.list()) })
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.HeaderRequestID)
	key := cmp.Or(r.Header.Get(headerRequestKey), r.Header.Get(HeaderIdempotencyKey))
	s.arrivals.record(id, key, func(a *Arrival) { a.Heads++ })
	body, err := s.cutter.ReadBody(r)
	if err != nil {
		return
	}
	s.arrivals.record(id, key, func(a *Arrival) { a.Bodies++ })
	switch f := s.faults.get(); {
	case f.Leaving:
		s.refuse(w, id, key, "1")
		return
	case f.RejectRetryAfter != "":
		s.refuse(w, id, key, f.RejectRetryAfter)
		return
	}
	s.arrivals.record(id, key, func(a *Arrival) { a.Runs++ })
	s.running.Add(1)
	defer s.running.Add(-1)
	s.faults.simulateRun(s.opts.RunTime)
	if s.cutter.Take(cut.BeforeAnswer) {
		cut.Abort()
	}
	s.answer(w, r, id, body)
}

// refuse sends an error response that states that the request wasn't run.
func (s *Service) refuse(w http.ResponseWriter, id, key, retryAfter string) {
	s.arrivals.record(id, key, func(a *Arrival) { a.Refused++ })
	w.Header().Set(upstream.HeaderNotRun, "1")
	w.Header().Set("Retry-After", retryAfter)
	s.setLoadHeaders(w.Header())
	http.Error(w, "no new requests", http.StatusServiceUnavailable)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	data := ExpectedAnswer(r.Method, r.URL.RequestURI(), body)
	if s.faults.consumeCrossed() {
		id = "another-" + id
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(upstream.HeaderRequestID, id)
	s.setLoadHeaders(w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if status := s.faults.get().Status; status != 0 {
		w.WriteHeader(status)
	}
	if s.cutter.Take(cut.MidAnswer) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		cut.Abort()
	}
	_, _ = w.Write(data)
}

func (s *Service) load() upstream.Load {
	return upstream.Load{
		Running:  int(s.running.Load()),
		Capacity: s.opts.Capacity,
		Leaving:  s.faults.get().Leaving,
	}
}

func (s *Service) setLoadHeaders(h http.Header) {
	load := s.load()
	h.Set(upstream.HeaderLoad, fmt.Sprintf("%d/%d/%d", load.Running, load.Queued, load.Capacity))
	if load.Leaving || s.faults.get().LeavingHeader {
		h.Set(upstream.HeaderLeaving, "1")
	}
}

// Bind starts to listen, so that Address is known before Run.
func (s *Service) Bind() error { return s.server.Bind() }

// Address returns the address that the service listens on; empty before Bind.
func (s *Service) Address() string { return s.server.Address() }

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.server.Run(ctx) }

// Host returns the service's entry for a host list.
func (s *Service) Host() storage.Host {
	state := storage.HostLive
	if s.faults.get().Leaving {
		state = storage.HostLeaving
	}
	return storage.Host{
		ID:      s.opts.ID,
		Kind:    storage.KindService,
		Name:    s.opts.Name,
		Zone:    s.opts.Zone,
		Address: s.Address(),
		State:   state,
	}
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpjson.Read(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
