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

// Gateway is one host's way between callers and upstreams.
type Gateway struct {
	settings Settings
	log      zerolog.Logger
	metrics  *gatewayMetrics

	table    atomic.Pointer[routing.Table]
	fleet    *Fleet
	rollouts *rollouts
	// entries follows the upstreams' entries; nil before that.
	entries *feed.Watcher
	peers   *exchange.Member
	budgets perService[retryBudget]
	sizes   perService[promptSizes]
	// responseTimes are by service and model.
	responseTimes perService[responseTime]
	// pauses are the longest ones of streams, by the same.
	pauses   perService[responseTime]
	pipeline next
	// guard keeps requests that end upstreams away from them.
	guard *guard.Guard

	transport *http.Transport

	// startedAt is when the host started, known is closed once it can serve.
	startedAt time.Time
	known     chan struct{}

	inFlight atomic.Int64
	// hosts is the number of hosts of the installation; 0 while it isn't known.
	hosts atomic.Int64
	// stopping ends kept connections with their next answer.
	stopping atomic.Bool
	// cutting says that the stop's time is over and its answers are cut.
	cutting atomic.Bool
}

const (
	// dialTimeout bounds the making of a connection to an upstream. Upstreams
	// are some milliseconds away; a dial that takes longer meets one that is cut
	// off or has more callers than it accepts.
	dialTimeout = 250 * time.Millisecond
	// idleConnTimeout is how long an unused connection to an upstream is kept.
	idleConnTimeout = 8 * time.Second
	// idlePerUpstream bounds the unused connections to one upstream.
	idlePerUpstream = 64
	// removalMargin is left of the time for which a removed upstream serves:
	// a request is on its way for part of it.
	removalMargin = 500 * time.Millisecond
	// maxHeaderBytes bounds a caller's header before the document's own limit
	// is known, in bytes.
	maxHeaderBytes = 256 << 10
	// headerTimeout bounds how long a caller takes for a header, idleTimeout
	// how long a connection stays unused.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
)

// New returns a gateway; Run runs it.
func New(settings Settings, log zerolog.Logger) *Gateway {
	g := &Gateway{settings: settings.withDefaults(), log: log, startedAt: boottime.Now(), known: make(chan struct{})}
	s := &g.settings
	g.metrics = newMetrics(g)
	g.fleet = NewFleet(s.DrainTime-removalMargin, log)
	g.fleet.geography = geography{zone: s.Zone, regions: s.Regions}
	g.fleet.access.alone = s.Peers.Listen == ""
	g.fleet.access.seed, g.fleet.access.hosts = s.Host, func() int { return int(g.hosts.Load()) }
	g.fleet.access.overrun, g.fleet.access.spare = s.ColdOverrun, s.ColdSpare
	g.rollouts = newRollouts(s, g.fleet, log)
	g.budgets.make = func() *retryBudget { return newRetryBudget(retryMargin*s.RetryRatio, s.RetryWindow, g.spareRepeats) }
	g.responseTimes.make = func() *responseTime { return new(responseTime) }
	g.pauses.make = func() *responseTime { return new(responseTime) }
	g.sizes.make = func() *promptSizes { return new(promptSizes) }
	g.guard = guard.New(guard.Options{
		Host: s.Host, Table: s.Statuses, Prefix: s.Tables.VerdictsPrefix, Clock: g.storeClock, Count: g.metrics.guarded, Log: log,
		Ended: func(i quarantine.Incarnation) { g.fleet.noteEnded(exchange.Name(i)) },
	})
	g.transport = newTransport()
	g.pipeline = chain(g.filters())
	return g
}

// newTransport returns the transport to upstreams.
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

// Run serves until the context ends and then stops within StopTimeout.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Info().Str("event", "start").Str("callers", g.settings.Callers).Str("ready", g.settings.Ready).Msg("")
	// What the host follows outlives the request to stop, so that the
	// answers under way are decided by what is in force.
	follow, unfollow := context.WithCancel(context.WithoutCancel(ctx))
	defer unfollow()
	followers := g.follow(follow)
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
	unfollow()
	followers.Wait()
	g.log.Info().Str("event", "stopped").Msg("")
	return nil
}

const (
	// gatherOperator is how long changes of the operators' documents are gathered
	// before the next call of the store, a small part of the two seconds in which
	// they have to be heeded.
	gatherOperator = 300 * time.Millisecond
	// gatherPart is the same for the upstreams' entries, as a part of the time for
	// which a leaving upstream still serves. When a service is replaced, dozens of
	// entries change within seconds; without the pause each change costs one call of
	// each host.
	gatherPart = 0.4
	// holdOperator differs from the other watchers' time, so that a dead link to
	// the store shows by the earlier of two calls.
	holdOperator = 6 * time.Second
	// firstWord is how long a host that begins to follow a table waits for its hub's
	// word on it: a host finds its hub within half a second of its start.
	firstWord = 900 * time.Millisecond
	// firstTable is how long a host that starts waits for its hub to hand the tables on
	// before it reads the store's. A hub that is up does so within 100 ms; while all
	// hosts return at once the wait delays service, so it is short.
	firstTable = 150 * time.Millisecond
	// firstTableOfAll is the same where the whole installation starts for the first
	// time: it has no callers yet, and its hubs are found within a second.
	firstTableOfAll = 2 * time.Second
	// holdStatus is below trustAge with time for an answer: a roll-out's share is
	// raised only while the store's word is fresh, and its last part takes half a
	// second.
	holdStatus = 2 * time.Second
	// sweepInterval is how often records of gone upstreams are looked for.
	sweepInterval = 10 * time.Second
	// openInterval is how often upstreams are looked for that aren't cold or limited any
	// more, to tell of them; requests go by the time itself.
	openInterval = 250 * time.Millisecond
)

