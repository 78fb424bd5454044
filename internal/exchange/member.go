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
	"github.com/quetzalweir/quetzalweir/returnschedule"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Options configures a Member.
type Options struct {
	// Host and Zone are this host's name and availability zone.
	Host string
	Zone string
	// Listen is the address at which other hosts reach this one. Seeds are the addresses of the
	// hosts that may be hubs without being appointed; some of the addresses may be out of date.
	Listen string
	Seeds  []string
	// MaxConns is the maximum number of connections that other hosts open to this one; 0 for the default
	// of package peer.
	MaxConns int
	// LinkMbps is the bandwidth of this host's network link in Mbit/s. Cores is the number of
	// processor cores that the host may use. Each is 0 if unknown.
	LinkMbps float64
	Cores    float64
	// Keys is the store's table that holds the key with which hosts authenticate to each other.
	Keys storage.Table
	// Tables holds the watchers of the store's tables by table name.
	Tables map[string]*feed.Watcher
	// Work returns this host's own work in flight by upstream.
	Work func() Work
	// OnWork receives the sum of the other hosts' work in flight by upstream, as of the given
	// time. It isn't called while no hub answers.
	OnWork func(work Work, at time.Time)
	// OnHostCount receives the number of hosts that this host has data of, including itself. It
	// may be nil.
	OnHostCount func(n int)
	// SentPrefixes returns the shared prompt prefixes that this host has sent to upstreams for the
	// first time since the last call. OnSentPrefixes receives those of the other hosts. Both may
	// be nil.
	SentPrefixes   func() SentPrefixes
	OnSentPrefixes func(SentPrefixes)
	// Timings returns the speeds of models that this host measured. OnTimings receives the sums
	// over the other hosts' measurements. Both may be nil.
	Timings   func() Timings
	OnTimings func(Timings)
	// Engines returns the state of engines by this host's requests, with the given slice of the
	// slowdowns, or nil if it places no prompts by them. OnEngines receives the sums over the
	// other hosts, as of the given time. Both may be nil.
	Engines   func(slice int) *EngineStates
	OnEngines func(states *EngineStates, at time.Time)
	// AccountUse returns the client accounts' use of engine time at this host. OnAccountUse receives
	// the sums over the other hosts. Both may be nil; they are called only if Timings is set.
	AccountUse   func() AccountUse
	OnAccountUse func(AccountUse)
	// RelaysConns reports whether this host reaches upstreams and relays connections for other hosts,
	// which RelayDialer opens. NeedsRelayHosts reports whether this host needs other hosts for that. All
	// three may be nil.
	RelaysConns     func() bool
	NeedsRelayHosts func() bool
	RelayDialer     peer.RelayDialer
	// FirstStart reports that the whole installation starts for the first time, so that the
	// seeds have yet to create the key.
	FirstStart bool
	// RootGrants returns the grants that one root hub holds for all leased upstreams, given the
	// number of root hubs. OnHolding receives the grants that this host holds, and when it last
	// held grants that derived from a root hub. Both may be nil.
	RootGrants func(roots int) []ratelease.Grant
	OnHolding  func(holding ratelease.Holding, rootedAt time.Time)
	// Limits returns the limit updates to send to the hub, from what this host's upstreams
	// announced; each is returned once. KnownLimits returns all limits that this host has.
	// OnLimits receives the limit updates that the hub sent; complete reports that they are all
	// limits of the hub, so that any other limit has ended. All three may be nil.
	Limits      func() []ratelease.LimitUpdate
	KnownLimits func() []ratelease.LimitUpdate
	OnLimits    func(updates []ratelease.LimitUpdate, complete bool)
	// Leaving returns the upstreams that stated to this host, since the last call, that they are
	// leaving. OnLeaving receives those that stated it to other hosts. Both may be nil.
	Leaving   func() []LeavingUpstream
	OnLeaving func([]LeavingUpstream)
	// Promises returns the reservations for rejected requests that this host made since the last
	// call. OnPromises receives those of other hosts. Both may be nil.
	Promises   func() []returnschedule.Promise
	OnPromises func([]returnschedule.Promise)
	// Quarantine tracks poison requests. It may be nil.
	Quarantine Quarantine
	// Evidence returns the answers that this host counted in the roll-outs in progress.
	// OnEvidence receives the sums over the other hosts' counts. Both may be nil.
	Evidence   func() []Evidence
	OnEvidence func([]Evidence)
}

