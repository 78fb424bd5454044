package exchange

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/peer"
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
	// current is the seed that is this host's hub; empty without one.
	current string
	lookAt  time.Time
	// hubSince is when the hub was chosen. Until the hub before has forgotten this
	// host's evidence it tells the new one none: counted twice, a few bad answers could
	// stop a sound version.
	hubSince time.Time

	// untold are the reads that the hub wasn't told yet, readsSince is the number up to
	// which the hub's are known.
	untold     Reads
	readsSince uint64

	mu sync.Mutex
	// others are the questions to the other hubs, by their address.
	others map[string]*question
}

// New returns a member; Run runs it.
func New(options Options, log zerolog.Logger) *Member {
	m := &Member{options: options, log: log, zones: make(map[string]string), untold: make(Reads), others: make(map[string]*question)}
	m.hub = newHub(options.Zone, options.Tables)
	return m
}

// Relays says whether other hosts rely on this one for the store's word.
func (m *Member) Relays() bool { return m.hub.relays() }

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
	m.follow(ctx, client)
	if err := errors.Join(client.Close(), <-served); err != nil {
		m.log.Warn().Str("event", "exchange-end").Err(err).Msg("")
	}
}

// follow exchanges with the hub until the context ends.
func (m *Member) follow(ctx context.Context, client *peer.Client) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !m.settled() && time.Now().After(m.lookAt) {
			m.look(ctx, client)
		}
		switch m.current {
		case "":
		case m.options.Listen:
			m.hub.take(m.options.Host, m.report())
			m.take(m.hub.sums(m.options.Host, m.readsSince, toHost), time.Now())
			m.askHubs(ctx, client)
		default:
			m.exchange(ctx, client)
		}
	}
}

// exchange makes one exchange with the hub.
func (m *Member) exchange(ctx context.Context, client *peer.Client) {
	asked := time.Now()
	reply, err := m.ask(ctx, client, m.current, m.report())
	if err != nil {
		m.log.Warn().Str("event", "hub-lost").Str("hub", m.current).Err(err).Msg("")
		client.Forget(m.current)
		m.current = ""
		m.lookAt = time.Time{}
		return
	}
	m.take(reply, asked)
	for name, news := range reply.Tables {
		if w := m.options.Tables[name]; w != nil {
			w.Offer(news.news(), asked)
		}
	}
}

// take takes what a hub told of the other hosts, as of a time.
func (m *Member) take(reply Reply, at time.Time) {
	m.options.Others(reply.Work, at)
	m.takeHosts(reply.Hosts)
	m.takeEvidence(reply.Evidence)
	m.takeReads(reply.Reads, reply.ReadsLast)
}

func (m *Member) ask(ctx context.Context, client *peer.Client, address string, report Report) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Reply
	err := client.Call(ctx, address, method, report, &reply)
	return reply, err
}

// takeReads takes the others' reads, up to a number.
func (m *Member) takeReads(reads Reads, last uint64) {
	m.untold = make(Reads) // the hub has them
	m.readsSince = last
	if m.options.TakeReads != nil && len(reads) > 0 {
		m.options.TakeReads(reads)
	}
}

// report is what the hub is told: the host's own state and its new reads.
func (m *Member) report() Report {
	if m.options.Reads != nil {
		m.untold.add(m.options.Reads())
	}
	report := m.own()
	report.Reads, report.ReadsSince = m.untold, m.readsSince
	return report
}

func (m *Member) takeHosts(n int) {
	if m.options.Hosts != nil && n > 0 {
		m.options.Hosts(n)
	}
}

func (m *Member) takeEvidence(list []Evidence) {
	if m.options.TakeEvidence != nil && len(list) > 0 {
		m.options.TakeEvidence(list)
	}
}

// own is this host's report.
func (m *Member) own() Report {
	report := Report{Zone: m.options.Zone, Work: m.options.Work(), Revisions: make(map[string]uint64)}
	for name, w := range m.options.Tables {
		report.Revisions[name] = w.Revision()
	}
	if m.options.Evidence != nil && time.Since(m.hubSince) > WorkAge {
		report.Evidence = m.options.Evidence()
	}
	return report
}
