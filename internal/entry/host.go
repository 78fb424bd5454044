package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/intake"
	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/lease"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/membership"
	"github.com/quetzalweir/quetzalweir/quota"
	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/session"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/groupcommit"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Platform holds the platform's services that the host uses.
type Platform struct {
	Table   storage.Table
	Objects storage.Objects
	Hosts   storage.HostList
	Rater   storage.Rater
}

// Host is one entry host. All entry hosts have the same role.
type Host struct {
	settings Settings
	// incarnation identifies this process: it consists of the host's ID and a random
	// part. The ID alone isn't enough, since a restarted host keeps it.
	incarnation string
	platform    Platform
	log         zerolog.Logger
	metrics     *requestMetrics
	// sockets divides the sockets that the process may open. intake accounts what callers and
	// operators take of the host.
	intake  *httpintake.Pool
	sockets intake.Sockets

	// committer batches the table writes for claims, sessions and stopped versions.
	committer       *groupcommit.Committer
	manifestStore   *config.Store
	manifestWatcher *config.Watcher
	members         *membership.Membership
	peers           *peer.Client
	peerServer      *peer.Server
	claims          *claim.Store
	ledger          *ledger.Ledger
	billCopies      *ledger.CopyStore
	quota           *quota.Limiter
	sessionCodec    *session.Codec
	sessions        *session.Registry
	queues          *queues
	retries         *admission.RetryBudget
	pool            *balance.Pool
	upstreams       *upstreamDirectory
	rollout         *rollout.Tracker
	cascade         *cascade.Learner
	sampler         *sampler
	evidence        *evidenceExchange
	// quarantine blocks poison requests, whose runs terminate upstreams.
	quarantine *quarantineExchange
	unloader   *unloader
	// maintenance deletes expired rows of the table and compacts the ledger.
	maintenance       *maintenance
	plannedDepartures departures
	processes         processes
	// forceStopCtx is canceled by ForceStop, when a planned stop has to end at once.
	forceStopCtx context.Context
	forceStop    context.CancelFunc
	// quotaCtx is the context of runQuota. A planned stop cancels it before the other
	// background tasks end. quotaDone is closed when runQuota has returned.
	quotaCtx    context.Context
	cancelQuota context.CancelFunc
	quotaDone   chan struct{}
	// downHosts holds the IDs of hosts that went down and whose bills aren't
	// taken over yet.
	downHosts chan string
	engine    *upstream.EngineClient
	service   *upstream.ServiceClient

	pipeline    Next
	plannedStop *plannedstop.Stop
	// requestsInProgress is the number of requests in the pipeline, also of those that are in no admission queue.
	requestsInProgress atomic.Int64
	// notReady is set at the start of a planned stop. It makes the readiness check fail,
	// so that the balancer sends no new connections. stopping is set later and makes the
	// host refuse requests.
	notReady atomic.Bool
	// upstreamsLoaded is set once the host has read a host list that contains upstreams
	// and has requested the load of these upstreams.
	upstreamsLoaded atomic.Bool
	// stopsLoaded is set after the first attempt to load the stopped versions.
	stopsLoaded      atomic.Bool
	stopping         atomic.Bool
	callerListener   net.Listener
	operatorListener net.Listener
}

const (
	// retryRatio is the number of retries that each first attempt adds to the retry
	// budget.
	retryRatio = 0.1
	// retriesPerSecond is the rate at which the retry budget grows without requests,
	// so that a host with little traffic can retry.
	retriesPerSecond = 1
)

