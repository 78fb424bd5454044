package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/draining"
	"github.com/quetzalweir/quetzalweir/intake"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/routing"
)

// Gateway forwards requests between callers and upstreams on one host.
type Gateway struct {
	settings Settings
	log      zerolog.Logger
	metrics  *gatewayMetrics

	routingTable atomic.Pointer[routing.Table]
	fleet        *Fleet
	rollouts     *rollouts
	// upstreamWatcher follows the table of the upstreams' entries; nil before startWatchers.
	// peers exchanges data with the other hosts; nil if this host is the only one.
	upstreamWatcher *feed.Watcher
	peers           *exchange.Member
	retryBudgets    lazyValues[retryBudget]
	// sockets divides the sockets that the process may open. intake accounts what callers take of the host.
	sockets     intake.Sockets
	intake      *httpintake.Pool
	promptSizes lazyValues[promptSizes]
	// responseTimes holds the mean time to the first byte of an answer, by service, model and
	// route.
	responseTimes lazyValues[meanTime]
	// streamPauses holds, by the same key, the mean over all streams of the longest pause within a
	// stream.
	streamPauses lazyValues[meanTime]
	// usualPaces holds, by the same key, the pace of recent streams.
	usualPaces lazyValues[usualPace]
	// singleRunModels chooses the model of requests that may run once, by service and route.
	singleRunModels lazyValues[placement.SingleRunModels]
	pipeline        handleFunc
	// guard quarantines poison requests.
	guard *guard.Guard
	// shares and returns are used for contended services (Features).
	shares  accountShares
	returns returnTimes
	// holds keeps requests until an engine can begin them in time.
	holds *holds

	// egress opens the connections to upstreams. relayedForOthers is the number of connections that this
	// host relays for other hosts.
	egress           *egressPaths
	relayedForOthers atomic.Int64

	// startedAt is the time at which the host started. initialized is closed once the host can
	// serve requests.
	startedAt   time.Time
	initialized chan struct{}

	// connections accepts the connections of callers.
	connections callerConnections

	inFlight atomic.Int64
	// hostCount is the number of hosts of the installation; 0 while it is unknown.
	hostCount atomic.Int64
	// census has the hosts that the hub's data don't cover for some seconds, too.
	census hostCensus
	// unknownHeaders finds headers of upstreams' answers that nothing reads.
	unknownHeaders *unknownHeaders
	// stopping is set when the host begins to stop. Callers' connections are then closed after
	// their next answer.
	stopping    atomic.Bool
	plannedStop *plannedstop.Stop
}

const (
	// dialTimeout bounds the time to connect to an upstream, which usually takes a few
	// milliseconds. If it takes longer, the upstream is cut off or its accept queue is full.
	dialTimeout = 250 * time.Millisecond
	// idleConnTimeout is how long an unused connection to an upstream is kept.
	idleConnTimeout = 8 * time.Second
	// maxIdlePerUpstream bounds the unused connections to one upstream.
	maxIdlePerUpstream = 64
	// defaultMaxHeaderBytes bounds the header of a caller's request, in bytes, defaultHeaderTimeout the
	// time in which it is sent, and defaultIdleTimeout the time for which a connection stays open without a
	// request, while there is no routing document that sets these limits.
	defaultMaxHeaderBytes = 256 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	// maxCheckHead bounds the head of a readiness check, in bytes.
	maxCheckHead = 8 << 10
)

// New returns a gateway. Run starts it.
func New(settings Settings, log zerolog.Logger) *Gateway {
	g := &Gateway{settings: settings.withDefaults(), log: log, startedAt: boottime.Now(), initialized: make(chan struct{}), plannedStop: plannedstop.New()}
	s := &g.settings
	g.metrics = newMetrics(g)
	g.sockets = intake.DivideSockets(s.Sockets)
	g.intake = httpintake.New(httpintake.Options{Limits: intake.NewLimits(s.MemoryBytes, g.sockets), Log: log, Metrics: g.metrics.set, Prefix: "quetzalweir_gateway_"})
	g.fleet = NewFleet(s.DrainTime-draining.Margin, log)
	g.startEgress()
	g.egress.limitIdle(g.sockets.IdleUpstreams)
	g.fleet.topology = zoneTopology{zone: s.Zone, regions: s.Regions}
	g.fleet.policy.allContended = s.Contended
	g.fleet.policy.singleHost = s.Peers.Listen == ""
	g.fleet.policy.seed, g.fleet.policy.hostCount = s.Host, func() int { return int(g.hostCount.Load()) }
	g.fleet.policy.census = &g.census
	g.fleet.policy.coldOverrun, g.fleet.policy.coldHeadroom = s.ColdOverrun, s.ColdHeadroom
	g.fleet.policy.engineState = s.Features.EngineState
	g.rollouts = newRollouts(s, g.fleet, log)
	g.rollouts.countAnswer = g.metrics.countVersionAnswer
	g.retryBudgets.make = func() *retryBudget { return newRetryBudget(retryMargin*s.RetryRatio, s.RetryWindow, g.spareRetries) }
	g.responseTimes.make = func() *meanTime { return new(meanTime) }
	g.streamPauses.make = func() *meanTime { return new(meanTime) }
	g.usualPaces.make = func() *usualPace { return new(usualPace) }
	g.singleRunModels.make = func() *placement.SingleRunModels { return new(placement.SingleRunModels) }
	g.promptSizes.make = func() *promptSizes { return new(promptSizes) }
	g.guard = guard.New(guard.Options{
		Host: s.Host, Table: s.StatusTable, Prefix: s.Tables.VerdictsPrefix, Clock: g.storeClock, OnEvent: g.metrics.countGuardEvent, Log: log,
		Refuses:       g.egress.refusesConnections,
		OnTermination: func(i quarantine.Incarnation) { g.fleet.ejectTerminated(exchange.IDHash(i)) },
		Brittle:       func(i quarantine.Incarnation) bool { return g.fleet.isBrittle(exchange.IDHash(i)) },
	})
	g.returns.start(g)
	g.shares.configure(g)
	g.unknownHeaders = newUnknownHeaders(&s.Headers, log)
	g.holds = newHolds(g)
	g.pipeline = chain(g.filters())
	return g
}

