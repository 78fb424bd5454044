package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/standin/freeport"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func TestHubSumsTheOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Zone: "z1"}, zerolog.Nop())
		report := func(host, zone string, work Work) Reply {
			reply, err := h.handleReport(t.Context(), host, Report{Zone: zone, Work: work})
			is.NoErr(err)
			return reply
		}
		report("a", "z1", Work{HashID("u1"): 2, HashID("u2"): 1})
		report("far", "z2", Work{HashID("u1"): 50})
		report("b", "z1", Work{HashID("u1"): 3})
		reply := report("b", "z1", Work{HashID("u1"): 4}) // a host's own work isn't in its reply
		is.Equal(reply.Zone, "z1")
		is.Equal(reply.Work, Work{HashID("u1"): 52, HashID("u2"): 1})
		is.Equal(report("a", "z1", nil).Work, Work{HashID("u1"): 54}) // only b's newest report counts

		time.Sleep(MaxWorkAge + time.Millisecond) // the others' reports expire
		is.Equal(len(report("a", "z1", nil).Work), 0)
	})
}

// Each hub's followers are counted once, however often the hubs query each other.
func TestHubsAddEachOthersFollowers(t *testing.T) {
	is := is.New(t)
	one, two, three := newHub(Options{Zone: "z1"}, zerolog.Nop()), newHub(Options{Zone: "z2"}, zerolog.Nop()), newHub(Options{Zone: "z3"}, zerolog.Nop())
	hubs := map[string]*hub{"one": one, "two": two, "three": three}
	bad := Evidence{Service: "s", Order: 7, Routes: map[string]VersionTallies{"r": {New: Tally{Answers: 2, Failed: 1}}}}
	for name, h := range hubs {
		h.record("host of "+name, Report{Work: Work{HashID("u"): 10}, Evidence: []Evidence{bad}})
	}
	for range 5 {
		for _, asker := range hubs {
			for name, asked := range hubs {
				if asked == asker {
					continue
				}
				reply, err := asked.handleReport(t.Context(), "another hub", Report{HubQuery: true})
				is.NoErr(err)
				asker.recordHubReply(name, reply, reply.Hosts)
			}
		}
	}
	for _, h := range hubs {
		is.Equal(h.reporterCount(), 1) // a hub that queries isn't a follower
		is.Equal(h.hostCount(toHost), 3)
		reply, err := h.handleReport(t.Context(), "me", Report{})
		is.NoErr(err)
		is.Equal(reply.Work, Work{HashID("u"): 30})
		is.Equal(reply.Evidence[0].Routes["r"].New, Tally{Answers: 6, Failed: 3})
	}
}

// If there are more upstreams than a reply may hold, the reply holds those with the most work.
func TestBusiestUpstreamsAreReported(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Zone: "z1"}, zerolog.Nop())
	work := make(Work)
	for i := range 10 * maxReportedUpstreams {
		work[HashID(fmt.Sprint("u", i))] = float64(i)
	}
	h.record("a", Report{Work: work})
	reported := h.otherWork("b", toHost)
	is.Equal(len(reported), maxReportedUpstreams)
	is.Equal(reported[HashID(fmt.Sprint("u", 10*maxReportedUpstreams-1))], float64(10*maxReportedUpstreams-1))
}

// A host that switches to another hub sends it no evidence until the previous hub's copy has
// expired.
func TestEvidenceIsNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		counted := []Evidence{{Service: "s", Order: 7}}
		m := New(Options{Zone: "z1", Work: func() Work { return nil }, Evidence: func() []Evidence { return counted }}, zerolog.Nop())
		m.hubChosenAt = time.Now()
		is.Equal(len(m.ownReport().Evidence), 0)
		time.Sleep(MaxWorkAge + time.Millisecond)
		is.Equal(m.ownReport().Evidence, counted)
	})
}

func TestTallyCountsBadUpstreams(t *testing.T) {
	is := is.New(t)
	var one, other Tally
	one.AddBadUpstream("u1")
	one.AddBadUpstream("u1")
	is.Equal(one.MinBadUpstreams(), 1)
	other.AddBadUpstream("u2")
	one.Add(other)
	is.Equal(one.MinBadUpstreams(), 2)
}