// New returns a host with open listeners. The host serves no requests until Run is
// called.
func New(settings Settings, p Platform, log zerolog.Logger) (*Host, error) {
	settings.Provision()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	h := &Host{
		settings:    settings,
		incarnation: settings.ID + "/" + uuid.NewString(),
		platform:    p,
		log:         log,
		metrics:     &requestMetrics{set: metrics.NewSet()},
		upstreams:   &upstreamDirectory{},
	}
	h.sockets = intake.DivideSockets(httpintake.SocketLimit(0))
	h.intake = httpintake.New(httpintake.Options{
		Limits: intake.NewLimits(settings.MemoryBytes, h.sockets),
		Log:    log, Metrics: h.metrics.set, Prefix: "quetzalweir_",
	})
	if err := h.listen(); err != nil {
		return nil, err
	}
	if err := h.provision(); err != nil {
		return nil, errors.Join(err, h.closeListeners())
	}
	h.quotaCtx, h.cancelQuota = context.WithCancel(context.Background())
	h.plannedStop = plannedstop.New()
	h.forceStopCtx, h.forceStop = context.WithCancel(context.Background())
	h.quotaDone = make(chan struct{})
	h.pipeline = chain(h.filters())
	return h, nil
}

func (h *Host) listen() error {
	var err error
	if h.callerListener, err = net.Listen("tcp", h.settings.Callers); err != nil {
		return SettingError("callers", "%v", err)
	}
	if h.operatorListener, err = net.Listen("tcp", h.settings.Operators); err != nil {
		return errors.Join(SettingError("operators", "%v", err), h.callerListener.Close())
	}
	return nil
}

func (h *Host) closeListeners() error {
	return errors.Join(h.callerListener.Close(), h.operatorListener.Close())
}

// provision creates the host's components in the order of their dependencies.
func (h *Host) provision() error {
	if err := h.provisionPeers(); err != nil {
		return err
	}
	if err := h.provisionMembers(); err != nil {
		return err
	}
	h.committer = groupcommit.New(h.platform.Table, groupcommit.Options{})
	h.provisionManifest()
	h.provisionRecords()
	h.provisionRouting()
	h.engine = upstream.NewEngine(upstream.EngineOptions{OnNotice: h.observeNotice, Admit: h.maySend})
	h.service = upstream.NewService(upstream.ServiceOptions{OnNotice: h.observeNotice, Admit: h.maySend})
	h.evidence = newEvidenceExchange(h)
	h.quarantine = newQuarantineExchange(h)
	leases := lease.NewManager(lease.Options{Table: h.platform.Table})
	h.unloader = &unloader{host: h, leases: leases}
	h.maintenance = &maintenance{host: h, leases: leases}
	h.registerPeerMethods()
	h.registerLoanMethod()
	h.watchMembers()
	h.registerGauges()
	return nil
}

// provisionManifest creates the components that determine which manifest is in
// force.
func (h *Host) provisionManifest() {
	h.manifestStore = config.NewStore(h.platform.Table, h.platform.Objects)
	h.manifestWatcher = config.NewWatcher(config.WatcherOptions{
		Store:          h.manifestStore,
		Host:           h.settings.ID,
		Peers:          &peerViews{host: h},
		Bodies:         &peerBodies{host: h},
		PollInterval:   h.settings.PollHead,
		FreshnessBound: h.settings.FreshnessBound,
		OnChange:       h.applyPolicy,
		OnError:        func(err error) { h.log.Warn().Str("event", "manifest-watch").Err(err).Msg("") },
	})
}

// provisionRecords creates the stores of claims, bills and sessions, whose data
// outlives the host.
func (h *Host) provisionRecords() {
	h.claims = claim.NewStore(claim.Options{
		Table:    h.committer,
		Objects:  h.platform.Objects,
		Host:     h.incarnation,
		Liveness: &liveness{members: h.members, processes: &h.processes},
	})
	h.ledger = ledger.New(ledger.Options{
		Table:      h.platform.Table,
		Objects:    h.platform.Objects,
		Host:       h.settings.ID,
		Replicator: &billReplicator{host: h},
	})
	h.billCopies = ledger.NewCopyStore(h.ledger, ledger.CopyStoreOptions{})
	h.sessionCodec = session.NewCodec(h.settings.SessionKeys, defaultSessionTTL, nil)
	h.sessions = session.NewRegistry(session.Options{Table: h.committer})
}

