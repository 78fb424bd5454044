package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/httpjson"
)

// Values of Order.Action.
const (
	actionLoad   = "load"
	actionUnload = "unload"
)

// Order is the body of POST /orders, which loads or unloads a version.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// versionSet holds the loaded versions, the highest accepted fencing number and
// the accepted orders.
type versionSet struct {
	mu      sync.Mutex
	loaded  []string
	fencing uint64
	orders  []Order
}

func (s *versionSet) has(modelVersion string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.loaded, modelVersion)
}

func (s *versionSet) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loaded)
}

// accept records the order and returns true, or returns false if checkFencing is
// true and the fencing number is lower than one accepted before.
func (s *versionSet) accept(o Order, checkFencing bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checkFencing && o.Fencing < s.fencing {
		return false
	}
	s.fencing = max(s.fencing, o.Fencing)
	s.orders = append(s.orders, o)
	return true
}

func (s *versionSet) add(modelVersion string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.loaded, modelVersion) {
		s.loaded = append(s.loaded, modelVersion)
	}
}

func (s *versionSet) remove(modelVersion string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = slices.DeleteFunc(s.loaded, func(v string) bool { return v == modelVersion })
}

// Orders returns the accepted orders in the order in which they arrived.
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
	e.execute(order)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) execute(order Order) {
	modelVersion := order.Model + "@" + order.Version
	if order.Action == actionUnload {
		e.versions.remove(modelVersion)
		e.slots.rejectWaiting(modelVersion)
		return
	}
	time.Sleep(e.opts.LoadTime)
	e.versions.add(modelVersion)
	e.recordLoad()
}
