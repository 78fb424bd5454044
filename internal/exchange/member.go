package exchange

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Options configures a Member.
type Options struct {
	// Host and Zone are this host's name and availability zone.
	Host string
	Zone string
	// Listen is the address for other hosts. Seeds are the addresses of the hosts that may be
	// hubs; some may be out of date.
	Listen string
	Seeds  []string
	// LinkMbps is the bandwidth of this host's network link in Mbit/s, Cores the number of
	// processor cores that it may use. Both are 0 if unknown.
	LinkMbps float64
	Cores    float64
	// Keys is the store's table that holds the key with which hosts authenticate to each other.
	Keys storage.Table
	// Tables holds the watchers of the store's tables by table name.
	Tables map[string]*feed.Watcher
	// Work returns this host's own work in flight by upstream.
	Work func() Work
	// OnWork receives the other hosts' work by upstream, as of the given time. It isn't called
	// while no hub answers.
	OnWork func(work Work, at time.Time)
	// OnHostCount receives the number of hosts, including this one. It may be nil.
	OnHostCount func(n int)
	// Reads returns the shared prompt prefixes that were sent to upstreams for the first time
	// since the last call. OnReads receives the other hosts' reads. Both may be nil.
	Reads   func() Reads
	OnReads func(Reads)
	// Timings returns the speeds of models that this host measured. OnTimings receives the
	// other hosts' measurements. Both may be nil.
	Timings   func() Timings
	OnTimings func(Timings)
	// FirstStart reports that the whole installation starts for the first time, so the key is
	// yet to be created.
	FirstStart bool
	// RootGrants returns the grants of one root, out of the given number of roots, for all leased
	// upstreams. OnHolding receives the grants that this host holds, and when they last
	// derived from a root of the hub tree. Both may be nil.
	RootGrants func(roots int) []ratelease.Grant
	OnHolding  func(holding ratelease.Holding, rootedAt time.Time)
	// Limits returns the limits that this host's upstreams announced and the hub hasn't sent
	// back yet. KnownLimits returns all limits that this host has. OnLimits receives the
	// limits of all hosts from the hub. All may be nil.
	Limits      func() []ratelease.LimitUpdate
	KnownLimits func() []ratelease.LimitUpdate
	OnLimits    func(updates []ratelease.LimitUpdate, whole bool)
	// Quarantine tracks the requests that end upstreams. It may be nil.
	Quarantine Quarantine
	// Evidence returns this host's counts for the roll-outs in progress. OnEvidence receives
	// the other hosts' counts. Both may be nil.
	Evidence   func() []Evidence
	OnEvidence func([]Evidence)
}

// Member takes part in the exchange on behalf of one host.
type Member struct {
	options Options
	hub     *hub
	log     zerolog.Logger
	// seedZones holds the zones of the seeds that have answered, by address.
	seedZones map[string]string
	// current is the address of this host's hub, empty without one. homeSeed is the seed that
	// findHub chose; it may have assigned another hub. avoidUntil holds the hubs that didn't
	// answer, and the times until which this host accepts no assignment to them.
	current    string
	homeSeed   string
	avoidUntil map[string]time.Time
	// nextProbeAt is when the next probe of the seeds is due. failedProbes counts consecutive
	// probes that no seed answered.
	nextProbeAt  time.Time
	failedProbes int
	// hubSince is when the current hub was chosen. Until the previous hub's copy of this host's
	// evidence has expired, none is sent to the new one: counted twice, a few bad answers could
	// stop a sound version.
	hubSince time.Time

	// unsentReads holds the reads that the hub hasn't received yet. hubReadsSeq is the sequence
	// number of the last of the hub's reads that this host has. For a host with followers,
	// ownHubReadsSeq is the same for its own hub, and forwardedReadsSeq is the number of its
	// own hub's last read that was forwarded to the hub above.
	unsentReads       Reads
	hubReadsSeq       uint64
	ownHubReadsSeq    uint64
	forwardedReadsSeq uint64
	// granted holds the hub's last grants; holding is this host's own part of them.
	granted Grants
	holding ratelease.Holding
	// limits tracks the hub's log of limits, ownLimits that of this host's own hub.
	// forwardedLimitsMark is the position in the own hub's log up to which it was forwarded to
	// the hub above.
	limits, ownLimits   ratelease.LogReader
	forwardedLimitsMark ratelease.LogCursor
	// unsentLimits holds limit updates that the hub hasn't received yet.
	unsentLimits []ratelease.LimitUpdate
	// hasFollowers reports whether other hosts report to this one.
	hasFollowers bool
	// exchanges counts the reports.
	exchanges int
	// unsentSightings holds the sightings that the hub hasn't received yet. For a host with
	// followers, forwardedSightingsSeq is the number of its own hub's last sighting that was
	// forwarded to the hub above.
	unsentSightings       Sightings
	forwardedSightingsSeq uint64

	// hubAnswered reports whether the hub answered the last exchange. currentHub is a copy of
	// current that goroutines other than Run may read.
	hubAnswered atomic.Bool
	currentHub  atomic.Pointer[string]
	// seedsAnswered reports whether all other seeds answered this one's last queries.
	seedsAnswered atomic.Bool

	mu sync.Mutex
	// hubQueries holds the state of the queries to the other hubs, by address.
	hubQueries map[string]*hubQuery
}

