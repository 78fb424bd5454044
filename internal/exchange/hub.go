package exchange

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// hub answers the reports of other hosts.
type hub struct {
	// self is this host's name, linkMbps the rate of its network link.
	self     string
	zone     string
	linkMbps float64
	tables   map[string]*feed.Watcher
	// quarantine is told what followers saw; nil without one.
	quarantine Quarantine
	log        zerolog.Logger

	// relaying is what relays said last.
	relaying atomic.Bool
	// told says that another hub tells this one the store's word.
	told atomic.Bool

	mu      sync.Mutex
	reports map[string]received
	reads   readLog
	timings map[string]Timings
	// sightings are what this hub was told of upstreams that ended.
	sightings sightingLog
	// zones are the hubs that this one named, by zone.
	zones map[string]*zoneHubs
	// lessor hands on the parts of upstreams' requests that this host holds.
	lessor *ratelease.Lessor
	// limits are what this hub was told of upstreams' limits.
	limits *ratelease.Log
	// knowsLimits says that the hub that this one reports to has told all that it knows, or
	// this one is a root.
	knowsLimits bool
	startedAt   time.Time
	// rootedAt is when a root of the tree stood behind what this host holds.
	rootedAt time.Time
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

func newHub(options Options, log zerolog.Logger) *hub {
	return &hub{
		self: options.Host, zone: options.Zone, linkMbps: options.LinkMbps, tables: options.Tables, quarantine: options.Quarantine, log: log,
		reports: make(map[string]received), timings: make(map[string]Timings), zones: make(map[string]*zoneHubs),
		lessor: ratelease.NewLessor(boottime.Now()), limits: ratelease.NewLog(uint64(rand.Uint32())), startedAt: boottime.Now(),
	}
}

// exchange takes a host's report, or another hub's question, and answers it.
func (h *hub) exchange(_ context.Context, from string, r Report) (Reply, error) {
	switch {
	case r.Look:
		return Reply{Zone: h.zone}, nil
	case r.Hub:
		reply := h.sums(from, r.ReadsSince, toHub)
		if r.WantTimings {
			reply.Timings = h.toldTimings(from, toHub)
		}
		reply.Sightings, reply.SightingsLast = h.sightingsSince(r.SightingsSince, r.Address)
		reply.Limits = h.limitsSince(r.LimitsKnown, toHub)
		reply.Standing = h.standing(toHub)
		if h.relays() {
			reply.Tables, _ = h.news(from, r, true)
		}
		return reply, nil
	}
	h.take(from, r)
	h.takeSightings(from, r.Sightings)
	h.takeLimits(false, r.Limits, false)
	h.noteRelaying()
	reply := h.sums(from, r.ReadsSince, toHost)
	if r.WantTimings {
		reply.Timings = h.toldTimings(from, toHost)
	}
	reply.Standing = h.standing(toHost)
	reply.Lease, reply.Rooted = h.lease(from, r.Holds), h.rooted()
	reply.Limits = h.limitsSince(r.LimitsKnown, toHost)
	reply.Assigned = h.assign(from, r)
	reply.Relays = h.relaysTo(from)
	reply.Tables, reply.Later = h.news(from, r, reply.Relays)
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
	h.reports[from] = received{report: r, at: boottime.Now(), hosts: max(1, r.Hosts)}
	h.reads.add(from, false, r.Reads)
	h.takeTimings(from, r.Timings)
}

// readsSince is what others than the host read after a number, and the number of the last.
func (h *hub) readsSince(number uint64, self string, who audience) (Reads, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads.since(number, self, who), h.reads.last
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

// relays says whether enough hosts rely on this one, by their own reports or over hubs that
// report here for them.
func (h *hub) relays() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reporters().hosts >= minFollowers
}

// noteRelaying has the tables' watchers ask the store more often at once when hosts begin
// to rely on this one: a call that the store holds for long tells them nothing meanwhile.
func (h *hub) noteRelaying() {
	relays := h.relays()
	if relays == h.relaying.Swap(relays) || !relays {
		return
	}
	for _, w := range h.tables {
		w.Hurry()
	}
}

// followers counts the hosts that report here, this one included. A hub that reports
// for others is one.
func (h *hub) followers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reporters().all
}

// reporters counts the hosts that report here, the hubs among them, and the hosts for which all
// of them speak.
type reporters struct{ all, hubs, hosts int }

// reporters counts those of now. The lock is held.
func (h *hub) reporters() (n reporters) {
	h.dropOld()
	for _, got := range h.reports {
		if got.fromHub {
			continue
		}
		n.all++
		n.hosts += got.hosts
		if got.hosts > 1 {
			n.hubs++
		}
	}
	return n
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
		if boottime.Since(got.at) > WorkAge {
			delete(h.reports, host)
		}
	}
}
