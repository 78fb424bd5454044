package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/routing"
)

// Gateway forwards requests between callers and upstreams on one host.
type Gateway struct {
	settings Settings
	log      zerolog.Logger
	metrics  *gatewayMetrics

	table    atomic.Pointer[routing.Table]
	fleet    *Fleet
	rollouts *rollouts
	// upstreamWatcher follows the table of the upstreams' entries; nil before startWatchers.
	upstreamWatcher *feed.Watcher
	peers           *exchange.Member
	budgets         lazyValues[retryBudget]
	sizes           lazyValues[promptSizes]
	// responseTimes holds the mean response times by service, model and route.
	responseTimes lazyValues[responseTime]
	// pauses holds the mean of the longest pause of each stream, by the same key.
	pauses   lazyValues[responseTime]
	pipeline next
	// guard quarantines requests whose processing ends upstreams.
	guard *guard.Guard

	transport *http.Transport

	// startedAt is the time at which the host started. initialized is closed once the host can
	// serve requests.
	startedAt   time.Time
	initialized chan struct{}

	inFlight atomic.Int64
	// hostCount is the number of hosts of the installation; 0 while it is unknown.
	hostCount atomic.Int64
	// stopping makes the server close keep-alive connections with their next answer.
	stopping atomic.Bool
	// stopExpired is set when the stop's time limit is over and the remaining answers are cut.
	stopExpired atomic.Bool
}

const (
	// dialTimeout bounds the time to connect to an upstream. Upstreams are some milliseconds away;
	// a dial that takes longer is to an upstream that is cut off or whose accept queue is full.
	dialTimeout = 250 * time.Millisecond
	// idleConnTimeout is how long an unused connection to an upstream is kept.
	idleConnTimeout = 8 * time.Second
	// idlePerUpstream bounds the unused connections to one upstream.
	idlePerUpstream = 64
	// removalMargin is subtracted from the time for which a removed upstream still serves, since a
	// request spends part of that time in transit.
	removalMargin = 500 * time.Millisecond
	// maxHeaderBytes bounds a caller's header, in bytes, before the document's own limit applies.
	maxHeaderBytes = 256 << 10
	// headerTimeout bounds the time in which a caller sends a header, idleTimeout the time for
	// which a connection stays unused.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
)

// New returns a gateway. Run starts it.
func New(settings Settings, log zerolog.Logger) *Gateway {
	g := &Gateway{settings: settings.withDefaults(), log: log, startedAt: boottime.Now(), initialized: make(chan struct{})}
	s := &g.settings
	g.metrics = newMetrics(g)
	g.fleet = NewFleet(s.DrainTime-removalMargin, log)
	g.fleet.topology = zoneTopology{zone: s.Zone, regions: s.Regions}
	g.fleet.policy.singleHost = s.Peers.Listen == ""
	g.fleet.policy.seed, g.fleet.policy.hosts = s.Host, func() int { return int(g.hostCount.Load()) }
	g.fleet.policy.coldOverrun, g.fleet.policy.coldHeadroom = s.ColdOverrun, s.ColdHeadroom
	g.rollouts = newRollouts(s, g.fleet, log)
	g.budgets.make = func() *retryBudget { return newRetryBudget(retryMargin*s.RetryRatio, s.RetryWindow, g.spareRetries) }
	g.responseTimes.make = func() *responseTime { return new(responseTime) }
	g.pauses.make = func() *responseTime { return new(responseTime) }
	g.sizes.make = func() *promptSizes { return new(promptSizes) }
	g.guard = guard.New(guard.Options{
		Host: s.Host, Table: s.Statuses, Prefix: s.Tables.VerdictsPrefix, Clock: g.storeClock, OnEvent: g.metrics.countGuardEvent, Log: log,
		OnTermination: func(i quarantine.Incarnation) { g.fleet.ejectEnded(exchange.IDHash(i)) },
	})
	g.transport = newTransport()
	g.pipeline = chain(g.filters())
	return g
}

