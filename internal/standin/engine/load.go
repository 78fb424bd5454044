package engine

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/upstream"
)

// loadHistory holds the past loads that a load report with LoadLag needs.
type loadHistory struct {
	mu      sync.Mutex
	entries []loadEntry
}

type loadEntry struct {
	at   time.Time
	load upstream.Load
}

// recordLoad adds the current load to the history and removes the entries that
// no later load report needs.
func (e *Engine) recordLoad() {
	h := &e.history
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.entries = append(h.entries, loadEntry{at: now, load: e.currentLoad()})
	cutoff := now.Add(-e.opts.LoadLag)
	keep := 0
	for keep+1 < len(h.entries) && !h.entries[keep+1].at.After(cutoff) {
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

// laggedLoad returns the load as it was LoadLag ago.
func (e *Engine) laggedLoad() upstream.Load {
	h := &e.history
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := time.Now().Add(-e.opts.LoadLag)
	load := h.entries[0].load
	for _, entry := range h.entries {
		if !entry.at.After(cutoff) {
			load = entry.load
		}
	}
	load.AgeMs = e.opts.LoadLag.Milliseconds()
	return load
}

// setLoadHeaders writes the current load to the headers of a response.
func (e *Engine) setLoadHeaders(h http.Header) {
	load := e.currentLoad()
	h.Set(upstream.HeaderLoad, fmt.Sprintf("%d/%d/%d", load.Running, load.Queued, load.Capacity))
	if load.Leaving || e.faults.get().LeavingHeader {
		h.Set(upstream.HeaderLeaving, "1")
	}
}
