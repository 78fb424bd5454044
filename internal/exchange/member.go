package exchange

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/wait"
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

// question is what a hub knows of asking another one.
type question struct {
	// underWay says that an answer is waited for, next is when the next question may go
	// out, readsSince the number up to which the other hub's reads are known.
	underWay   bool
	next       time.Time
	readsSince uint64
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

// askHubs asks the other hubs for the sums of their followers, each by itself, so that a
// dead one delays nothing.
func (m *Member) askHubs(ctx context.Context, client *peer.Client) {
	for _, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			continue
		}
		since, ok := m.begin(seed)
		if !ok {
			continue
		}
		go func() {
			reply, err := m.ask(ctx, client, seed, Report{Zone: m.options.Zone, Hub: true, ReadsSince: since})
			if err != nil {
				client.Forget(seed)
				m.end(seed, since, retryHub)
				return
			}
			m.hub.takeHub(seed, reply)
			m.end(seed, reply.ReadsLast, 0)
		}()
	}
}

// begin says whether a hub may be asked, and since which number for its reads: no question
// is under way, and the last one didn't fail just now.
func (m *Member) begin(hub string) (since uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.others[hub]
	if q == nil {
		q = &question{}
		m.others[hub] = q
	}
	if q.underWay || time.Now().Before(q.next) {
		return 0, false
	}
	q.underWay = true
	return q.readsSince, true
}

// end notes that a question to a hub is over, up to which number its reads are known and
// how long the next question waits.
func (m *Member) end(hub string, readsSince uint64, pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*m.others[hub] = question{next: time.Now().Add(pause), readsSince: readsSince}
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

// look chooses the hub: the first seed of this host's zone in the seeds' order,
// this host itself if it is that; otherwise one that all hosts of the zone choose
// alike. A zone isn't known before the seed answered.
func (m *Member) look(ctx context.Context, client *peer.Client) {
	m.lookAt = time.Now().Add(retryHub)
	reached := m.reach(ctx, client)
	found := m.best(reached)
	if found == m.current {
		return
	}
	m.current = found
	m.hubSince = time.Now()
	m.readsSince = 0
	if found == "" {
		return
	}
	m.log.Info().Str("event", "hub-found").Str("hub", m.current).Str("zone", m.zones[m.current]).Int("reached", len(reached)).Msg("")
}

// reach asks all seeds at once, so that several dead ones cost no more time than
// one, and returns those that answered in the seeds' order.
func (m *Member) reach(ctx context.Context, client *peer.Client) []string {
	zones := make([]string, len(m.options.Seeds))
	var calls sync.WaitGroup
	for i, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			zones[i] = m.options.Zone
			continue
		}
		calls.Go(func() {
			reply, err := m.ask(ctx, client, seed, m.own())
			if err != nil {
				client.Forget(seed) // a seed may be gone for good; the next look dials anew
				return
			}
			zones[i] = reply.Zone
		})
	}
	calls.Wait()
	var reached []string
	for i, seed := range m.options.Seeds {
		if zones[i] != "" {
			m.zones[seed] = zones[i]
			reached = append(reached, seed)
		}
	}
	return reached
}

// best is the hub among the seeds that answered; empty if there is none.
func (m *Member) best(reached []string) string {
	if i := slices.IndexFunc(reached, func(seed string) bool { return m.zones[seed] == m.options.Zone }); i >= 0 {
		return reached[i]
	}
	if len(reached) == 0 {
		return ""
	}
	return slices.MaxFunc(reached, func(a, b string) int { return cmp.Compare(m.weight(a), m.weight(b)) })
}

// settled says that no better hub can be found: the seeds before this one are
// known to be of other zones.
func (m *Member) settled() bool {
	for _, seed := range m.options.Seeds {
		zone, known := m.zones[seed]
		switch {
		case !known:
			return false
		case zone == m.options.Zone:
			return seed == m.current
		}
	}
	return m.current != ""
}

// weight orders the seeds of other zones, the same on all hosts of this one.
func (m *Member) weight(seed string) uint64 { return hash(m.options.Zone, seed) }

// hash spreads texts evenly, the same on all hosts.
func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		io.WriteString(h, p)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// key reads the hosts' common key until it is there; a host that may be a hub
// makes it.
func (m *Member) key(ctx context.Context) (peer.Key, error) {
	mayMake := slices.Contains(m.options.Seeds, m.options.Listen)
	if !mayMake {
		if err := wait.For(ctx, keyDelay); err != nil {
			return peer.Key{}, err
		}
	}
	for {
		key, err := sharedKey(ctx, m.options.Keys, mayMake)
		if err == nil {
			return key, nil
		}
		if !errors.Is(err, storage.ErrNotFound) {
			m.log.Warn().Str("event", "key-unknown").Err(err).Msg("")
		}
		if err := wait.For(ctx, keyRetry); err != nil {
			return peer.Key{}, err
		}
	}
}