// provisionRouting creates the components that decide how requests are limited,
// queued and routed.
func (h *Host) provisionRouting() {
	s := h.settings
	h.quota = quota.New(quota.Options{Table: h.platform.Table, Host: s.ID, Peers: &quotaPeers{host: h}})
	h.queues = newQueues(s)
	h.retries = admission.NewRetryBudget(retryRatio, retriesPerSecond, nil)
	h.pool = balance.NewPool(balance.Options{Host: s.ID, Zone: s.Zone, Seed: rand.Uint64(), Selector: s.Selector})
	h.rollout = rollout.New(rollout.Options{Host: h.incarnation, GrantedOnly: true})
	h.cascade = cascade.NewLearner(cascade.Options{})
	h.sampler = newSampler(h.platform.Rater, h.rollout)
}

// CallerAddr returns the address of the callers' listener.
func (h *Host) CallerAddr() string { return h.callerListener.Addr().String() }

// OperatorAddr returns the address of the operators' listener.
func (h *Host) OperatorAddr() string { return h.operatorListener.Addr().String() }

// PeerAddr returns the address of the listener for other entry hosts.
func (h *Host) PeerAddr() string { return h.peerServer.Addr() }

// Run serves until ctx ends and then makes a planned stop: it finishes the requests
// in flight, writes its bills and claims, releases its quota and leaves the
// membership.
func (h *Host) Run(ctx context.Context) error {
	// The background tasks continue after ctx has ended, until the planned stop is
	// complete.
	background, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	tasks, background := errgroup.WithContext(background)
	h.startTasks(tasks, background)
	callerOptions, operatorOptions := h.serverOptions("callers", intake.Callers), h.serverOptions("operators", intake.Checks)
	callers := h.intake.NewServer(h.callerHandler(), callerOptions)
	operators := h.intake.NewServer(h.operatorHandler(), operatorOptions)
	tasks.Go(func() error { return serveHTTP(callers, h.intake.Listener(h.callerListener, callerOptions)) })
	tasks.Go(func() error { return serveHTTP(operators, h.intake.Listener(h.operatorListener, operatorOptions)) })
	h.log.Info().Str("event", "start").Str("callers", h.CallerAddr()).Str("operators", h.OperatorAddr()).
		Str("peers", h.PeerAddr()).Str("zone", h.settings.Zone).Msg("")

	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	stopErr := h.stop(callers, operators)
	cancelTasks()
	err := tasks.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.Join(err, stopErr, h.engine.Close(), h.service.Close(), h.peers.Close(), h.committer.Close())
}

// startTasks starts the background tasks.
func (h *Host) startTasks(group *errgroup.Group, ctx context.Context) {
	run := func(name string, task func(context.Context) error) {
		group.Go(func() error {
			if err := task(ctx); err != nil && ctx.Err() == nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
	}
	run("peers", h.peerServer.Serve)
	run("membership", h.members.Run)
	run("process", h.announceProcess)
	run("manifest", h.manifestWatcher.Run)
	run("claims", h.claims.Run)
	run("ledger", h.ledger.Run)
	run("limits", h.runQuota)
	run("host list", h.pollHosts)
	run("load", h.pollLoad)
	run("evidence", h.evidence.run)
	run("quarantine", h.quarantine.run)
	run("exposure", h.refillExposure)
	run("orders", h.unloader.run)
	run("maintenance", h.maintenance.run)
	run("ratings", h.sampler.run)
	run("custody", h.takeOverBills)
	run("intake", func(ctx context.Context) error { h.intake.Run(ctx); return nil })
}

// Limits of the HTTP servers for callers and operators.
const (
	headerTimeout  = 10 * time.Second
	bodyTimeout    = 60 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// serverOptions returns the options of a listener.
func (h *Host) serverOptions(name string, group intake.Group) httpintake.ServerOptions {
	return httpintake.ServerOptions{
		Name: name, Group: group,
		MaxHead:      func() int { return maxHeaderBytes },
		HeadTimeout:  func() time.Duration { return headerTimeout },
		IdleTimeout:  func() time.Duration { return idleTimeout },
		WriteTimeout: h.settings.CallerWriteTimeout,
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