func TestHubAddsEvidence(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Zone: "z1"}, zerolog.Nop())
	evidence := func(service string, order storage.Revision, failed int) Evidence {
		return Evidence{Service: service, Order: order, Routes: map[string]VersionTallies{"r": {New: Tally{Answers: 2 * failed, Failed: failed}}}}
	}
	h.record("a", Report{Zone: "z1", Evidence: []Evidence{evidence("s", 7, 1)}})
	h.record("b", Report{Zone: "z2", Evidence: []Evidence{evidence("s", 7, 2)}}) // the sums include all zones
	h.record("c", Report{Zone: "z1", Evidence: []Evidence{evidence("s", 8, 4)}}) // counts for another order aren't added
	reply, err := h.handleReport(t.Context(), "me", Report{Zone: "z1", Evidence: []Evidence{evidence("s", 7, 100)}})
	is.NoErr(err)
	sums := make(map[storage.Revision]Tally)
	for _, e := range reply.Evidence {
		is.Equal(e.Service, "s")
		sums[e.Order] = e.Routes["r"].New
	}
	is.Equal(sums, map[storage.Revision]Tally{7: {Answers: 6, Failed: 3}, 8: {Answers: 8, Failed: 4}})
}

func TestNumberOfHostsRelayedTo(t *testing.T) {
	tests := []struct {
		desc                   string
		followers              int
		minRelayed, maxRelayed int
	}{
		{"fewer hosts than a hub must have to relay", minHostsPerHub - 1, 0, 0},
		{"enough", minHostsPerHub, minHostsPerHub, minHostsPerHub},
		{"as many hosts as a hub relays to", maxHostsPerHub, maxHostsPerHub, maxHostsPerHub},
		{"more hosts than a hub relays to", 4 * maxHostsPerHub, maxHostsPerHub / 2, maxHostsPerHub * 3 / 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			h := newHub(Options{Zone: "z1"}, zerolog.Nop())
			for i := range test.followers {
				h.record(fmt.Sprint("host-", i), Report{Zone: "z1"})
			}
			relayed := 0
			for i := range test.followers {
				if h.relaysTo(fmt.Sprint("host-", i)) {
					relayed++
				}
			}
			is.True(relayed >= test.minRelayed && relayed <= test.maxRelayed)
		})
	}
}

// A hub whose followers no longer report stops relaying, so it no longer queries the store more
// often on their behalf.
func TestRelayEndsWithItsFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Zone: "z1"}, zerolog.Nop())
		for i := range minHostsPerHub {
			h.record(fmt.Sprint(i), Report{Zone: "z1"})
		}
		is.True(h.relays())
		time.Sleep(MaxWorkAge + time.Millisecond)
		is.True(!h.relays())
	})
}

func TestChoiceOfHub(t *testing.T) {
	zones := map[string]string{"s1": "z1", "s2": "z2", "s3": "z2"}
	tests := []struct {
		desc    string
		zone    string
		reached []string
		want    string
	}{
		{"none answers", "z1", nil, ""},
		{"the seed of its own zone", "z1", []string{"s1", "s2", "s3"}, "s1"},
		{"the first seed of its own zone", "z2", []string{"s1", "s2", "s3"}, "s2"},
		{"the second seed of its own zone while the first is gone", "z2", []string{"s1", "s3"}, "s3"},
		{"the only seed, of another zone", "z3", []string{"s2"}, "s2"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m := New(Options{Zone: test.zone}, zerolog.Nop())
			m.seedZones = zones
			is.Equal(m.chooseHub(test.reached), test.want)
		})
	}
	t.Run("hosts of a zone without seeds agree", func(t *testing.T) {
		is := is.New(t)
		one, two := New(Options{Zone: "z9"}, zerolog.Nop()), New(Options{Zone: "z9"}, zerolog.Nop())
		is.Equal(one.chooseHub([]string{"s1", "s2", "s3"}), two.chooseHub([]string{"s3", "s1", "s2"}))
	})
}

// installation runs hosts that communicate over loopback addresses.
type installation struct {
	t     *testing.T
	keys  storage.Table
	seeds []string
}

type host struct {
	member *Member
	stop   func()

	mu   sync.Mutex
	work Work
	at   time.Time
}

func (h *host) otherWork() (Work, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.work, h.at
}

func newInstallation(t *testing.T, seeds int) *installation {
	in := &installation{t: t, keys: memory.NewTable()}
	for range seeds {
		in.seeds = append(in.seeds, freeAddress(t))
	}
	return in
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start runs a host with the given work in flight until the test ends or stop is called.
func (in *installation) start(name, listen string, work Work, tables map[string]*feed.Watcher) *host {
	h := &host{}
	h.member = New(Options{
		Host: name, Zone: "z1", Listen: listen, Seeds: in.seeds, Keys: in.keys, Tables: tables,
		Work: func() Work { return work },
		OnWork: func(others Work, at time.Time) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.work, h.at = others, at
		},
	}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.member.Run(ctx)
	}()
	h.stop = func() {
		cancel()
		<-done
	}
	in.t.Cleanup(h.stop)
	return h
}