// Run serves requests until the context ends, and then stops within StopTimeout.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Info().Str("event", "start").Str("callers", g.settings.CallerAddress).Str("ready", g.settings.ReadyAddress).Msg("")
	// The watchers run until the server has stopped, so that requests that are in progress when ctx
	// ends are routed by current data.
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
	// operatorBatchDelay is the time between receiving a change of the operators' table and the
	// next call to the store, so that one call returns several changes. It is a small part of the
	// two seconds within which a change has to take effect.
	operatorBatchDelay = 300 * time.Millisecond
	// upstreamBatchFraction is the same delay for the upstreams' entries, as a fraction of
	// DrainTime, the time for which a leaving upstream still serves. When a service is replaced,
	// dozens of entries change within seconds, and without the delay every host would make one call
	// to the store for each change.
	upstreamBatchFraction = 0.4
	// operatorPollTimeout is the long-poll timeout for the operators' table. It differs from the
	// timeout for the upstreams' table, so that the two calls end at different times and the
	// earlier one detects a dead link to the store.
	operatorPollTimeout = 6 * time.Second
	// firstHubUpdateTimeout is how long a host that begins to follow a table waits for the first
	// update of that table from its hub. A host finds its hub within half a second of its start.
	firstHubUpdateTimeout = 900 * time.Millisecond
	// firstTableTimeout is how long a host that starts waits for its hub to send the tables before
	// it reads them from the store. A hub that is up sends them within 100 ms. The wait is short
	// because it delays service when all hosts restart at once.
	firstTableTimeout = 150 * time.Millisecond
	// firstStartTableTimeout replaces firstTableTimeout when the whole installation starts for the
	// first time: there are no callers yet, and hosts find their hubs within a second.
	firstStartTableTimeout = 2 * time.Second
	// statusPollTimeout is the long-poll timeout for the status table. It is below maxStatusAge
	// with a margin for the store's response: a new version's share is raised only while the status
	// data is recent, and the last part of the rise takes half a second.
	statusPollTimeout = 2 * time.Second
	// recordCleanupInterval is how often the records of removed upstreams are deleted.
	recordCleanupInterval = 10 * time.Second
	// restrictionLogInterval is how often upstreams are checked for the end of their cold time or
	// rate limit, to log it. The choice of an upstream doesn't depend on this check, since it
	// compares the end of each restriction with the current time itself.
	restrictionLogInterval = 250 * time.Millisecond
)

