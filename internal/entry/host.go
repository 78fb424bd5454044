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
	"github.com/quetzalweir/quetzalweir/internal/peer"
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

// Platform is what the host needs of the platform.
type Platform struct {
	Table   storage.Table
	Objects storage.Objects
	Hosts   storage.HostList
	Rater   storage.Rater
}

// Host is one entry host. All hosts are alike.
type Host struct {
	settings Settings
	// incarnation names this process, where the host's id alone could be that
	// of an earlier one.
	incarnation string
	platform    Platform
	log         zerolog.Logger
	metrics     *requestMetrics

	// committer merges the table writes of claims, sessions and bills.
	committer *groupcommit.Committer
	store     *config.Store
	watcher   *config.Watcher
	members   *membership.Membership
	peers     *peer.Client
	peerSrv   *peer.Server
	claims    *claim.Store
	ledger    *ledger.Ledger
	custody   *ledger.Custody
	quota     *quota.Limiter
	codec     *session.Codec
	registry  *session.Registry
	queues    *queues
	retries   *admission.RetryBudget
	pool      *balance.Pool
	upstreams *upstreamDirectory
	rollout   *rollout.Tracker
	cascade   *cascade.Learner
	sampler   *sampler
	evidence  *evidenceExchange
	// quarantine keeps requests that end upstreams away from them.
	quarantine *quarantineExchange
	unloader   *unloader
	// maintenance tidies the table.
	maintenance *maintenance
	departed    departures
	processes   processes
	// cutting ends when a planned stop is to cut short.
	cutting context.Context
	cut     context.CancelFunc
	// quotaCtx ends the limits' part before the others, at a planned stop.
	quotaCtx  context.Context
	endQuota  context.CancelFunc
	quotaDone chan struct{}
	// down are hosts that went down and wait to be settled.
	down    chan string
	engine  *upstream.EngineClient
	service *upstream.ServiceClient

	run Next
	// unready turns the balancer away; stopping turns requests away.
	unready atomic.Bool
	// sawUpstreams is set after the first host list and its load reports.
	sawUpstreams atomic.Bool
	// sawStops is set after the first look for stopped versions.
	sawStops  atomic.Bool
	stopping  atomic.Bool
	callers   net.Listener
	operators net.Listener
}

const (
	// retryRatio is how many retries each first attempt earns.
	retryRatio = 0.1
	// retriesPerSecond keeps a quiet host able to retry.
	retriesPerSecond = 1
)

// New returns a host that listens and does nothing until Run.
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
	if err := h.listen(); err != nil {
		return nil, err
	}
	if err := h.provision(); err != nil {
		return nil, errors.Join(err, h.closeListeners())
	}
	h.quotaCtx, h.endQuota = context.WithCancel(context.Background())
	h.cutting, h.cut = context.WithCancel(context.Background())
	h.quotaDone = make(chan struct{})
	h.run = chain(h.filters())
	return h, nil
}

func (h *Host) listen() error {
	var err error
	if h.callers, err = net.Listen("tcp", h.settings.Callers); err != nil {
		return SettingError("callers", "%v", err)
	}
	if h.operators, err = net.Listen("tcp", h.settings.Operators); err != nil {
		return errors.Join(SettingError("operators", "%v", err), h.callers.Close())
	}
	return nil
}

func (h *Host) closeListeners() error {
	return errors.Join(h.callers.Close(), h.operators.Close())
}

// provision makes the parts, in the order of what needs what.
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
	h.provisionDecisions()
	h.engine = upstream.NewEngine(upstream.EngineOptions{})
	h.service = upstream.NewService(upstream.ServiceOptions{})
	h.evidence = newEvidenceExchange(h)
	h.quarantine = newQuarantineExchange(h)
	leases := lease.New(lease.Options{Table: h.platform.Table})
	h.unloader = &unloader{host: h, manager: leases}
	h.maintenance = &maintenance{host: h, manager: leases}
	h.handlePeers()
	h.handleLoans()
	h.watchMembers()
	h.registerGauges()
	return nil
}

// provisionManifest makes what says which manifest is in force.
func (h *Host) provisionManifest() {
	h.store = config.NewStore(h.platform.Table, h.platform.Objects)
	h.watcher = config.NewWatcher(config.WatcherOptions{
		Store:    h.store,
		Host:     h.settings.ID,
		Peers:    &peerViews{host: h},
		Bodies:   &peerBodies{host: h},
		Poll:     h.settings.PollHead,
		Bound:    h.settings.FreshnessBound,
		OnChange: h.applyPolicy,
		OnError:  func(err error) { h.log.Warn().Str("event", "manifest-watch").Err(err).Msg("") },
	})
}

