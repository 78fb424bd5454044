// Package service is a small stand-in for a plain service: it counts what
// really ran and gives deterministic answers, with faults on demand.
//
// It is for tests and development, and keeps everything that arrived in memory.
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

// Headers that can hold the caller's request key; the first that is set
// counts.
const (
	headerRequestKey     = "Quetzalweir-Request-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// DefaultCapacity is the default of Options.Capacity.
const DefaultCapacity = 64

// Options are the settings of New. Zero values mean the defaults.
type Options struct {
	// Listen is the address to listen on. Default: 127.0.0.1, a free port.
	Listen string
	// Name is the service's name, ID the host's, Zone its availability zone.
	Name string
	ID   string
	Zone string
	// Capacity is reported as load; it isn't enforced. Default: 64.
	Capacity int
	// Time is how long each run takes. Default: none.
	Time time.Duration
}

// Answer is the body of each answer.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the request's body.
	Body string `json:"body"`
	// Confirmation is a number made from the rest, so that each right answer
	// to a request is the same.
	Confirmation string `json:"confirmation"`
}

// ExpectedAnswer returns the body that every service gives for the request.
// The path holds the query.
func ExpectedAnswer(method, path string, body []byte) []byte {
	sum := xxhash.Sum64String(method + " " + path + "\n" + string(body))
	answer := Answer{Method: method, Path: path, Body: string(body), Confirmation: fmt.Sprintf("C%016X", sum)}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err) // a struct of strings always marshals
	}
	return data
}

// Service is the stand-in.
type Service struct {
	opts     Options
	server   *cut.Server
	running  atomic.Int64
	arrivals arrivalLog
	faults   faultState
	cutter   cut.Cutter
}

// New returns a service that is not yet served.
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

// Handler returns the service's HTTP API: /load, /arrivals and /faults as
// told, and an answer on every other path. A cut before the head of a request
// works only under Run.
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
	s.arrivals.note(id, key, func(a *Arrival) { a.Heads++ })
	body, err := s.cutter.ReadBody(r)
	if err != nil {
		return
	}
	s.arrivals.note(id, key, func(a *Arrival) { a.Bodies++ })
	if s.faults.get().Leaving {
		s.refuse(w, id, key)
		return
	}
	s.arrivals.note(id, key, func(a *Arrival) { a.Runs++ })
	s.running.Add(1)
	defer s.running.Add(-1)
	s.faults.wait(s.opts.Time)
	if s.cutter.Take(cut.BeforeAnswer) {
		cut.Now()
	}
	s.answer(w, r, id, body)
}

// refuse answers a call that was not run.
func (s *Service) refuse(w http.ResponseWriter, id, key string) {
	s.arrivals.note(id, key, func(a *Arrival) { a.Refused++ })
	w.Header().Set(upstream.HeaderNotRun, "1")
	w.Header().Set("Retry-After", "1")
	s.setLoad(w.Header())
	http.Error(w, "leaving", http.StatusServiceUnavailable)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	data := ExpectedAnswer(r.Method, r.URL.RequestURI(), body)
	if s.faults.takeCrossed() {
		id = "another-" + id
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(upstream.HeaderRequestID, id)
	s.setLoad(w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if status := s.faults.get().Status; status != 0 {
		w.WriteHeader(status)
	}
	if s.cutter.Take(cut.MidAnswer) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		cut.Now()
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

func (s *Service) setLoad(h http.Header) {
	load := s.load()
	h.Set(upstream.HeaderLoad, fmt.Sprintf("%d/%d/%d", load.Running, load.Queued, load.Capacity))
	if load.Leaving {
		h.Set(upstream.HeaderLeaving, "1")
	}
}

// Bind takes the address, so that Address is known before Run.
func (s *Service) Bind() error { return s.server.Bind() }

// Address returns the bound address; empty before Bind.
func (s *Service) Address() string { return s.server.Address() }

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.server.Run(ctx) }

// Host returns the service's entry in a host list.
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
