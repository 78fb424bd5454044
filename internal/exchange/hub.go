package exchange

import (
	"context"
	"maps"
	"slices"
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
	reads   readLog
}

// received is a host's latest report, or what another hub told of its followers.
type received struct {
	report Report
	at     time.Time
	// fromHub says that another hub told it, hosts for how many it speaks.
	fromHub bool
	hosts   int
}

// audience is whom a hub tells something.
type audience int

const (
	// toHost: a host hears what all others told.
	toHost audience = iota
	// toHub: another hub hears what this one's own followers told; it adds up the
	// hubs itself, so that nothing goes round.
	toHub
)

// hears says whether the audience is told the report.
func (a audience) hears(r received) bool { return a == toHost || !r.fromHub }

// maxTold bounds the upstreams whose work a host is told, the busiest first, and with
// that a host's part of the exchange to the 7 KB a second that control may take: an
// upstream takes 8 bytes of each answer.
const maxTold = 100

func newHub(zone string, tables map[string]*feed.Watcher) *hub {
	return &hub{zone: zone, tables: tables, reports: make(map[string]received)}
}

// exchange takes a host's report, or another hub's question, and answers it.
func (h *hub) exchange(_ context.Context, from string, r Report) (Reply, error) {
	if r.Hub {
		return h.sums(from, r.ReadsSince, toHub), nil
	}
	h.take(from, r)
	reply := h.sums(from, r.ReadsSince, toHost)
	if h.relaysTo(from) {
		reply.Tables = h.news(r.Revisions)
	}
	return reply, nil
}

// sums is what a host or another hub is told of the others.
func (h *hub) sums(self string, readsSince uint64, who audience) Reply {
	reply := Reply{Zone: h.zone, Hosts: h.hosts(who), Work: h.others(self, who), Evidence: h.evidence(self, who)}
	reply.Reads, reply.ReadsLast = h.readsSince(readsSince, self, who)
	return reply
}

// take keeps a host's report in place of its last one.
func (h *hub) take(from string, r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[from] = received{report: r, at: time.Now(), hosts: 1}
	h.reads.add(from, false, r.Reads)
}

// readsSince is what others than the host read after a number, and the number of the last.
func (h *hub) readsSince(number uint64, self string, who audience) (Reads, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads.since(number, self, who), h.reads.last
}

// takeHub keeps what another hub told of its followers.
func (h *hub) takeHub(address string, r Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports["hub "+address] = received{report: Report{Zone: r.Zone, Work: r.Work, Evidence: r.Evidence}, at: time.Now(), fromHub: true, hosts: r.Hosts}
	h.reads.add(address, true, r.Reads)
}

// others sums the work of all hosts but one, of any zone: a host may choose any zone's
// upstreams.
func (h *hub) others(self string, who audience) Work {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOld()
	sum := make(Work)
	for host, got := range h.reports {
		if host == self || !who.hears(got) {
			continue
		}
		for upstream, work := range got.report.Work {
			sum[upstream] += work
		}
	}
	return busiest(sum, maxTold)
}

// busiest keeps the upstreams with the most work.
func busiest(work Work, most int) Work {
	if len(work) <= most {
		return work
	}
	amounts := slices.Sorted(maps.Values(work))
	least := amounts[len(amounts)-most]
	kept := make(Work, most)
	for id, w := range work {
		if w >= least {
			kept[id] = w
		}
	}
	return kept
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
	return h.hosts(toHub)
}

// hosts counts the hosts that the audience hears of.
func (h *hub) hosts(who audience) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOld()
	n := 0
	for _, got := range h.reports {
		if who.hears(got) {
			n += got.hosts
		}
	}
	return n
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
