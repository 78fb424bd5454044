package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/feed"
)

// hub answers the reports of other hosts.
type hub struct {
	zone   string
	tables map[string]*feed.Watcher

	mu      sync.Mutex
	reports map[string]received
}

// received is a host's latest report.
type received struct {
	report Report
	at     time.Time
}

func newHub(zone string, tables map[string]*feed.Watcher) *hub {
	return &hub{zone: zone, tables: tables, reports: make(map[string]received)}
}

// exchange takes a host's report and answers it.
func (h *hub) exchange(_ context.Context, from string, r Report) (Reply, error) {
	h.take(from, r)
	reply := Reply{Zone: h.zone, Work: h.others(from, r.Zone), Evidence: h.evidence(from)}
	if h.relaysTo(from) {
		reply.Tables = h.news(r.Revisions)
	}
	return reply, nil
}

// take keeps a host's report in place of its last one.
func (h *hub) take(from string, r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[from] = received{report: r, at: time.Now()}
}

// others sums the work of the zone's hosts but one.
func (h *hub) others(self, zone string) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOld()
	sum := make(map[string]float64)
	for host, got := range h.reports {
		if host == self || got.report.Zone != zone {
			continue
		}
		for upstream, work := range got.report.Work {
			sum[upstream] += work
		}
	}
	return sum
}

// relays says whether enough hosts rely on this one.
func (h *hub) relays() bool { return h.followers() >= minFollowers }

// relaysTo says whether the host is told what the store said: all are, up to
// maxFollowers, and beyond that a part of them that stays about the same.
func (h *hub) relaysTo(host string) bool {
	n := h.followers()
	return n >= minFollowers && (n <= maxFollowers || hash(host)%uint64(n) < maxFollowers)
}

// followers counts the hosts that report here, this one included.
func (h *hub) followers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOld()
	return len(h.reports)
}

// dropOld forgets the hosts that say nothing any more. The lock is held.
func (h *hub) dropOld() {
	for host, got := range h.reports {
		if time.Since(got.at) > WorkAge {
			delete(h.reports, host)
		}
	}
}

// news is what the store told of the tables after the revisions that the host
// knows.
func (h *hub) news(known map[string]uint64) map[string]TableNews {
	tables := make(map[string]TableNews)
	for name, watcher := range h.tables {
		if n, ok := watcher.News(known[name]); ok {
			tables[name] = encodeNews(n)
		}
	}
	return tables
}