// startWatchers starts the goroutines that keep the host's data up to date: the watchers of the
// tables, the exchange with other hosts, the roll-outs and the periodic tasks.
func (g *Gateway) startWatchers(ctx context.Context) *sync.WaitGroup {
	tables, store := g.settings.Tables, g.settings.TableSource
	link := feed.NewLink()
	common := feed.Options{Link: link, ApplyTime: g.tableApplyTime()}
	if g.settings.Peers.Listen != "" {
		common.Relays = func() bool { return g.peers.Relays() }
		common.HoldsBriefly = func() bool { return g.peers.HoldsBriefly() }
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
	statusOptions, operatorOptions := common, common
	statusOptions.Hold, statusOptions.Needed = statusPollTimeout, g.needsStatusTable
	operatorOptions.Hold, operatorOptions.BatchDelay = operatorPollTimeout, operatorBatchDelay
	status := feed.NewWatcher(tables.Status, store, newStatusTableHandler(g), statusOptions, g.log)
	g.rollouts.statuses = status
	g.followUpstreams(common)
	watchers := map[string]*feed.Watcher{
		tables.Status:    status,
		tables.Operator:  feed.NewWatcher(tables.Operator, store, newOperatorTableHandler(g), operatorOptions, g.log),
		tables.Upstreams: g.upstreamWatcher,
	}
	group := new(sync.WaitGroup)
	if peers := &g.settings.Peers; peers.Listen != "" {
		g.peers = exchange.New(exchange.Options{
			Host: g.settings.Host, Zone: g.settings.Zone, Listen: peers.Listen, Seeds: peers.Seeds, MaxConns: min(g.sockets.Peers, peer.DefaultMaxConns), Keys: peers.Keys,
			FirstStart: peers.FirstStart, LinkMbps: peers.LinkMbps, Cores: peers.Cores,
			Tables: watchers, Work: g.fleet.workInFlight, OnWork: g.fleet.setRemoteWork,
			OnHostCount:  func(n int) { g.hostCount.Store(int64(n)); g.census.set(n) },
			SentPrefixes: g.fleet.takeSentPrefixes, OnSentPrefixes: g.fleet.addRemotePrefixes,
			RootGrants: g.fleet.LeaseGrants, OnHolding: g.fleet.SetHolding,
			Limits: g.fleet.takeLimitUpdates, KnownLimits: g.fleet.currentLimits, OnLimits: g.fleet.applyLimits,
			Leaving: g.fleet.takeLeaving, OnLeaving: g.fleet.applyReportedLeaving,
			Promises: g.returns.takeNew, OnPromises: g.returns.addRemote,
			Timings: g.fleet.ownTimings, OnTimings: g.fleet.setRemoteTimings,
			Engines: g.fleet.ownEngineStates, OnEngines: g.fleet.setRemoteEngineStates,
			AccountUse: g.shares.ownUse, OnAccountUse: g.shares.setOthers,
			Evidence: g.rollouts.ownEvidence, OnEvidence: g.rollouts.setRemoteEvidence, Quarantine: g.guard,
			RelaysConns: g.relaysForOthers, NeedsRelayHosts: g.egress.needsRelays, RelayDialer: g.dialForOther,
		}, g.log)
		g.egress.useRelays(g.peers, g.fleet)
		group.Go(func() { g.peers.Run(ctx) })
	}
	for table, w := range watchers {
		g.metrics.registerWatcher(table, w, g.peers)
		group.Go(func() { w.Run(ctx) })
	}
	group.Go(func() { g.awaitTables(ctx) })
	group.Go(func() {
		wait.Every(ctx, restrictionLogInterval, func() {
			g.fleet.logEndedRestrictions()
			g.fleet.dropExpiredNotices()
		})
	})
	group.Go(func() { wait.Every(ctx, entryChangesInterval, g.fleet.logEntryChanges) })
	group.Go(func() { wait.Every(ctx, shareLogInterval, g.shares.logChanges) })
	group.Go(func() { g.rollouts.run(ctx) })
	group.Go(func() { g.guard.Run(ctx) })
	group.Go(func() { g.egress.run(ctx) })
	group.Go(func() { g.connections.measureLag(ctx) })
	group.Go(func() { g.intake.Run(ctx) })
	group.Go(func() { wait.Every(ctx, recordCleanupInterval, func() { g.fleet.DeleteOldRecords(boottime.Now()) }) })
	return group
}

// tableApplyTime returns the time within which changes of the tables have to take effect. An entry that states that its
// upstream is leaving has to within DrainTime.
func (g *Gateway) tableApplyTime() time.Duration {
	return min(g.settings.ApplyTime, g.settings.DrainTime)
}

// followUpstreams sets the watcher of the upstreams' table. options are those that all watchers have.
func (g *Gateway) followUpstreams(options feed.Options) {
	options.BatchDelay = time.Duration(upstreamBatchFraction * float64(g.settings.DrainTime))
	g.upstreamWatcher = feed.NewWatcher(g.settings.Tables.Upstreams, g.settings.TableSource, newUpstreamTableHandler(g), options, g.log)
	g.fleet.changedSince = g.upstreamWatcher.ChangedSince
}

// needsStatusTable reports whether the status table has to be followed. It has to be while a
// roll-out is in progress, while a quarantine verdict is in force, which operators may withdraw,
// and while no other host can send verdicts to this one. A host that starts reads the table once in
// any case.
func (g *Gateway) needsStatusTable() bool {
	if _, received := g.rollouts.statuses.Age(); !received {
		return true
	}
	return g.rollouts.hasUnfinished() || g.guard.VerdictCount() > 0 || g.peers == nil || !g.peers.ReceivesVerdicts()
}

// outageRecoveryWindow is the time after an outage of the store in which the removal of an entry is
// attributed to the outage. Removals arrive late, since changes of entries are collected before
// they are received (upstreamBatchFraction).
const outageRecoveryWindow = 2 * time.Second

// storeRecentlyRecovered reports whether an outage of the store ended within the last
// outageRecoveryWindow.
func (g *Gateway) storeRecentlyRecovered() bool {
	return g.upstreamWatcher != nil && g.upstreamWatcher.UnreachableWithin(outageRecoveryWindow)
}

// storeClock returns the current reading of the store's monotonic clock, or 0 while it is unknown.
func (g *Gateway) storeClock() time.Duration {
	if g.rollouts.statuses == nil {
		return 0
	}
	return g.rollouts.statuses.StoreClock()
}