// follow starts what keeps the host's beliefs up to date.
func (g *Gateway) follow(ctx context.Context) *sync.WaitGroup {
	tables, store := g.settings.Tables, g.settings.Source
	link := feed.NewLink()
	gather := time.Duration(gatherPart * float64(g.settings.DrainTime))
	// An upstream that leaves has to be heeded as soon as a document has.
	common := feed.Options{Link: link, Heed: min(g.settings.HeedTime, g.settings.DrainTime)}
	if g.settings.Peers.Listen != "" {
		common.Relays = func() bool { return g.peers.Relays() }
		g.rollouts.relied = common.Relays
		common.FirstWord = firstWord
		if !slices.Contains(g.settings.Peers.Seeds, g.settings.Peers.Listen) {
			common.FirstTable = firstTable
			if g.settings.Peers.FirstStart {
				common.FirstTable = firstTableOfAll
			}
			common.HubAnswers = func() bool { return g.peers.Heard() }
		}
	}
	statusOptions, operatorOptions, upstreamOptions := common, common, common
	statusOptions.Hold, statusOptions.Needed = holdStatus, g.needsStatus
	operatorOptions.Hold, operatorOptions.Gather = holdOperator, gatherOperator
	upstreamOptions.Gather = gather
	status := feed.NewWatcher(tables.Status, store, newStatusRows(g), statusOptions, g.log)
	g.rollouts.statuses = status
	g.entries = feed.NewWatcher(tables.Upstreams, store, newUpstreamRows(g), upstreamOptions, g.log)
	watchers := map[string]*feed.Watcher{
		tables.Status:    status,
		tables.Operator:  feed.NewWatcher(tables.Operator, store, newOperatorRows(g), operatorOptions, g.log),
		tables.Upstreams: g.entries,
	}
	group := new(sync.WaitGroup)
	if peers := &g.settings.Peers; peers.Listen != "" {
		g.peers = exchange.New(exchange.Options{
			Host: g.settings.Host, Zone: g.settings.Zone, Listen: peers.Listen, Seeds: peers.Seeds, Keys: peers.Keys,
			FirstStart: peers.FirstStart, LinkMbps: peers.LinkMbps, Cores: peers.Cores,
			Tables: watchers, Work: g.fleet.work, Others: g.fleet.setOthers,
			Hosts: func(n int) { g.hosts.Store(int64(n)) },
			Reads: g.fleet.takeReads, TakeReads: g.fleet.noteReads,
			Leased: g.fleet.Leased, TakeHolding: g.fleet.TakeHolding,
			Limits: g.fleet.limitWords, KnownLimits: g.fleet.knownLimits, TakeLimits: g.fleet.takeLimits,
			Timings: g.fleet.timings, TakeTimings: g.fleet.takeTimings,
			Evidence: g.rollouts.seen, TakeEvidence: g.rollouts.takeOthers, Quarantine: g.guard,
		}, g.log)
		group.Go(func() { g.peers.Run(ctx) })
	}
	for table, w := range watchers {
		g.metrics.followed(table, w)
		group.Go(func() { w.Run(ctx) })
	}
	group.Go(func() { g.tellBegun(ctx) })
	group.Go(func() { wait.Every(ctx, openInterval, g.fleet.noteOpen) })
	group.Go(func() { wait.Every(ctx, tallyInterval, g.fleet.logTally) })
	group.Go(func() { g.rollouts.run(ctx) })
	group.Go(func() { g.guard.Run(ctx) })
	group.Go(func() { wait.Every(ctx, sweepInterval, func() { g.fleet.Sweep(boottime.Now()) }) })
	return group
}

// needsStatus says whether the table of statuses has to be followed: while a roll-out is
// under way or a verdict is known, which operators may lift, and while other hosts can't
// tell this one of verdicts. At its start a host reads it once.
func (g *Gateway) needsStatus() bool {
	if _, heard := g.rollouts.statuses.Age(); !heard {
		return true
	}
	return g.rollouts.underWay() || g.guard.Len() > 0 || g.peers == nil || !g.peers.Told()
}

// lapsedWithin is the time after an outage of the store in which an entry that vanishes may
// have lapsed in it: the next word on the entries comes after the pause in which their
// changes are gathered.
const lapsedWithin = 2 * time.Second

// storeReturned says that the store was away until just now.
func (g *Gateway) storeReturned() bool { return g.entries != nil && g.entries.Returned(lapsedWithin) }

// storeClock is the store's steady clock, as far as it is known.
func (g *Gateway) storeClock() time.Duration {
	if g.rollouts.statuses == nil {
		return 0
	}
	return g.rollouts.statuses.StoreClock()
}
