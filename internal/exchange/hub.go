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
	"github.com/quetzalweir/quetzalweir/storage"
)

// hub receives the reports of other hosts, and of this one, and returns the replies. Every host
// runs one, whether or not other hosts report to it.
type hub struct {
	// self is this host's name; linkMbps is the bandwidth of its network link in Mbit/s. tables
	// holds the watchers of the store's tables by table name.
	self     string
	zone     string
	linkMbps float64
	tables   map[string]*feed.Watcher
	// transfers holds the updates of tables that are sent in parts.
	transfers outgoingTransfers
	// quarantine receives the followers' sightings. It may be nil.
	quarantine Quarantine
	log        zerolog.Logger

	// wasRelaying is the result of relays when updateRelaying last called it.
	wasRelaying atomic.Bool
	// receivesTables reports whether another hub relays table updates to this host.
	receivesTables atomic.Bool

	mu           sync.Mutex
	reports      map[string]receivedReport
	sentPrefixes prefixLog
	timings      map[string]Timings
	engines      map[string]*receivedEngines
	// loadSums holds the sums over the engine loads for each audience.
	loadSums [toHub + 1]loadSums
	// accountUse has the keys of reports.
	accountUse map[string]hostAccountUse
	// sightings holds the sightings received from hosts and other hubs, to be sent to other
	// hubs.
	sightings sightingLog
	// leaving holds the upstreams that are leaving by the reports of hosts and other hubs.
	leaving leavingLog
	// promises holds the reservations that hosts and other hubs reported.
	promises promiseLog
	// relayHostsElsewhere are hosts that relay connections to upstreams and don't report here.
	relayHostsElsewhere []RelayHost
	// rowRequests holds, by table, the state of the requests for changes that other hosts have and this
	// hub lacks. incoming holds those that they send in parts.
	rowRequests map[string]*rowRequest
	incoming    incomingTransfers
	// unchanged holds, by table, the newest revision at which a host had no changes that were requested.
	unchanged map[string]storage.Revision
	// zones holds, by zone, the hubs that this one has appointed.
	zones map[string]*zoneHubs
	// lessor divides the parts of the upstreams' limits that this host holds among the hosts
	// that report here.
	lessor *ratelease.Lessor
	// limits holds the upstreams' limits that this hub has received.
	limits *ratelease.LimitLog
	// hasAllLimits reports whether this host's hub has sent its whole limit log, or this host is
	// a root hub.
	hasAllLimits bool
	startedAt    time.Time
	// lastRootedAt is when this host last held grants that derived from a root hub.
	lastRootedAt time.Time
}

// receivedReport is a host's latest report, or the data about other hosts in a reply from
// another hub. hub.reports holds it under the host's name or, for another hub, under the result
// of hubKey. hub.timings and hub.engines have the same keys.
type receivedReport struct {
	report Report
	at     time.Time
	// fromHub marks the data from another hub's reply, either to this hub's query or to this
	// host's report. hosts is the number of hosts that the data cover.
	fromHub bool
	hosts   int
}

// audience is the kind of receiver that data are sent to.
type audience int

const (
	// toHost stands for a host that reports here. It receives the data of all other hosts.
	toHost audience = iota
	// toHub stands for another hub. It receives only the data of this hub's own followers, and
	// adds up the sums of all hubs itself, so that no host is counted twice.
	toHub
)

// includes reports whether the report's data are sent to the audience.
func (a audience) includes(r receivedReport) bool { return a == toHost || !r.fromHub }

// maxReportedUpstreams bounds the upstreams in a reply. The upstreams with the most work are
// kept. At 8 bytes for each upstream in each reply, this bound keeps a host within the 7 KB a
// second allowed for control traffic.
const maxReportedUpstreams = 100

func newHub(options Options, log zerolog.Logger) *hub {
	return &hub{
		self: options.Host, zone: options.Zone, linkMbps: options.LinkMbps, tables: options.Tables, quarantine: options.Quarantine, log: log,
		reports: make(map[string]receivedReport), timings: make(map[string]Timings), engines: make(map[string]*receivedEngines), accountUse: make(map[string]hostAccountUse), zones: make(map[string]*zoneHubs),
		rowRequests: make(map[string]*rowRequest), incoming: make(incomingTransfers), unchanged: make(map[string]storage.Revision),
		lessor: ratelease.NewLessor(boottime.Now()), limits: ratelease.NewLimitLog(uint64(rand.Uint32())), startedAt: boottime.Now(),
	}
}