// Member takes part in the exchange on behalf of one host. Its ownHub is the hub that this host
// runs for its followers.
type Member struct {
	options Options
	ownHub  *hub
	log     zerolog.Logger
	// seedZones holds the zones of the seeds that have answered, by the seed's address.
	seedZones map[string]string
	// hubAddress is the address of the hub that this host reports to; it is empty without one,
	// and this host's own address if the host is a seed that chose itself. chosenSeed is the
	// seed that findHub chose, which may have assigned this host to another hub. avoidUntil
	// holds, by address, the hubs that failed to answer and the time until which this host
	// accepts no assignment to them.
	hubAddress string
	chosenSeed string
	avoidUntil map[string]time.Time
	// nextProbeAt is when the next probe of the seeds is due. failedProbes is the number of
	// consecutive probes that no seed answered, up to maxProbeDoublings.
	nextProbeAt  time.Time
	failedProbes int
	// hubChosenAt is when this host began to report to the current hub. Until the previous
	// hub's copy of this host's evidence has expired, the new hub isn't sent any: if a few bad
	// answers were counted twice, they could stop a sound version.
	hubChosenAt time.Time

	// unsentPrefixes holds the prefixes from Options.SentPrefixes that the hub hasn't received
	// yet. hubPrefixSeq is the sequence number of the last entry in the hub's prefix log that
	// this host received. The next two fields are sequence numbers in the prefix log of ownHub,
	// for a host with followers: ownHubPrefixSeq of the last entry that was passed to
	// OnSentPrefixes, and forwardedPrefixSeq of the last entry that was forwarded to this host's
	// hub.
	unsentPrefixes     SentPrefixes
	hubPrefixSeq       uint64
	ownHubPrefixSeq    uint64
	forwardedPrefixSeq uint64
	// hubGrants holds the grants in the hub's last reply, for this host and its followers.
	// holding is this host's own part of them.
	hubGrants Grants
	holding   ratelease.Holding
	// hubLimitReader reads the limit log of this host's hub, and ownHubLimitReader reads that of
	// ownHub. forwardedLimitsCursor is the position in the limit log of ownHub up to which the
	// log was forwarded to this host's hub.
	hubLimitReader, ownHubLimitReader ratelease.LogReader
	forwardedLimitsCursor             ratelease.LogCursor
	// unsentLimits holds limit updates that the hub hasn't received yet.
	unsentLimits []ratelease.LimitUpdate
	// unsentLeaving holds the leaving upstreams that the hub hasn't received yet. The sequence
	// numbers are those of the last entries that this host received from its hub's log, passed from
	// ownHub's log to OnLeaving, and forwarded from ownHub's log to its hub.
	unsentLeaving                                        []LeavingUpstream
	hubLeavingSeq, ownHubLeavingSeq, forwardedLeavingSeq uint64
	// unsentPromises and the sequence numbers are the same for reservations.
	unsentPromises                                       []returnschedule.Promise
	hubPromiseSeq, ownHubPromiseSeq, forwardedPromiseSeq uint64
	// hasFollowers reports whether other hosts reported to this one at the time of the last
	// exchange.
	hasFollowers bool
	// reportCount is the number of reports since the start.
	reportCount int
	// unsentSightings holds the sightings that the hub hasn't received yet. For a host with
	// followers, forwardedSightingSeq is the sequence number of the last entry in the sighting
	// log of ownHub that was forwarded to this host's hub.
	unsentSightings      Sightings
	forwardedSightingSeq uint64

	// incoming holds the table updates that the hub sends in parts. requested holds the requests for
	// changes in its last reply.
	incoming  incomingTransfers
	requested map[string]TableRequest
	// wasRequested reports whether the hub's reply had requests at the last call of requestsBegan.
	wasRequested bool
	// heldBriefly is the result of HoldsBriefly at the time of the last exchange. hubOutdated reports
	// whether the hub stated in its last reply that its tables are outdated.
	heldBriefly bool
	hubOutdated atomic.Bool
	// behindLoggedAt is when logFollowersBehind last looked for followers that are behind.
	behindLoggedAt time.Time

	// hubAnswered reports whether the hub answered the last report. publishedHubAddress is a
	// copy of hubAddress for goroutines other than that of Run.
	hubAnswered         atomic.Bool
	publishedHubAddress atomic.Pointer[string]
	// seedsAnswered reports whether all other seeds answered the last query that this host sent
	// them.
	seedsAnswered atomic.Bool

	// client calls other hosts, and server handles their calls; both are nil until the key is known.
	client atomic.Pointer[peer.Client]
	server atomic.Pointer[peer.Server]

	mu sync.Mutex
	// relayHosts are hosts that relay connections to upstreams, the most recently named first.
	relayHosts []RelayHost
	// seedQueries holds the state of the queries to the other seeds, by address.
	seedQueries map[string]*seedQuery
}

