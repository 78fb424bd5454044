package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

// These tests run the exchange of whole installations in virtual time. The members and the
// watchers of the store's tables are the real ones; the network and the store are simulated.

// fleetStore is a store with one table of many rows.
type fleetStore struct {
	mu       sync.Mutex
	rows     map[string]feed.Row
	changes  []feed.Row
	revision storage.Revision
	// historyFrom is the revision of which the store has the following changes.
	historyFrom storage.Revision
	changed     chan struct{}
	calls       int
	lists       int
	start       time.Time
}

func newFleetStore(rows int) *fleetStore {
	s := &fleetStore{rows: make(map[string]feed.Row), changed: make(chan struct{}), start: time.Now()}
	for i := range rows {
		s.put(fmt.Sprintf("i-%06d", i))
	}
	return s
}

// put writes a row of about the size of an upstream's row, and returns its revision.
func (s *fleetStore) put(key string) storage.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	data := fmt.Sprintf(`{"service":"svc","address":"10.1.2.%d:8080","zone":"zone-%d","version":"v1","slots":32,"state":"available","sequence":%d}`, s.revision%256, s.revision%5, s.revision)
	row := feed.Row{Key: key, Revision: s.revision, Data: []byte(data)}
	s.rows[key] = row
	s.changes = append(s.changes, row)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// dropHistory makes the store lose the changes so far.
func (s *fleetStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyFrom, s.changes = s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// storePage is the maximum number of rows in one answer. storeDelay is the latency of an answer.
const (
	storePage  = 500
	storeDelay = 5 * time.Millisecond
)

func (s *fleetStore) List(_ context.Context, _, from string, received feed.OnReceived) (feed.Page, error) {
	time.Sleep(storeDelay)
	received(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.lists++
	page := feed.Page{Revision: s.revision, Clock: time.Since(s.start)}
	for _, row := range s.rows {
		if row.Key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b feed.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > storePage {
		page.Rows, page.Truncated = page.Rows[:storePage], true
	}
	return page, nil
}

func (s *fleetStore) Changes(ctx context.Context, _ string, since storage.Revision, wait time.Duration, received feed.OnReceived) (feed.Page, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if since < s.historyFrom {
			s.mu.Unlock()
			return feed.Page{}, feed.ErrHistoryLost
		}
		page := feed.Page{Revision: s.revision, Clock: time.Since(s.start)}
		for _, row := range s.changes {
			if row.Revision > since {
				page.Rows = append(page.Rows, row)
			}
		}
		if len(page.Rows) > storePage {
			page.Rows, page.Truncated = page.Rows[:storePage], true
			page.Revision = page.Rows[storePage-1].Revision
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Rows) > 0 {
			received(1)
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			received(1)
			return page, nil
		case <-ctx.Done():
			return feed.Page{}, ctx.Err()
		}
	}
}

func (s *fleetStore) count() (calls, lists int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.lists
}

// fleetHost is a host of the simulated installation. It records the revisions of the table's
// rows that it received, and its traffic.
type fleetHost struct {
	name, zone, address string
	member              *Member
	watcher             *feed.Watcher
	quarantine          *fleetQuarantine
	promises            fleetPromises
	stop                context.CancelFunc

	mu        sync.Mutex
	revisions map[string]storage.Revision
	// receivedAt is when the host first received the row of each revision.
	receivedAt map[storage.Revision]time.Time
	work       Work
	accountUse AccountUse
	bytes      int
	// holding holds the grants for leased upstreams, contact records the contact to the hub,
	// and limits holds the host's records of upstreams' limits.
	holding ratelease.Holding
	contact ratelease.HubContact
	limits  map[ratelease.UpstreamID]*hostLimit
	// stated are the upstreams that stated to this host that they are leaving and that it hasn't
	// reported yet. leaving are those that other hosts reported.
	stated  []LeavingUpstream
	leaving map[ratelease.UpstreamID]bool
	// engines is the host's number in the pattern of its engine states; 0 if it has none.
	// otherEngines holds the loads that it received last, at enginesReadAt, and all slowdowns.
	engines       int
	otherEngines  EngineStates
	enginesReadAt time.Time
}

// stateLeaving makes an upstream state to the host that it is leaving.
func (h *fleetHost) stateLeaving(u ratelease.UpstreamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stated = append(h.stated, LeavingUpstream{Upstream: u})
}

func (h *fleetHost) takeLeaving() []LeavingUpstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.stated
	h.stated = nil
	return list
}

func (h *fleetHost) addLeaving(list []LeavingUpstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range list {
		h.leaving[l.Upstream] = true
	}
}

func (h *fleetHost) countLeaving() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.leaving)
}