// New returns a member; Run runs it.
func New(options Options, log zerolog.Logger) *Member {
	return &Member{
		options: options, log: log, hub: newHub(options, log), seedZones: make(map[string]string),
		avoidUntil: make(map[string]time.Time), unsentReads: make(Reads), hubQueries: make(map[string]*hubQuery),
	}
}

// Relays reports whether other hosts depend on this one for table updates.
func (m *Member) Relays() bool { return m.hub.relays() }

// HubAnswered reports whether the hub answered the last exchange.
func (m *Member) HubAnswered() bool { return m.hubAnswered.Load() }

// Hub returns the address of this host's hub, or "" without one.
func (m *Member) Hub() string {
	if hub := m.currentHub.Load(); hub != nil {
		return *hub
	}
	return ""
}

// Followers returns the number of hosts that report to this one, including itself.
func (m *Member) Followers() int { return m.hub.followers() }

// Run takes part in the exchange until the context ends.
func (m *Member) Run(ctx context.Context) {
	key, err := m.awaitKey(ctx)
	if err != nil {
		return // the context ended
	}
	server, err := peer.NewServer(peer.ServerOptions{Listen: m.options.Listen, Self: m.options.Host, Keys: []peer.Key{key}})
	if err != nil {
		m.log.Error().Str("event", "exchange-off").Err(err).Msg("")
		return
	}
	peer.Handle(server, method, m.hub.exchange)
	client, err := peer.NewClient(peer.ClientOptions{Self: m.options.Host, Keys: []peer.Key{key}, DialTimeout: callTimeout})
	if err != nil {
		m.log.Error().Str("event", "exchange-off").Err(err).Msg("")
		return
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	keyLoopDone := make(chan struct{})
	go func() {
		defer close(keyLoopDone)
		m.restoreKey(ctx, key)
	}()
	m.follow(ctx, peerNetwork{client})
	<-keyLoopDone
	if err := errors.Join(client.Close(), <-served); err != nil {
		m.log.Warn().Str("event", "exchange-end").Err(err).Msg("")
	}
}

// report returns the next report: this host's state and its unsent reads, sightings and limits.
func (m *Member) report() Report {
	if m.options.Reads != nil {
		m.unsentReads.add(m.options.Reads())
	}
	m.collectSightings()
	report := m.ownReport()
	report.Reads, report.Sightings = m.unsentReads, m.unsentSightings
	report.Limits = m.nextLimitUpdates()
	if m.exchanges++; m.options.Timings != nil && m.exchanges%timingsEvery == 1 {
		report.WantTimings, report.Timings = true, m.options.Timings()
	}
	return report
}

// ownReport returns the part of the report that holds this host's current state.
func (m *Member) ownReport() Report {
	report := Report{
		Zone: m.options.Zone, Address: m.options.Listen, Strength: m.options.LinkMbps * m.options.Cores,
		Work: m.options.Work(), Revisions: m.revisions(),
	}
	if m.options.Evidence != nil && m.previousHubExpired() {
		report.Evidence = m.options.Evidence()
	}
	return report
}

// previousHubExpired reports whether the previous hub has dropped this host's report, so that
// only the current one has it.
func (m *Member) previousHubExpired() bool { return boottime.Since(m.hubSince) > WorkAge }

// revisions returns the newest revisions of the store's tables that this host has.
func (m *Member) revisions() map[string]storage.Revision {
	revisions := make(map[string]storage.Revision, len(m.options.Tables))
	for name, w := range m.options.Tables {
		revisions[name] = w.Revision()
	}
	return revisions
}