// newTransport returns the HTTP transport for requests to upstreams.
func newTransport() *http.Transport {
	t := sealedconn.NewTransport(dialTimeout)
	t.IdleConnTimeout = idleConnTimeout
	t.MaxIdleConnsPerHost = idlePerUpstream
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, host string) (net.Conn, error) {
		return dial(ctx, network, dialAddress(host))
	}
	return t
}

// Run serves requests until the context ends, and then stops within StopTimeout.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Info().Str("event", "start").Str("callers", g.settings.CallerAddress).Str("ready", g.settings.ReadyAddress).Msg("")
	// The watchers outlive the stop request, so that requests that are still in progress are
	// routed by current data.
	watchCtx, stopWatchers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatchers()
	watchers := g.startWatchers(watchCtx)
	servers, err := g.listen()
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.server.Serve(s.listener) }()
	}
	select {
	case err := <-failed:
		return fmt.Errorf("gateway: %w", err)
	case <-ctx.Done():
	}
	g.stop(servers[0].server)
	stopWatchers()
	watchers.Wait()
	g.log.Info().Str("event", "stopped").Msg("")
	return nil
}

const (
	// operatorBatchDelay is how long changes of the operators' table are collected before the next
	// call of the store: a small part of the two seconds within which they have to take effect.
	operatorBatchDelay = 300 * time.Millisecond
	// upstreamBatchFraction is the same for the upstreams' entries, as a fraction of DrainTime,
	// the time for which a leaving upstream still serves. When a service is replaced, dozens of
	// entries change within seconds, and without the delay each change costs every host one call
	// of the store.
	upstreamBatchFraction = 0.4
	// operatorPollTimeout is the long-poll timeout for the operators' table. It differs from the
	// other watchers' timeout, so that a dead link to the store is detected by the earlier of two
	// calls.
	operatorPollTimeout = 6 * time.Second
	// firstHubUpdateTimeout is how long a host that begins to follow a table waits for its hub's
	// first update of it. A host finds its hub within half a second of its start.
	firstHubUpdateTimeout = 900 * time.Millisecond
	// firstTableTimeout is how long a host that starts waits for its hub to send the tables before
	// it reads them from the store. A hub that is up sends them within 100 ms. The wait is short
	// because it delays service when all hosts restart at once.
	firstTableTimeout = 150 * time.Millisecond
	// firstStartTableTimeout is the same for the first start of the whole installation, which has
	// no callers yet and whose hubs are found within a second.
	firstStartTableTimeout = 2 * time.Second
	// statusPollTimeout is the long-poll timeout for the status table. It is below maxStatusAge
	// with a margin for the answer: a roll-out's share is raised only while the status data is
	// recent, and its last rise takes half a second.
	statusPollTimeout = 2 * time.Second
	// sweepInterval is how often the records of removed upstreams are cleaned up.
	sweepInterval = 10 * time.Second
	// restrictionLogInterval is how often upstreams are checked for the end of their cold time or
	// rate limit, to log it. Requests don't depend on it: they compare the times themselves.
	restrictionLogInterval = 250 * time.Millisecond
)