func (h *fleetHost) Replace(rows []feed.Row, _ storage.Revision) {
	for _, row := range rows {
		h.Change(row)
	}
}

func (h *fleetHost) Change(row feed.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revisions[row.Key] = row.Revision
	if _, ok := h.receivedAt[row.Revision]; !ok {
		h.receivedAt[row.Revision] = time.Now()
	}
}

func (h *fleetHost) rows() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.revisions)
}

func (h *fleetHost) otherWork() Work {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.work
}

func (h *fleetHost) addTraffic(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += bytes
}

func (h *fleetHost) traffic() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// fleet simulates an installation.
type fleet struct {
	t     *testing.T
	store *fleetStore
	hosts []*fleetHost
	seeds []string

	// running counts the hosts' goroutines.
	running sync.WaitGroup

	mu        sync.Mutex
	byAddress map[string]*fleetHost
	// cold lists the upstreams that all hosts treat as cold. disconnected reports whether two
	// hosts can't reach each other; nil means that all can.
	cold         []ratelease.UpstreamID
	disconnected func(from, to *fleetHost) bool
	// queryDelay is the time that a query to another seed takes; 0 means the usual one.
	queryDelay time.Duration

	// links holds the hosts' network links; nil if transfers take no time. customize, if set,
	// changes the options of a host's watcher and returns its source and handler.
	links     map[*fleetHost]*replayLink
	customize func(h *fleetHost, options *feed.Options) (feed.Source, feed.Handler)
}

// newFleet starts the given number of hosts, spread over the zones, and a store whose table has
// the given number of rows. The first hosts of the first three zones are seeds, and the first
// three hosts of each zone have a fast link.
func newFleet(t *testing.T, hosts, zones, rows int) *fleet {
	f := &fleet{t: t, store: newFleetStore(rows), byAddress: make(map[string]*fleetHost)}
	for i := range hosts {
		h := &fleetHost{name: fmt.Sprint("host-", i), zone: fmt.Sprint("zone-", i%zones), address: fmt.Sprint("10.0.0.", i)}
		f.hosts = append(f.hosts, h)
		if i < min(3, zones) {
			f.seeds = append(f.seeds, h.address)
		}
	}
	for i, h := range f.hosts {
		f.start(h, i < 3*zones)
		time.Sleep(startInterval)
	}
	t.Cleanup(f.stopAll)
	return f
}

// stopAll stops all hosts.
func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		h.stop()
	}
	f.running.Wait()
	time.Sleep(callTimeout) // for queries to other hubs that are in flight
}

// startInterval is the time between the starts of two hosts; 440 hosts start within 138 ms. If
// hosts started at the same instant, their timers would expire together, which makes the race
// detector itself crash (see the note on membership).
const startInterval = 313 * time.Microsecond

