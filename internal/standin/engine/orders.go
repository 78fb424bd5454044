package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/httpjson"
)

// Actions of an order.
const (
	actionLoad   = "load"
	actionUnload = "unload"
)

// Order is the body of POST /orders.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// versionSet holds the loaded versions and the orders that changed them.
type versionSet struct {
	mu      sync.Mutex
	loaded  []string
	fencing uint64
	orders  []Order
}

func (s *versionSet) has(versioned string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.loaded, versioned)
}

func (s *versionSet) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loaded)
}

// accept notes an order unless its fencing number is old and that counts.
func (s *versionSet) accept(o Order, fenced bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fenced && o.Fencing < s.fencing {
		return false
	}
	s.fencing = max(s.fencing, o.Fencing)
	s.orders = append(s.orders, o)
	return true
}

func (s *versionSet) add(versioned string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.loaded, versioned) {
		s.loaded = append(s.loaded, versioned)
	}
}

func (s *versionSet) remove(versioned string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = slices.DeleteFunc(s.loaded, func(v string) bool { return v == versioned })
}

// Orders returns the accepted orders in their order of arrival.
func (e *Engine) Orders() []Order {
	e.versions.mu.Lock()
	defer e.versions.mu.Unlock()
	return slices.Clone(e.versions.orders)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !httpjson.Read(w, r, &order) {
		return
	}
	if order.Action != actionLoad && order.Action != actionUnload {
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	if !e.versions.accept(order, e.opts.Fenced) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.carryOut(order)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) carryOut(order Order) {
	versioned := order.Model + "@" + order.Version
	if order.Action == actionUnload {
		e.versions.remove(versioned)
		e.slots.drop(versioned)
		return
	}
	time.Sleep(e.opts.LoadTime)
	e.versions.add(versioned)
	e.recordLoad()
}
