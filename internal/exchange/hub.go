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
	// self is this host's name; linkMbps is the bandwidth of its network link.
	self     string
	zone     string
	linkMbps float64
	tables   map[string]*feed.Watcher
	// quarantine receives the followers' sightings. It may be nil.
	quarantine Quarantine
	log        zerolog.Logger

	// wasRelaying is the last result of relays.
	wasRelaying atomic.Bool
	// receivesTables reports whether another hub relays table updates to this one.
	receivesTables atomic.Bool

	mu      sync.Mutex
	reports map[string]receivedReport
	reads   readLog
	timings map[string]Timings
	// sightings holds the received sightings, for other hubs.
	sightings sightingLog
	// zones holds the hubs that this one has named, by zone.
	zones map[string]*zoneHubs
	// lessor divides the parts of the upstreams' limits that this host holds among the hosts
	// that report here.
	lessor *ratelease.Lessor
	// limits holds the upstreams' limits that this hub has received.
	limits *ratelease.LimitLog
	// hasAllLimits reports whether the hub that this one reports to has sent all its limits, or
	// this host is a root.
	hasAllLimits bool
	startedAt    time.Time
	// lastRootedAt is when this host's grants last derived from a root of the hub tree.
	lastRootedAt time.Time
}

// receivedReport is a host's latest report, or another hub's data on its followers.
type receivedReport struct {
	report Report
	at     time.Time
	// fromHub marks data from another hub's reply, to a query or to a report. hosts is the
	// number of hosts that the data cover.
	fromHub bool
	hosts   int
}

// audience is the kind of host that data are sent to.
type audience int

const (
	// toHost: a host receives the data of all others.
	toHost audience = iota
	// toHub: another hub receives only the data of this hub's own followers. It adds up the
	// hubs' sums itself, so nothing is counted twice.
	toHub
)

// includes reports whether the report is sent to the audience.
func (a audience) includes(r receivedReport) bool { return a == toHost || !r.fromHub }

// maxReportedUpstreams bounds the upstreams whose work is sent to a host, the busiest first.
// With 8 bytes for each upstream in each reply, this keeps a host within the 7 KB a second
// allowed for control traffic.
const maxReportedUpstreams = 100

func newHub(options Options, log zerolog.Logger) *hub {
	return &hub{
		self: options.Host, zone: options.Zone, linkMbps: options.LinkMbps, tables: options.Tables, quarantine: options.Quarantine, log: log,
		reports: make(map[string]receivedReport), timings: make(map[string]Timings), zones: make(map[string]*zoneHubs),
		lessor: ratelease.NewLessor(boottime.Now()), limits: ratelease.NewLimitLog(uint64(rand.Uint32())), startedAt: boottime.Now(),
	}
}

// exchange records a host's report and answers it, or answers another hub's query.
func (h *hub) exchange(_ context.Context, from string, r Report) (Reply, error) {
	switch {
	case r.Probe:
		return Reply{Zone: h.zone}, nil
	case r.Hub:
		reply := h.otherSums(from, r.ReadsSince, toHub)
		if r.WantTimings {
			reply.Timings = h.otherTimings(from, toHub)
		}
		reply.Sightings, reply.SightingsLast = h.sightingsSince(r.SightingsSince, r.Address)
		reply.Limits = h.limitsSince(r.LimitsCursor, toHub)
		reply.QuarantineStatus = h.quarantineStatus(toHub)
		if h.relays() {
			reply.Tables, _ = h.tableUpdates(from, r, true)
		}
		return reply, nil
	}
	h.record(from, r)
	h.recordSightings(from, r.Sightings)
	h.recordLimits(false, r.Limits, false)
	h.updateRelaying()
	reply := h.otherSums(from, r.ReadsSince, toHost)
	if r.WantTimings {
		reply.Timings = h.otherTimings(from, toHost)
	}
	reply.QuarantineStatus = h.quarantineStatus(toHost)
	reply.Lease, reply.Rooted = h.leaseFor(from, r.GrantsDigest), h.rooted()
	reply.Limits = h.limitsSince(r.LimitsCursor, toHost)
	reply.Assigned = h.assign(from, r)
	reply.Relays = h.relaysTo(from)
	reply.Tables, reply.TablePending = h.tableUpdates(from, r, reply.Relays)
	return reply, nil
}

// otherSums returns the part of a reply that sums up the other hosts' data.
func (h *hub) otherSums(self string, readsSince uint64, to audience) Reply {
	reply := Reply{Zone: h.zone, Hosts: h.hostCount(to), Work: h.otherWork(self, to), Evidence: h.otherEvidence(self, to)}
	reply.Reads, reply.ReadsLast = h.readsSince(readsSince, self, to)
	return reply
}

// record replaces a host's last report.
func (h *hub) record(from string, r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[from] = receivedReport{report: r, at: boottime.Now(), hosts: max(1, r.Hosts)}
	h.reads.add(from, false, r.Reads)
	h.recordTimings(from, r.Timings)
}

// readsSince returns the reads of hosts other than self after the sequence number, and the last
// sequence number.
func (h *hub) readsSince(number uint64, self string, to audience) (Reads, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads.since(number, self, to), h.reads.last
}

// otherWork sums the work of all hosts except self, of any zone: a host may send requests to
// upstreams of any zone.
func (h *hub) otherWork(self string, to audience) Work {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	sum := make(Work)
	for host, got := range h.reports {
		if host == self || !to.includes(got) {
			continue
		}
		for upstream, work := range got.report.Work {
			sum[upstream] += work
		}
	}
	return busiest(sum, maxReportedUpstreams)
}

// busiest keeps the upstreams with the most work.
func busiest(work Work, limit int) Work {
	if len(work) <= limit {
		return work
	}
	amounts := slices.Sorted(maps.Values(work))
	least := amounts[len(amounts)-limit]
	kept := make(Work, limit)
	for id, w := range work {
		if w >= least {
			kept[id] = w
		}
	}
	return kept
}

// relays reports whether enough hosts depend on this one to relay table updates. It counts
// hosts that report here and those behind hubs that do.
func (h *hub) relays() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reporters().hosts >= minFollowers
}

// updateRelaying makes the tables' watchers query the store more often as soon as this hub
// starts to relay. Otherwise a call that the store holds for a long time would delay the first
// update.
func (h *hub) updateRelaying() {
	relays := h.relays()
	if relays == h.wasRelaying.Swap(relays) || !relays {
		return
	}
	for _, w := range h.tables {
		w.ShortenHold()
	}
}

// followers returns the number of hosts that report here, including this one. A hub that
// reports on behalf of others counts as one.
func (h *hub) followers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reporters().all
}

// reporters holds the number of hosts that report here, the number of hubs among them, and the
// number of hosts that all of them report for.
type reporters struct{ all, hubs, hosts int }

// reporters counts the current reports. The caller holds the lock.
func (h *hub) reporters() (n reporters) {
	h.dropExpired()
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

// hostCount returns the number of hosts whose data the audience receives.
func (h *hub) hostCount(to audience) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	n := 0
	for _, got := range h.reports {
		if to.includes(got) {
			n += got.hosts
		}
	}
	return n
}

// dropExpired drops the reports that are older than WorkAge. The caller holds the lock.
func (h *hub) dropExpired() {
	for host, got := range h.reports {
		if boottime.Since(got.at) > WorkAge {
			delete(h.reports, host)
		}
	}
}