// provisionRecords makes what outlives the host: claims, bills and sessions.
func (h *Host) provisionRecords() {
	h.claims = claim.New(claim.Options{
		Table:   h.committer,
		Objects: h.platform.Objects,
		Host:    h.incarnation,
		Alive:   &liveness{members: h.members, processes: &h.processes},
	})
	h.ledger = ledger.New(ledger.Options{
		Table:   h.platform.Table,
		Objects: h.platform.Objects,
		Host:    h.settings.ID,
		Holders: &peerHolders{host: h},
	})
	h.custody = ledger.NewCustody(h.ledger, ledger.CustodyOptions{})
	h.codec = session.NewCodec(h.settings.SessionKeys, defaultSessionTTL, nil)
	h.registry = session.NewRegistry(session.Options{Table: h.committer})
}

// provisionDecisions makes what decides on a request's way.
func (h *Host) provisionDecisions() {
	s := h.settings
	h.quota = quota.New(quota.Options{Table: h.platform.Table, Host: s.ID, Peers: &quotaPeers{host: h}})
	h.queues = newQueues(s)
	h.retries = admission.NewRetryBudget(retryRatio, retriesPerSecond, nil)
	h.pool = balance.NewPool(balance.Options{Host: s.ID, Zone: s.Zone, Seed: rand.Uint64(), Selector: s.Selector})
	h.rollout = rollout.New(rollout.Options{Host: h.incarnation, GrantedOnly: true})
	h.cascade = cascade.NewLearner(cascade.Options{})
	h.sampler = newSampler(h.platform.Rater, h.rollout)
}

// CallerAddr, OperatorAddr and PeerAddr are the addresses listened on.
func (h *Host) CallerAddr() string { return h.callers.Addr().String() }

// OperatorAddr is the operators' address.
func (h *Host) OperatorAddr() string { return h.operators.Addr().String() }

// PeerAddr is the address for other entry hosts.
func (h *Host) PeerAddr() string { return h.peerSrv.Addr() }

// Run serves until ctx ends, then stops as planned: it finishes the requests
// it has, settles what it holds, and leaves.
func (h *Host) Run(ctx context.Context) error {
	// The parts outlive ctx until the planned stop is done.
	background, endParts := context.WithCancel(context.WithoutCancel(ctx))
	defer endParts()
	parts, background := errgroup.WithContext(background)
	h.start(parts, background)
	callers := h.newServer(h.callerHandler())
	operators := h.newServer(h.operatorHandler())
	parts.Go(func() error { return serveHTTP(callers, h.callers) })
	parts.Go(func() error { return serveHTTP(operators, h.operators) })
	h.log.Info().Str("event", "start").Str("callers", h.CallerAddr()).Str("operators", h.OperatorAddr()).
		Str("peers", h.PeerAddr()).Str("zone", h.settings.Zone).Msg("")

	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	stopErr := h.stop(callers, operators)
	endParts()
	err := parts.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.Join(err, stopErr, h.engine.Close(), h.service.Close(), h.peers.Close(), h.committer.Close())
}

// start runs the parts that work beside the requests.
func (h *Host) start(group *errgroup.Group, ctx context.Context) {
	run := func(name string, part func(context.Context) error) {
		group.Go(func() error {
			if err := part(ctx); err != nil && ctx.Err() == nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
	}
	run("peers", h.peerSrv.Serve)
	run("membership", h.members.Run)
	run("process", h.announceProcess)
	run("manifest", h.watcher.Run)
	run("claims", h.claims.Run)
	run("ledger", h.ledger.Run)
	run("limits", h.runQuota)
	run("host list", h.pollHosts)
	run("load", h.pollLoad)
	run("evidence", h.evidence.run)
	run("quarantine", h.quarantine.run)
	run("exposure", h.refill)
	run("orders", h.unloader.run)
	run("maintenance", h.maintenance.run)
	run("ratings", h.sampler.run)
	run("custody", h.settleDown)
}

// Bounds on every HTTP listener.
const (
	headerTimeout  = 10 * time.Second
	bodyTimeout    = 60 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
