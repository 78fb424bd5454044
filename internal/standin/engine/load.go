package engine

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/upstream"
)

// loadHistory lets the load report lag.
type loadHistory struct {
	mu      sync.Mutex
	entries []loadEntry
}

type loadEntry struct {
	at   time.Time
	load upstream.Load
}

// recordLoad notes the present load for later reports.
func (e *Engine) recordLoad() {
	h := &e.history
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.entries = append(h.entries, loadEntry{at: now, load: e.currentLoad()})
	cut := now.Add(-e.opts.LoadLag)
	keep := 0
	for keep+1 < len(h.entries) && !h.entries[keep+1].at.After(cut) {
		keep++
	}
	h.entries = slices.Delete(h.entries, 0, keep)
}

func (e *Engine) currentLoad() upstream.Load {
	running, queued := e.slots.counts()
	return upstream.Load{
		Running:  running,
		Queued:   queued,
		Capacity: e.opts.Capacity,
		Versions: e.versions.list(),
		Leaving:  e.faults.get().Leaving,
	}
}

// report returns the load as it was LoadLag ago.
func (e *Engine) report() upstream.Load {
	h := &e.history
	h.mu.Lock()
	defer h.mu.Unlock()
	cut := time.Now().Add(-e.opts.LoadLag)
	load := h.entries[0].load
	for _, entry := range h.entries {
		if !entry.at.After(cut) {
			load = entry.load
		}
	}
	load.AgeMs = e.opts.LoadLag.Milliseconds()
	return load
}

// setLoad puts the present load on an answer's head.
func (e *Engine) setLoad(h http.Header) {
	load := e.currentLoad()
	h.Set(upstream.HeaderLoad, fmt.Sprintf("%d/%d/%d", load.Running, load.Queued, load.Capacity))
	if load.Leaving {
		h.Set(upstream.HeaderLeaving, "1")
	}
}
