package membership

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
)

func TestLeavingFactReachesAllDespitePartitionedPair(t *testing.T) {
	runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		first, second := hostID(0), hostID(6)
		n.setPartition(func(a, b string) bool { return a == first && b == second || a == second && b == first })
		if err := hosts[0].Put(Fact{Key: "leaving/engine-3", Version: 1}); err != nil {
			t.Fatal(err)
		}
		took := waitFor(t, maxDisseminationTime, "fact on all hosts", func() bool { return allHaveFact(hosts, "leaving/engine-3", 1) })
		t.Logf("fact on all hosts after %v", took)
		time.Sleep(time.Minute)
		for _, h := range hosts { // indirect probes reach both hosts of the pair
			if suspected := h.Stats().Suspected; suspected != 0 {
				t.Fatalf("%d suspicions", suspected)
			}
		}
	})
}

// TestPushAloneReachesAll checks that pushes deliver a fact to all hosts without
// the exchanges of rounds: the next round is a day later.
func TestPushAloneReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop(t)
		var hosts []*host
		for i := range hostCount {
			hosts = append(hosts, n.startHost(t, i, zoneCount, func(o *Options) {
				o.RoundInterval = 24 * time.Hour
				o.PushFanout = hostCount
			}))
		}
		waitFor(t, 2*time.Minute, "all up", func() bool { return allUp(hosts) })
		if err := hosts[0].Put(Fact{Key: "head", Version: 1}); err != nil {
			t.Fatal(err)
		}
		waitFor(t, time.Second, "fact on all hosts", func() bool { return allHaveFact(hosts, "head", 1) })
	})
}

func TestPutRejectsInvalidFacts(t *testing.T) {
	m := newWithoutPeers(t)
	if err := m.Put(Fact{Key: "k", Version: 5}); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		desc string
		fact Fact
		want error
	}{
		{"no key", Fact{Version: 1}, ErrInvalidFact},
		{"no version", Fact{Key: "a"}, ErrInvalidFact},
		{"large value", Fact{Key: "a", Version: 1, Value: make([]byte, MaxFactValue+1)}, ErrInvalidFact},
		{"negative lifetime", Fact{Key: "a", Version: 1, TTL: -1}, ErrInvalidFact},
		{"lower version", Fact{Key: "k", Version: 4}, ErrStale},
		{"same version", Fact{Key: "k", Version: 5, Value: []byte("x")}, ErrStale},
		{"higher version", Fact{Key: "k", Version: 6}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if err := m.Put(tt.fact); !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestExpiredFactsDoNotReturn(t *testing.T) {
	runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		is.NoErr(hosts[0].Put(Fact{Key: "k", Version: 5, Value: []byte("new"), TTL: 10 * time.Second}))
		waitFor(t, time.Second, "fact on all hosts", func() bool { return allHaveFact(hosts, "k", 5) })
		time.Sleep(11 * time.Second)
		for _, h := range hosts {
			_, ok := h.Get("k")
			is.True(!ok)
		}
		_, err := hosts[3].HandleExchange(t.Context(), Message{From: hostID(1), Kind: KindPush, Facts: []Fact{{Key: "k", Version: 4}}})
		is.NoErr(err)
		_, ok := hosts[3].Get("k")
		is.True(!ok)
	})
}

func TestWatchersReceiveIncreasingVersions(t *testing.T) {
	is := is.New(t)
	m := newWithoutPeers(t)
	is.NoErr(m.Put(Fact{Key: "head", Version: 1}))
	is.NoErr(m.Put(Fact{Key: "other", Version: 1}))
	var versions []uint64
	cancel := m.Watch("he", func(f Fact) {
		versions = append(versions, f.Version)
		if f.Version < 3 {
			is.NoErr(m.Put(Fact{Key: "head", Version: f.Version + 1})) // watchers may call the Membership
		}
	})
	is.Equal(versions, []uint64{1, 2, 3})
	cancel()
	is.NoErr(m.Put(Fact{Key: "head", Version: 9}))
	is.Equal(len(versions), 3)
}

func TestFactsAreBounded(t *testing.T) {
	is := is.New(t)
	m, err := New(Options{Self: Member{ID: "self"}, Transport: unreachableTransport{}, MaxFacts: 1})
	is.NoErr(err)
	is.NoErr(m.Put(Fact{Key: "a", Version: 1}))
	is.True(errors.Is(m.Put(Fact{Key: "b", Version: 1}), ErrFull))
	is.NoErr(m.Put(Fact{Key: "a", Version: 2}))
}

// TestUpdatesCommute delivers the same updates to two hosts in different orders,
// and some of them repeatedly. Both must end with the same records and digests.
func TestUpdatesCommute(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		member := rapid.Custom(func(rt *rapid.T) Member {
			return Member{
				ID:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id"),
				State:       rapid.SampledFrom([]State{Up, Leaving, Suspect}).Draw(rt, "state"),
				Incarnation: rapid.Uint64Range(1, 4).Draw(rt, "incarnation"),
			}
		})
		fact := rapid.Custom(func(rt *rapid.T) Fact {
			return Fact{
				Key:     rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "key"),
				Version: rapid.Uint64Range(1, 4).Draw(rt, "version"),
				Value:   []byte(rapid.SampledFrom([]string{"", "p", "q"}).Draw(rt, "value")),
			}
		})
		members := rapid.SliceOfN(member, 1, 20).Draw(rt, "members")
		facts := rapid.SliceOfN(fact, 1, 20).Draw(rt, "facts")
		first, second := newWithoutPeers(t), newWithoutPeers(t)
		second.announce(first.Self().Incarnation, time.Now())
		deliver := func(m *Membership, members []Member, facts []Fact) {
			for _, member := range members {
				m.HandleExchange(t.Context(), Message{From: "z", Kind: KindPush, Members: []Member{member}})
			}
			for _, fact := range facts {
				m.HandleExchange(t.Context(), Message{From: "z", Kind: KindPush, Facts: []Fact{fact}})
			}
		}
		deliver(first, members, facts)
		deliver(second, rapid.Permutation(members).Draw(rt, "order"), rapid.Permutation(facts).Draw(rt, "fact order"))
		deliver(second, members[:1], facts[:1])
		if !slices.Equal(first.Members(), second.Members()) || first.store.digest() != second.store.digest() {
			rt.Fatalf("differ: %v %v; %v %v", first.Members(), first.Facts(""), second.Members(), second.Facts(""))
		}
	})
}

func TestSyncFindsEachDifference(t *testing.T) {
	runNetwork(t, 2, 1, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		n.setPartition(func(a, b string) bool { return true })
		value := []byte(strings.Repeat("v", 200))
		for i := range 300 {
			is.NoErr(hosts[i%2].Put(Fact{Key: hostID(i), Version: 1, Value: value, Lazy: true}))
		}
		is.NoErr(hosts[0].Put(Fact{Key: "both", Version: 1, Value: []byte("p")}))
		is.NoErr(hosts[1].Put(Fact{Key: "both", Version: 1, Value: []byte("q")}))
		n.setPartition(nil)
		waitFor(t, time.Minute, "equal", func() bool {
			return slices.EqualFunc(hosts[0].Facts(""), hosts[1].Facts(""), func(a, b Fact) bool {
				return a.Key == b.Key && string(a.Value) == string(b.Value)
			})
		})
		is.Equal(len(hosts[0].Facts("")), 301)
	})
}