// handleReport stores a host's report and returns the reply. It also answers probes, and
// queries by other hubs.
func (h *hub) handleReport(_ context.Context, from string, r Report) (Reply, error) {
	switch {
	case r.Probe:
		return Reply{Zone: h.zone}, nil
	case r.HubQuery:
		reply := h.otherSums(from, r.SentPrefixesSince, toHub)
		if r.WantTimings {
			reply.Timings, reply.AccountUse = h.otherTimings(from, toHub), h.otherAccountUse(from, toHub)
		}
		reply.Engines = h.answerEngines(from, r, toHub)
		reply.Sightings, reply.SightingsLast = h.sightingsSince(r.SightingsSince, r.Address)
		reply.Limits = h.limitsSince(r.LimitsCursor, toHub)
		reply.Leaving, reply.LeavingLast = h.leavingSince(r.LeavingSince, from, toHub)
		reply.Promises, reply.PromisesLast = h.promisesSince(r.PromisesSince, from, toHub)
		reply.QuarantineStatus = h.quarantineStatus(toHub)
		if r.WantRelayHosts {
			reply.RelayHosts = h.namedRelayHosts(from, toHub)
		}
		reply.Tables, _ = h.tableUpdates(from, r, h.relays())
		reply.Outdated = h.isOutdated()
		return reply, nil
	}
	h.record(from, r)
	h.recordSightings(from, r.Sightings)
	h.recordLimits(false, r.Limits, false)
	h.recordLeaving(from, false, r.Leaving)
	h.recordPromises(from, false, r.Promises)
	h.updateRelaying()
	h.receiveRequested(from, r.Tables)
	reply := h.otherSums(from, r.SentPrefixesSince, toHost)
	if r.WantTimings {
		reply.Timings, reply.AccountUse = h.otherTimings(from, toHost), h.otherAccountUse(from, toHost)
	}
	reply.Engines = h.answerEngines(from, r, toHost)
	reply.QuarantineStatus = h.quarantineStatus(toHost)
	if r.WantRelayHosts {
		reply.RelayHosts = h.namedRelayHosts(from, toHost)
	}
	reply.Lease, reply.Rooted = h.leaseFor(from, r.GrantsDigest), h.rooted()
	reply.Limits = h.limitsSince(r.LimitsCursor, toHost)
	reply.Leaving, reply.LeavingLast = h.leavingSince(r.LeavingSince, from, toHost)
	reply.Promises, reply.PromisesLast = h.promisesSince(r.PromisesSince, from, toHost)
	reply.Outdated = h.isOutdated()
	reply.Assigned = h.assign(from, r)
	reply.Relays = h.relaysTo(from)
	reply.Tables, reply.TablePending = h.tableUpdates(from, r, reply.Relays)
	reply.Requested = h.tableRequests(from, r)
	return reply, nil
}

// otherSums returns the part of a reply that holds the sums over all hosts except self, and the
// entries of the prefix log after the sequence number prefixesSince.
func (h *hub) otherSums(self string, prefixesSince uint64, to audience) Reply {
	reply := Reply{Zone: h.zone, Hosts: h.hostCount(to), Work: h.otherWork(self, to), Evidence: h.otherEvidence(self, to)}
	reply.SentPrefixes, reply.SentPrefixesLast = h.sentPrefixesSince(prefixesSince, self, to)
	return reply
}

// record stores a host's report in place of its previous one.
func (h *hub) record(from string, r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[from] = receivedReport{report: r, at: boottime.Now(), hosts: max(1, r.Hosts)}
	h.sentPrefixes.add(from, false, r.SentPrefixes)
	h.recordTimings(from, r.Timings)
	h.recordEngines(from, r.Engines)
	h.recordAccountUse(from, r.AccountUse)
}

// sentPrefixesSince returns the entries of the prefix log after the sequence number that came
// from hosts other than self, and the last sequence number.
func (h *hub) sentPrefixesSince(seq uint64, self string, to audience) (SentPrefixes, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sentPrefixes.since(seq, self, to)
}

// otherWork returns the sum of the work in flight of all hosts except self, by upstream. It
// includes hosts of all zones, since a host may send requests to upstreams of any zone.
func (h *hub) otherWork(self string, to audience) Work {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	sum := make(Work)
	for host, received := range h.reports {
		if host == self || !to.includes(received) {
			continue
		}
		for upstream, work := range received.report.Work {
			sum[upstream] += work
		}
	}
	return busiest(sum, maxReportedUpstreams)
}

// busiest returns the entries of the upstreams with the most work: as many as limit, or more if
// several upstreams have the same work as the last of these.
func busiest(work Work, limit int) Work {
	if len(work) <= limit {
		return work
	}
	amounts := slices.Sorted(maps.Values(work))
	smallestKept := amounts[len(amounts)-limit]
	kept := make(Work, limit)
	for id, w := range work {
		if w >= smallestKept {
			kept[id] = w
		}
	}
	return kept
}

// relays reports whether this hub relays table updates: whether the hosts that report here,
// together with those that they report for, number at least minHostsPerHub.
func (h *hub) relays() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.countReporters().represented >= minHostsPerHub
}

// updateRelaying makes the tables' watchers query the store more often as soon as this hub
// starts to relay, by canceling the calls that the store may hold for a long time. Such a call
// would delay the first update.
func (h *hub) updateRelaying() {
	relays := h.relays()
	if relays == h.wasRelaying.Swap(relays) || !relays {
		return
	}
	for _, w := range h.tables {
		w.ShortenHold()
	}
}

// reporterCount returns the number of hosts that report here, including this one. A hub that
// reports on behalf of others counts as one.
func (h *hub) reporterCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.countReporters().reporters
}

// reporterCounts holds the number of hosts that report here, the number of hubs among them, and
// the number of hosts that all of them report for.
type reporterCounts struct{ reporters, hubs, represented int }

// countReporters counts the reports that haven't expired. The caller holds the lock.
func (h *hub) countReporters() (counts reporterCounts) {
	h.dropExpired()
	for _, received := range h.reports {
		if received.fromHub {
			continue
		}
		counts.reporters++
		counts.represented += received.hosts
		if received.hosts > 1 {
			counts.hubs++
		}
	}
	return counts
}

// hostCount returns the number of hosts whose data are sent to the audience.
func (h *hub) hostCount(to audience) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	n := 0
	for _, received := range h.reports {
		if to.includes(received) {
			n += received.hosts
		}
	}
	return n
}

// dropExpired drops the reports that are older than MaxWorkAge. The caller holds the lock.
func (h *hub) dropExpired() {
	for host, received := range h.reports {
		if boottime.Since(received.at) > MaxWorkAge {
			delete(h.reports, host)
		}
	}
}