// start starts a host without any data; strong gives it a fast link.
func (f *fleet) start(h *fleetHost, strong bool) {
	h.revisions, h.receivedAt = make(map[string]storage.Revision), make(map[storage.Revision]time.Time)
	h.mu.Lock()
	h.contact, h.limits = ratelease.NewHubContact(time.Now()), make(map[ratelease.UpstreamID]*hostLimit)
	h.leaving = make(map[ratelease.UpstreamID]bool)
	h.mu.Unlock()
	// A stopped watcher may still call the member that it belonged to.
	var member *Member
	options := feed.Options{
		Relays:         func() bool { return member.Relays() },
		HubAnswers:     func() bool { return member.HubAnswered() },
		HoldsBriefly:   func() bool { return member.HoldsBriefly() },
		FirstTableWait: 150 * time.Millisecond, FirstUpdateWait: 900 * time.Millisecond, BatchDelay: 2 * time.Second,
	}
	link := 20.0
	if f.links != nil {
		link = smallLink
	}
	if strong {
		link = fastLink
	}
	if slices.Contains(f.seeds, h.address) {
		options.FirstTableWait = 0
	}
	source, handler := feed.Source(f.store), feed.Handler(h)
	if f.customize != nil {
		source, handler = f.customize(h, &options)
	}
	h.watcher = feed.NewWatcher("t", source, handler, options, zerolog.Nop())
	h.quarantine = newFleetQuarantine()
	member = New(Options{
		Quarantine: h.quarantine,
		Host:       h.name, Zone: h.zone, Listen: h.address, Seeds: f.seeds, LinkMbps: link, Cores: 1,
		Tables:     map[string]*feed.Watcher{"t": h.watcher},
		Work:       func() Work { return Work{HashID("u"): 1} },
		RootGrants: func(roots int) []ratelease.Grant { return append(f.coldGrants(roots), h.limitGrants(roots)...) },
		Limits:     h.newLimits, KnownLimits: h.knownLimits, OnLimits: h.applyLimits,
		Leaving: h.takeLeaving, OnLeaving: h.addLeaving,
		Promises: h.promises.take, OnPromises: h.promises.add,
		Engines: h.engineStates, OnEngines: h.setEngineStates,
		Timings: func() Timings { return nil }, AccountUse: fleetAccountUse, OnAccountUse: h.setAccountUse,
		OnHolding: func(holding ratelease.Holding, rooted time.Time) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.holding = holding
			h.contact = h.contact.WithReply(time.Now(), rooted)
		},
		OnWork: func(w Work, _ time.Time) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.work = w
		},
	}, zerolog.Nop())
	h.member = member
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = func() {
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.byAddress, h.address)
	}
	f.mu.Lock()
	f.byAddress[h.address] = h
	f.mu.Unlock()
	f.running.Go(func() { h.watcher.Run(ctx) })
	f.running.Go(func() { member.exchangeLoop(ctx, &fleetNetwork{fleet: f, from: h}) })
}

// coldGrants returns the grants that one root hub holds for the cold upstreams.
func (f *fleet) coldGrants(roots int) []ratelease.Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	parts := coldBound.Parts(roots)
	var grants []ratelease.Grant
	for _, u := range f.cold {
		grants = append(grants, ratelease.Grant{Upstream: u, Parts: parts, PartsPerRoot: parts})
	}
	return grants
}

// fleetNetwork carries the reports of one host. Calls to a stopped or disconnected host time
// out.
type fleetNetwork struct {
	fleet *fleet
	from  *fleetHost
}

var errNoHost = errors.New("no host at the address")

func (n *fleetNetwork) disconnect(string) {}

func (n *fleetNetwork) call(ctx context.Context, address string, report Report) (Reply, error) {
	n.fleet.mu.Lock()
	to := n.fleet.byAddress[address]
	if to != nil && n.fleet.disconnected != nil && n.fleet.disconnected(n.from, to) {
		to = nil
	}
	queryDelay := n.fleet.queryDelay
	n.fleet.mu.Unlock()
	if to == nil {
		<-ctx.Done()
		return Reply{}, errNoHost
	}
	delay := 200 * time.Microsecond
	if to.zone != n.from.zone {
		delay = 1400 * time.Microsecond
	}
	if report.HubQuery && queryDelay > 0 {
		delay = queryDelay / 2
	}
	sent, err := json.Marshal(report)
	if err != nil {
		return Reply{}, err
	}
	time.Sleep(delay)
	if err := n.carry(ctx, len(sent), n.from, to); err != nil {
		return Reply{}, err
	}
	reply, err := to.member.ownHub.handleReport(ctx, n.from.name, report)
	if err != nil {
		return Reply{}, err
	}
	received, err := json.Marshal(reply)
	if err != nil {
		return Reply{}, err
	}
	time.Sleep(delay)
	if err := n.carry(ctx, len(received), to, n.from); err != nil {
		return Reply{}, err
	}
	for _, h := range []*fleetHost{n.from, to} {
		h.addTraffic(len(sent) + len(received))
	}
	return reply, nil
}