// New returns a member; Run runs it.
func New(options Options, log zerolog.Logger) *Member {
	return &Member{
		options: options, log: log, ownHub: newHub(options, log), seedZones: make(map[string]string),
		avoidUntil: make(map[string]time.Time), unsentPrefixes: make(SentPrefixes), seedQueries: make(map[string]*seedQuery), incoming: make(incomingTransfers),
	}
}

// Relays reports whether enough hosts depend on this one for it to relay table updates to them.
func (m *Member) Relays() bool { return m.ownHub.relays() }

// HubAnswered reports whether the hub answered the last report.
func (m *Member) HubAnswered() bool { return m.hubAnswered.Load() }

// Hub returns the address of the hub that this host reports to, or "" without one.
func (m *Member) Hub() string {
	if hub := m.publishedHubAddress.Load(); hub != nil {
		return *hub
	}
	return ""
}

// ReporterCount returns the number of hosts that report to this one, including itself.
func (m *Member) ReporterCount() int { return m.ownHub.reporterCount() }

// Run takes part in the exchange until the context ends.
func (m *Member) Run(ctx context.Context) {
	key, err := m.awaitKey(ctx)
	if err != nil {
		return // the context ended
	}
	server, err := peer.NewServer(peer.ServerOptions{Listen: m.options.Listen, Self: m.options.Host, Keys: []peer.Key{key}, MaxConns: m.options.MaxConns, RelayDialer: m.options.RelayDialer})
	if err != nil {
		m.log.Error().Str("event", "exchange-off").Err(err).Msg("")
		return
	}
	peer.Handle(server, exchangeMethod, m.ownHub.handleReport)
	client, err := peer.NewClient(peer.ClientOptions{Self: m.options.Host, Keys: []peer.Key{key}, DialTimeout: callTimeout})
	if err != nil {
		m.log.Error().Str("event", "exchange-off").Err(err).Msg("")
		return
	}
	m.client.Store(client)
	m.server.Store(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	keyLoopDone := make(chan struct{})
	go func() {
		defer close(keyLoopDone)
		m.restoreKey(ctx, key)
	}()
	m.exchangeLoop(ctx, peerNetwork{client})
	<-keyLoopDone
	if err := errors.Join(client.Close(), <-served); err != nil {
		m.log.Warn().Str("event", "exchange-end").Err(err).Msg("")
	}
}

// nextReport returns the next report to the hub: this host's state, and its unsent prefixes,
// sightings, limits, leaving upstreams and reservations.
func (m *Member) nextReport() Report {
	if m.options.SentPrefixes != nil {
		m.unsentPrefixes.add(m.options.SentPrefixes())
	}
	m.collectSightings()
	report := m.ownReport()
	report.SentPrefixes, report.Sightings = m.unsentPrefixes, m.unsentSightings
	report.Limits, report.Leaving = m.nextLimitUpdates(), m.nextLeaving()
	report.Promises = m.nextPromises()
	if m.reportCount++; m.options.Timings != nil && m.reportCount%exchangesPerTimings == 1 {
		report.WantTimings, report.Timings, report.AccountUse = true, m.options.Timings(), m.nextAccountUse()
	}
	report.Engines = m.nextEngines()
	report.WantRelayHosts = m.wantsRelayHosts()
	return report
}

// ownReport returns the part of a report that describes this host's current state.
func (m *Member) ownReport() Report {
	report := Report{
		Zone: m.options.Zone, Address: m.options.Listen, Strength: m.options.LinkMbps * m.options.Cores,
		Work: m.options.Work(), Revisions: m.revisions(),
	}
	m.addTableSupport(&report, m.incoming)
	if m.options.RelaysConns != nil {
		report.RelaysConns = m.options.RelaysConns()
	}
	if m.options.Evidence != nil && m.previousHubExpired() {
		report.Evidence = m.options.Evidence()
	}
	return report
}

// previousHubExpired reports whether the previous hub has dropped this host's last report by
// now, so that only the current hub counts this host.
func (m *Member) previousHubExpired() bool { return boottime.Since(m.hubChosenAt) > MaxWorkAge }

// revisions returns, by table name, the newest revisions of the store's tables that this host
// has.
func (m *Member) revisions() map[string]storage.Revision {
	revisions := make(map[string]storage.Revision, len(m.options.Tables))
	for name, w := range m.options.Tables {
		revisions[name] = w.Revision()
	}
	return revisions
}
