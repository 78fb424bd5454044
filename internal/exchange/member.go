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

// Options are what a member needs.
type Options struct {
	// Host and Zone are this host's name and availability zone.
	Host string
	Zone string
	// Listen is the address for other hosts, Seeds are those of the hosts that
	// may be hubs; they may be stale.
	Listen string
	Seeds  []string
	// LinkMbps is the rate of this host's network link in Mbit/s, Cores its part of a
	// processor; 0 where they aren't known.
	LinkMbps float64
	Cores    float64
	// Keys is the table of the store that holds the key which hosts prove to each
	// other to have.
	Keys storage.Table
	// Tables are the watchers of the store's tables by name.
	Tables map[string]*feed.Watcher
	// Work returns the host's own work in flight by upstream.
	Work func() Work
	// Others takes the other hosts' work by upstream, as of a time. It isn't called
	// while no hub answers.
	Others func(work Work, at time.Time)
	// Hosts takes the number of hosts, this one included. It may be nil.
	Hosts func(n int)
	// Reads returns what upstreams were sent for the first time since the last call;
	// TakeReads takes what the others sent. Both may be nil.
	Reads     func() Reads
	TakeReads func(Reads)
	// Timings returns what this host's answers told of models' paces; TakeTimings takes
	// what the others' told. Both may be nil.
	Timings     func() Timings
	TakeTimings func(Timings)
	// FirstStart says that the whole installation starts for the first time: the key
	// is made then.
	FirstStart bool
	// Leased returns the upstreams whose requests are leased, with all parts that one of so
	// many roots has; TakeHolding takes the parts that this host has, and when a root of the tree stood
	// behind them last. Both may be nil.
	Leased      func(roots int) []ratelease.Grant
	TakeHolding func(holding ratelease.Holding, rootedAt time.Time)
	// Limits returns what this host's upstreams told of their limits that its hub hasn't
	// repeated yet, KnownLimits all that it knows; TakeLimits takes what the hub repeats, of all hosts.
	// All may be nil.
	Limits      func() []ratelease.Word
	KnownLimits func() []ratelease.Word
	TakeLimits  func(words []ratelease.Word, whole bool)
	// Quarantine keeps what hosts see of requests that end upstreams. It may be nil.
	Quarantine Quarantine
	// Evidence returns what this host saw of the roll-outs under way; TakeEvidence
	// takes what the others saw. Both may be nil.
	Evidence     func() []Evidence
	TakeEvidence func([]Evidence)
}

// Member is one host's part in the exchange.
type Member struct {
	options Options
	hub     *hub
	log     zerolog.Logger
	// zones are the zones of the seeds that answered.
	zones map[string]string
	// current is the address of this host's hub, empty without one; home is the seed
	// that was found, which may have named another hub. avoid are hubs that didn't
	// answer, and until when this host isn't sent back to them.
	current string
	home    string
	avoid   map[string]time.Time
	// lookAt is when the next look for a hub is due, noHub how many looks in a row
	// found none.
	lookAt time.Time
	noHub  int
	// hubSince is when the hub was chosen. Until the hub before has forgotten this
	// host's evidence it tells the new one none: counted twice, a few bad answers could
	// stop a sound version.
	hubSince time.Time

	// untold are the reads that the hub wasn't told yet, readsSince is the number up to
	// which the hub's are known. Of a host that leads others, ownSince is the same for
	// its own hub, toldReads the number of the own hub up to which the other was told.
	untold     Reads
	readsSince uint64
	ownSince   uint64
	toldReads  uint64
	// granted are the grants that the hub gave last, holding is what this host has of them.
	granted Grants
	holding ratelease.Holding
	// limits follows what the hub knows of upstreams' limits, ownLimits what this host's own
	// hub does. toldLimits is the number of the own hub up to which the other was told.
	limits, ownLimits ratelease.Follower
	toldLimits        ratelease.Mark
	// untoldLimits are words that the hub wasn't told yet.
	untoldLimits []ratelease.Word
	// leading says that other hosts report to this one.
	leading bool
	// exchanges counts the reports.
	exchanges int
	// unseen are the sightings that the hub wasn't told yet. Of a host that leads others,
	// toldSightings is the number of the own hub up to which the other was told.
	unseen        Sightings
	toldSightings uint64

	// heard says that the hub answered the last exchange, told is current for others
	// than Run.
	heard atomic.Bool
	told  atomic.Pointer[string]
	// seedsAnswer says that all other seeds answered this one's last questions.
	seedsAnswer atomic.Bool

	mu sync.Mutex
	// others are the questions to the other hubs, by their address.
	others map[string]*question
}

// New returns a member; Run runs it.
func New(options Options, log zerolog.Logger) *Member {
	return &Member{
		options: options, log: log, hub: newHub(options, log), zones: make(map[string]string),
		avoid: make(map[string]time.Time), untold: make(Reads), others: make(map[string]*question),
	}
}

// Relays says whether other hosts rely on this one for the store's word.
func (m *Member) Relays() bool { return m.hub.relays() }

// Heard says whether the hub answered the last exchange.
func (m *Member) Heard() bool { return m.heard.Load() }

// Hub is the address of this host's hub; empty without one.
func (m *Member) Hub() string {
	if hub := m.told.Load(); hub != nil {
		return *hub
	}
	return ""
}

// Followers counts the hosts that report to this one, itself included.
func (m *Member) Followers() int { return m.hub.followers() }

// Run takes part until the context ends.
func (m *Member) Run(ctx context.Context) {
	key, err := m.key(ctx)
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
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		m.keepKey(ctx, key)
	}()
	m.follow(ctx, peerNetwork{client})
	<-kept
	if err := errors.Join(client.Close(), <-served); err != nil {
		m.log.Warn().Str("event", "exchange-end").Err(err).Msg("")
	}
}

// report is what the hub is told: the host's own state and its new reads.
func (m *Member) report() Report {
	if m.options.Reads != nil {
		m.untold.add(m.options.Reads())
	}
	m.noteSightings()
	report := m.own()
	report.Reads, report.Sightings = m.untold, m.unseen
	report.Limits = m.limitWords()
	if m.exchanges++; m.options.Timings != nil && m.exchanges%timingsEvery == 1 {
		report.WantTimings, report.Timings = true, m.options.Timings()
	}
	return report
}

// own is this host's report.
func (m *Member) own() Report {
	report := Report{
		Zone: m.options.Zone, Address: m.options.Listen, Strength: m.options.LinkMbps * m.options.Cores,
		Work: m.options.Work(), Revisions: m.revisions(),
	}
	if m.options.Evidence != nil && m.alone() {
		report.Evidence = m.options.Evidence()
	}
	return report
}

// alone says that the present hub is the only one that has this host's report: the one
// before has forgotten it.
func (m *Member) alone() bool { return boottime.Since(m.hubSince) > WorkAge }

// revisions are the newest that this host knows of the store's tables.
func (m *Member) revisions() map[string]storage.Revision {
	revisions := make(map[string]storage.Revision, len(m.options.Tables))
	for name, w := range m.options.Tables {
		revisions[name] = w.Revision()
	}
	return revisions
}