// carry sends a message over the links of both hosts.
func (n *fleetNetwork) carry(ctx context.Context, bytes int, from, to *fleetHost) error {
	if n.fleet.links == nil {
		return nil
	}
	return transfer(ctx, bytes, func(int) {}, n.fleet.links[from], n.fleet.links[to])
}

// allHostsMatch reports whether every host satisfies the condition.
func (f *fleet) allHostsMatch(condition func(h *fleetHost) bool) bool {
	return !slices.ContainsFunc(f.hosts, func(h *fleetHost) bool { return !condition(h) })
}

// waitForAllHosts waits until every host satisfies the condition, or the timeout expires. It
// returns the time that this took, and whether all hosts satisfy the condition.
func (f *fleet) waitForAllHosts(timeout time.Duration, condition func(h *fleetHost) bool) (took time.Duration, ok bool) {
	start := time.Now()
	for time.Since(start) < timeout {
		if f.allHostsMatch(condition) {
			return time.Since(start), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return timeout, false
}

// fleetSize is the size of a simulated installation.
type fleetSize struct{ hosts, zones int }

// fleetSizes returns the sizes of the installations for which the budgets of the tests hold.
// The race detector itself crashes when many timers of a synctest bubble expire at once (see
// the note on membership), and more often the larger the fleet is. With the race detector, only
// the smallest installation therefore runs; it uses the same code.
func fleetSizes() []fleetSize {
	if raceEnabled {
		return []fleetSize{{30, 3}}
	}
	return []fleetSize{{30, 3}, {195, 5}, {440, 32}}
}

// In steady state only a few hosts query the store, whatever the size of the installation. The
// mean traffic of a host stays within its budget, and a change of the table reaches all hosts
// soon.
func TestFleetInSteadyState(t *testing.T) {
	const (
		span = 10 * time.Second
		// callsPerSecond is the budget for calls of the store, which three seeds query every
		// 0.7 s.
		callsPerSecond = 6
		// bytesPerSecond is the budget of a host for control traffic. What a hub sends to its
		// followers counts for the hub as well.
		bytesPerSecond = 7_000
		changeWithin   = time.Second
	)
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, size.hosts, size.zones, 500)
				time.Sleep(10 * time.Second)
				calls, _ := f.store.count()
				traffic := make([]int, len(f.hosts))
				for i, h := range f.hosts {
					traffic[i] = h.traffic()
				}
				time.Sleep(span)
				callsAfter, _ := f.store.count()
				rate := float64(callsAfter-calls) / span.Seconds()
				for i, h := range f.hosts {
					traffic[i] = h.traffic() - traffic[i]
				}
				slices.Sort(traffic)
				sum := 0
				for _, bytes := range traffic {
					sum += bytes
				}
				mean := float64(sum) / 2 / float64(len(traffic)) / span.Seconds() // each byte is counted at both ends
				revision := f.store.put("i-000007")
				took, ok := f.waitForAllHosts(5*time.Second, func(h *fleetHost) bool { return h.watcher.Revision() >= revision })
				t.Logf("%d hosts: %.1f calls of the store a second, bytes a second: mean %.0f, busiest %d; a change reaches all hosts after %v",
					size.hosts, rate, mean, traffic[len(traffic)-1]/int(span.Seconds()), took)
				is.True(rate <= callsPerSecond)
				is.True(mean <= bytesPerSecond)
				is.True(ok && took <= changeWithin)
				// The sum that each host receives counts every other host once.
				is.True(f.allHostsMatch(func(h *fleetHost) bool { return h.otherWork()[HashID("u")] == float64(size.hosts-1) }))
				is.True(f.allHostsMatch(func(h *fleetHost) bool { return h.otherHostsOfAccounts() == float64(size.hosts-1) }))
			})
		})
	}
}