// eventually waits until the condition holds, and fails the test after 20 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("never: " + what)
}

func TestHostsReceiveEachOthersWork(t *testing.T) {
	in := newInstallation(t, 2)
	first := in.start("hub-1", in.seeds[0], Work{HashID("u"): 1}, nil)
	second := in.start("hub-2", in.seeds[1], Work{HashID("u"): 2}, nil)
	third := in.start("host", freeAddress(t), Work{HashID("u"): 4}, nil)
	otherWorkIs := func(h *host, want float64) func() bool {
		return func() bool { work, _ := h.otherWork(); return work[HashID("u")] == want }
	}
	eventually(t, "the hub has the work of both others", otherWorkIs(first, 6))
	eventually(t, "the other seed has the work of both others", otherWorkIs(second, 5))
	eventually(t, "the host has the work of both hubs", otherWorkIs(third, 3))

	first.stop()
	eventually(t, "the host switches to the other seed", otherWorkIs(third, 2))
	eventually(t, "the other seed is the hub now", otherWorkIs(second, 4))
}

// Several dead seeds delay the contact to the one that answers no longer than a single dead
// seed would.
func TestDeadSeedsAreProbedConcurrently(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t, 1)
	in.start("hub", in.seeds[0], nil, nil)
	answeringSeed := in.seeds[0]
	for range 4 {
		deadSeed, err := net.Listen("tcp", "127.0.0.1:0") // accepts and sends nothing
		is.NoErr(err)
		t.Cleanup(func() { deadSeed.Close() })
		in.seeds = append([]string{deadSeed.Addr().String()}, in.seeds...)
	}
	m := New(Options{Host: "host", Zone: "z1", Listen: freeAddress(t), Seeds: in.seeds, Keys: in.keys, Work: func() Work { return nil }}, zerolog.Nop())
	var key peer.Key
	eventually(t, "the key is there", func() bool {
		var err error
		key, err = sharedKey(t.Context(), in.keys, false)
		return err == nil
	})
	client, err := peer.NewClient(peer.ClientOptions{Self: "host", Keys: []peer.Key{key}})
	is.NoErr(err)
	defer client.Close()
	eventually(t, "the living seed answers", func() bool {
		began := time.Now()
		reached := m.probeSeeds(t.Context(), peerNetwork{client})
		return len(reached) == 1 && reached[0] == answeringSeed && time.Since(began) < 3*callTimeout
	})
}

// While no hub answers, OnWork isn't called: the work received last remains, with its growing
// age.
func TestWorkAgesWithoutHub(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t, 1)
	hub := in.start("hub", in.seeds[0], nil, nil)
	follower := in.start("host", freeAddress(t), nil, nil)
	eventually(t, "the host receives work from the hub", func() bool { _, at := follower.otherWork(); return !at.IsZero() })
	hub.stop()
	eventually(t, "the received work is too old to count", func() bool { _, at := follower.otherWork(); return time.Since(at) > 2*MaxWorkAge })
	_, at := follower.otherWork()
	is.True(!at.IsZero())
}

// fixedTable is a source whose table never changes. It counts the calls for changes.
type fixedTable struct {
	mu    sync.Mutex
	calls int
}

func (f *fixedTable) List(context.Context, string, string, feed.OnReceived) (feed.Page, error) {
	return feed.Page{Revision: 3, Rows: []feed.Row{{Key: "k", Revision: 3}}}, nil
}

func (f *fixedTable) Changes(ctx context.Context, _ string, _ storage.Revision, wait time.Duration, _ feed.OnReceived) (feed.Page, error) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return feed.Page{}, ctx.Err()
	case <-time.After(wait):
		return feed.Page{Revision: 3}, nil
	}
}

func (f *fixedTable) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

type discardHandler struct{}

func (discardHandler) Replace([]feed.Row, storage.Revision) {}
func (discardHandler) Change(feed.Row)                      {}