// startWatchers starts the goroutines that keep the host's data up to date: the watchers of the
// tables, the exchange with other hosts, the roll-outs and the periodic tasks.
func (g *Gateway) startWatchers(ctx context.Context) *sync.WaitGroup {
	tables, store := g.settings.Tables, g.settings.Source
	link := feed.NewLink()
	upstreamBatchDelay := time.Duration(upstreamBatchFraction * float64(g.settings.DrainTime))
	// The notice that an upstream leaves has to take effect as quickly as an operators' document.
	common := feed.Options{Link: link, ApplyTime: min(g.settings.ApplyTime, g.settings.DrainTime)}
	if g.settings.Peers.Listen != "" {
		common.Relays = func() bool { return g.peers.Relays() }
		g.rollouts.hasFollowers = common.Relays
		common.FirstUpdateWait = firstHubUpdateTimeout
		if !slices.Contains(g.settings.Peers.Seeds, g.settings.Peers.Listen) {
			common.FirstTableWait = firstTableTimeout
			if g.settings.Peers.FirstStart {
				common.FirstTableWait = firstStartTableTimeout
			}
			common.HubAnswers = func() bool { return g.peers.HubAnswered() }
		}
	}
	statusOptions, operatorOptions, upstreamOptions := common, common, common
	statusOptions.Hold, statusOptions.Needed = statusPollTimeout, g.needsStatus
	operatorOptions.Hold, operatorOptions.BatchDelay = operatorPollTimeout, operatorBatchDelay
	upstreamOptions.BatchDelay = upstreamBatchDelay
	status := feed.NewWatcher(tables.Status, store, newStatusRows(g), statusOptions, g.log)
	g.rollouts.statuses = status
	g.upstreamWatcher = feed.NewWatcher(tables.Upstreams, store, newUpstreamRows(g), upstreamOptions, g.log)
	watchers := map[string]*feed.Watcher{
		tables.Status:    status,
		tables.Operator:  feed.NewWatcher(tables.Operator, store, newOperatorRows(g), operatorOptions, g.log),
		tables.Upstreams: g.upstreamWatcher,
	}
	group := new(sync.WaitGroup)
	if peers := &g.settings.Peers; peers.Listen != "" {
		g.peers = exchange.New(exchange.Options{
			Host: g.settings.Host, Zone: g.settings.Zone, Listen: peers.Listen, Seeds: peers.Seeds, Keys: peers.Keys,
			FirstStart: peers.FirstStart, LinkMbps: peers.LinkMbps, Cores: peers.Cores,
			Tables: watchers, Work: g.fleet.work, OnWork: g.fleet.setRemoteWork,
			OnHostCount: func(n int) { g.hostCount.Store(int64(n)) },
			Reads:       g.fleet.takeSentPrefixes, OnReads: g.fleet.addRemotePrefixes,
			RootGrants: g.fleet.LeaseGrants, OnHolding: g.fleet.SetHolding,
			Limits: g.fleet.takeLimitReports, KnownLimits: g.fleet.currentLimits, OnLimits: g.fleet.applyLimits,
			Timings: g.fleet.timings, OnTimings: g.fleet.setRemoteTimings,
			Evidence: g.rollouts.ownEvidence, OnEvidence: g.rollouts.setRemoteEvidence, Quarantine: g.guard,
		}, g.log)
		group.Go(func() { g.peers.Run(ctx) })
	}
	for table, w := range watchers {
		g.metrics.registerWatcher(table, w)
		group.Go(func() { w.Run(ctx) })
	}
	group.Go(func() { g.awaitTables(ctx) })
	group.Go(func() { wait.Every(ctx, restrictionLogInterval, g.fleet.logEndedRestrictions) })
	group.Go(func() { wait.Every(ctx, entryChangesInterval, g.fleet.logEntryChanges) })
	group.Go(func() { g.rollouts.run(ctx) })
	group.Go(func() { g.guard.Run(ctx) })
	group.Go(func() { wait.Every(ctx, sweepInterval, func() { g.fleet.Sweep(boottime.Now()) }) })
	return group
}

// needsStatus reports whether the status table has to be followed: while a roll-out is in
// progress, while a quarantine verdict is known, which operators may lift, and while no other host
// can send verdicts to this one. A host that starts reads the table once.
func (g *Gateway) needsStatus() bool {
	if _, received := g.rollouts.statuses.Age(); !received {
		return true
	}
	return g.rollouts.hasUnfinished() || g.guard.Len() > 0 || g.peers == nil || !g.peers.ReceivesVerdicts()
}

// lapseWindow is the time after an outage of the store in which a removed entry counts as expired
// by the outage. The next update of the entries arrives only after the delay in which their
// changes are collected.
const lapseWindow = 2 * time.Second

// storeRecentlyReturned reports whether an outage of the store ended within lapseWindow.
func (g *Gateway) storeRecentlyReturned() bool {
	return g.upstreamWatcher != nil && g.upstreamWatcher.RecoveredWithin(lapseWindow)
}

// storeClock returns the store's monotonic clock; 0 while it is unknown.
func (g *Gateway) storeClock() time.Duration {
	if g.rollouts.statuses == nil {
		return 0
	}
	return g.rollouts.statuses.StoreClock()
}