// If all hosts start at once, most receive the table from a hub and don't read it from the
// store.
func TestFleetStarts(t *testing.T) {
	const rows = 3000
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, size.hosts, size.zones, rows)
				took, ok := f.waitForAllHosts(10*time.Second, func(h *fleetHost) bool { return h.rows() == rows })
				_, lists := f.store.count()
				t.Logf("%d hosts have the table after %v; %d pages were read from the store", size.hosts, took, lists)
				is.True(ok && took < 2*time.Second)
				is.True(lists < 2*size.hosts) // without hubs, each host would read six pages
			})
		})
	}
}

// All upstreams start within two seconds, after the hosts. Guards against hubs that stop
// relaying meanwhile, so that each of their followers reads the store's changes page by page.
func TestFleetWhoseUpstreamsAllStart(t *testing.T) {
	const upstreamsPerHost, span = 10, 2 * time.Second
	sizes := []fleetSize{{195, 5}, {440, 5}}
	if raceEnabled {
		sizes = []fleetSize{{30, 3}}
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, size.hosts, size.zones, 0)
				time.Sleep(2 * time.Second)
				calls, _ := f.store.count()
				upstreams := upstreamsPerHost * size.hosts
				for i := range upstreams {
					f.store.put(fmt.Sprintf("i-%06d", i))
					time.Sleep(span / time.Duration(upstreams))
				}
				took, ok := f.waitForAllHosts(10*time.Second, func(h *fleetHost) bool { return h.rows() == upstreams })
				after, _ := f.store.count()
				t.Logf("%d hosts have %d upstreams %v after the last one started; %d calls of the store", size.hosts, upstreams, took, after-calls)
				is.True(ok && took < 2*time.Second) // the default of feed.Options.ApplyTime
				seeds := 3*int((span+took)/feed.RelayBatchDelay) + 3*(upstreams/storePage+1)
				is.True(after-calls <= seeds+size.hosts/10) // few hosts other than the seeds query the store
			})
		})
	}
}

// After the hub of a zone fails, its hosts find another one within two seconds and receive
// table updates from it, without all of them calling the store at once.
func TestFleetLosesAHub(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, size.hosts, size.zones, 100)
				time.Sleep(10 * time.Second)
				last := f.hosts[size.hosts-1]
				var lost *fleetHost
				for _, h := range f.hosts {
					if h.address == last.member.Hub() {
						lost = h
					}
				}
				is.Equal(lost.zone, last.zone)
				calls, _ := f.store.count()
				lost.stop()
				f.hosts = slices.DeleteFunc(f.hosts, func(h *fleetHost) bool { return h == lost })
				time.Sleep(2 * time.Second)
				is.True(f.allHostsMatch(func(h *fleetHost) bool { return h.member.Hub() != "" && h.member.Hub() != lost.address }))
				revision := f.store.put("i-000007")
				took, ok := f.waitForAllHosts(5*time.Second, func(h *fleetHost) bool { return h.watcher.Revision() >= revision })
				time.Sleep(time.Second)
				after, _ := f.store.count()
				t.Logf("%d calls in the three seconds after the loss; a change reaches all hosts after %v", after-calls, took)
				is.True(ok && took < time.Second)
				is.True(after-calls < 100)
			})
		})
	}
}

// After all seeds fail for good, the hubs of the zones keep serving their hosts, and changes of
// the table still reach all hosts.
func TestFleetLosesItsSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		size := fleetSizes()[min(1, len(fleetSizes())-1)]
		f := newFleet(t, size.hosts, size.zones, 100)
		time.Sleep(10 * time.Second)
		for _, h := range f.hosts[:3] {
			h.stop()
		}
		f.hosts = f.hosts[3:]
		time.Sleep(3 * time.Second)
		revision := f.store.put("i-000007")
		took, ok := f.waitForAllHosts(10*time.Second, func(h *fleetHost) bool { return h.watcher.Revision() >= revision })
		t.Logf("a change reaches all hosts after %v", took)
		is.True(ok && took < 2*time.Second)
	})
}