// If enough hosts report to a hub, its table updates replace their own calls of the store.
func TestHubRelaysTableUpdates(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t, 1)
	sources := make([]*fixedTable, minHostsPerHub+1)
	var members []*Member
	for i := range sources {
		sources[i] = &fixedTable{}
		listen := freeAddress(t)
		if i == 0 {
			listen = in.seeds[0]
		}
		relays := func() bool { return i == 0 && len(members) > 0 && members[0].Relays() }
		w := feed.NewWatcher("t", sources[i], discardHandler{}, feed.Options{Hold: time.Second, Relays: relays}, zerolog.Nop())
		if i == 0 {
			members = append(members, in.start("hub", listen, nil, map[string]*feed.Watcher{"t": w}).member)
		} else {
			in.start(fmt.Sprint("host-", i), listen, nil, map[string]*feed.Watcher{"t": w})
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
	eventually(t, "the hub relays", members[0].Relays)
	eventually(t, "no follower calls the store for twice its hold time", func() bool {
		before := 0
		for _, s := range sources[1:] {
			before += s.count()
		}
		time.Sleep(2 * time.Second)
		after := 0
		for _, s := range sources[1:] {
			after += s.count()
		}
		return after == before
	})
	is.True(sources[0].count() > 0)
}

func TestSharedKey(t *testing.T) {
	is := is.New(t)
	table := memory.NewTable()
	_, err := sharedKey(t.Context(), table, false)
	is.True(errors.Is(err, storage.ErrNotFound)) // without mayCreate the key isn't created
	keys := make([]peer.Key, 8)
	var group sync.WaitGroup
	for i := range keys {
		group.Go(func() {
			key, err := sharedKey(t.Context(), table, true)
			if err != nil {
				t.Error(err)
			}
			keys[i] = key
		})
	}
	group.Wait()
	for _, key := range keys {
		is.Equal(key.Secret, keys[0].Secret) // all use the key that was written first
	}
	is.Equal(len(keys[0].Secret), peer.MinSecretBytes)
	later, err := sharedKey(t.Context(), table, false)
	is.NoErr(err)
	is.Equal(later.Secret, keys[0].Secret)
}

// The reports and replies of one host in a large installation stay within the host's budget for
// control traffic, 7 KB a second, even while all engines have work.
func TestExchangeStaysWithinItsTrafficBudget(t *testing.T) {
	tests := []struct {
		hosts, engines int
		// sentPrefixes is the number of shared prompt prefixes per second that are sent to an engine
		// for the first time.
		sentPrefixes int
	}{
		{9, 9, 10},
		{86, 90, 60},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.hosts), func(t *testing.T) {
			is := is.New(t)
			const exchanges = float64(time.Second) / float64(Interval)
			h := newHub(Options{Zone: "z1"}, zerolog.Nop())
			total, since := 0, uint64(0)
			for range 7 { // the exchanges of about one second
				for i := range test.hosts {
					r := Report{Zone: "z1", Work: make(Work), SentPrefixes: make(SentPrefixes)}
					for j := range max(1, test.engines/test.hosts*2) {
						r.Work[HashID(fmt.Sprintf("i-%010d", (i+j*7)%test.engines))] = 1234
					}
					if i < test.sentPrefixes/7 {
						r.SentPrefixes[HashID(fmt.Sprintf("i-%010d", i))] = []placement.PrefixKey{4123456789}
					}
					h.record(fmt.Sprint("host-", i), r)
					if i == 0 {
						sent, err := json.Marshal(r)
						is.NoErr(err)
						total += len(sent)
					}
				}
				reply := Reply{Zone: "z1", Hosts: test.hosts, Work: h.otherWork("host-0", toHost)}
				reply.SentPrefixes, reply.SentPrefixesLast = h.sentPrefixesSince(since, "host-0", toHost)
				since = reply.SentPrefixesLast
				received, err := json.Marshal(reply)
				is.NoErr(err)
				total += len(received)
			}
			perSecond := float64(total) / 7 * exchanges
			t.Logf("%d hosts, %d engines: %.0f bytes a second", test.hosts, test.engines, perSecond)
			is.True(perSecond < 7_000)
		})
	}
}

func TestWorkAndSentPrefixesOnTheWire(t *testing.T) {
	is := is.New(t)
	report := Report{
		Work:         Work{HashID("a"): 12.4, HashID("b"): 1e9},
		SentPrefixes: SentPrefixes{HashID("a"): {1, 4123456789}, HashID("b"): {7}},
	}
	data, err := json.Marshal(report)
	is.NoErr(err)
	var got Report
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(got.Work, Work{HashID("a"): 12, HashID("b"): maxWork}) // rounded to milliseconds, capped at about a minute
	is.Equal(got.SentPrefixes, report.SentPrefixes)
	for _, bad := range []string{`{"work":"AAA"}`, `{"work":"!"}`, `{"work":7}`, `{"reads":"AAAAAAA"}`} {
		is.True(json.Unmarshal([]byte(bad), &got) != nil)
	}
}
