package config_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/config/configtest"
)

func TestMajorityContinuesWithoutTable(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		f.submit(t, config.Head{}, "1")
		n := configtest.NewNetwork()
		n.Start(t, config.WatcherOptions{Store: f.store}, "a", "b", "c", "d", "e")
		settle()
		f.table.SetDown(true)
		time.Sleep(10 * time.Minute) // a long outage
		is.Equal(n.States(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
		n.Isolate("d", "e")
		is.Equal(n.States(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
		time.Sleep(beyondBound)
		is.Equal(n.States(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1 stopped", "e": "1 stopped"})
		n.Isolate("c", "d", "e")
		time.Sleep(beyondBound)
		is.Equal(n.States(), map[string]string{"a": "1 stopped", "b": "1 stopped", "c": "1", "d": "1", "e": "1"})
		n.Isolate()
		f.table.SetDown(false)
		settle()
		is.Equal(n.States(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
	})
}

// A known limitation of the majority rule: if only a minority of the hosts can reach
// the table, the majority doesn't learn of a new manifest. ReportConfirmations must
// list the hosts of the majority as unconfirmed, and once they can query the minority
// they must put the new manifest in force.
func TestOnlyAMinorityReachesTheTable(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		first := f.submit(t, config.Head{}, "1")
		minority := config.WatcherOptions{Store: f.newStore()}
		majority := newFixture()
		_, err := majority.store.Submit(t.Context(), document("", "1"), "token")
		is.NoErr(err)
		n := configtest.NewNetwork()
		n.Start(t, minority, "a", "b")
		n.Start(t, config.WatcherOptions{Store: majority.store}, "c", "d", "e")
		settle()
		majority.table.SetDown(true)
		majority.objects.SetDown(true)
		n.Isolate("a", "b")
		second := f.submit(t, first, "2")
		time.Sleep(beyondBound)
		is.Equal(n.States(), map[string]string{"a": "2", "b": "2", "c": "1", "d": "1", "e": "1"})
		report, err := f.store.ReportConfirmations(t.Context(), second, slices.Collect(maps.Keys(n.States())))
		is.NoErr(err)
		is.Equal(report, config.ConfirmationReport{Confirmed: []string{"a", "b"}, Unconfirmed: []string{"c", "d", "e"}})
		n.Isolate()
		settle()
		is.Equal(n.States(), map[string]string{"a": "2", "b": "2", "c": "2", "d": "2", "e": "2"})
	})
}

func TestNewHostDuringOutage(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		f.submit(t, config.Head{}, "1")
		n := configtest.NewNetwork()
		n.Start(t, config.WatcherOptions{Store: f.store}, "a", "b", "c")
		settle()
		f.table.SetDown(true)
		f.objects.SetDown(true)
		n.Start(t, config.WatcherOptions{Store: f.store}, "new")
		time.Sleep(beyondBound)
		is.Equal(n.States()["new"], "1")
		alone := run(t, config.WatcherOptions{Store: f.store, Peers: &scriptedPeers{hostCount: 4}})
		settle()
		is.Equal(alone.Check(), config.ErrNoManifest)
	})
}

// The epoch in force must never decrease, whatever the peers report.
func TestEpochNeverDecreases(t *testing.T) {
	for _, tc := range []struct {
		desc string
		// peer is the report of a peer while the table is down.
		peer config.PeerView
		// want is the error that OnError must get. It is nil if OnError must not be
		// called. stale is whether the host's evidence must have expired.
		want  error
		stale bool
	}{
		{"lagging peer without table read", config.PeerView{Epoch: 1}, nil, true},
		{"lagging peer with old table read", config.PeerView{Epoch: 1, HasTableRead: true, TableReadAge: time.Hour}, nil, true},
		{"peer whose new table read returned an old head", config.PeerView{Epoch: 1, HasTableRead: true}, config.ErrTableRolledBack, true},
		{"peer with another digest", config.PeerView{Epoch: 2, Digest: "sha256:0", HasTableRead: true}, config.ErrFork, true},
		{"peer that has learned of a newer head", config.PeerView{Epoch: 2, Newest: 3}, nil, true},
		{"peer that agrees", config.PeerView{Epoch: 2}, nil, false},
		{"peer that agreed long ago", config.PeerView{Epoch: 2, Age: time.Hour}, nil, true},
		{"the host itself", config.PeerView{Host: "self", Epoch: 2}, nil, true},
		{"peer that agreed long ago, with table read in the future", config.PeerView{Epoch: 2, Age: time.Hour, HasTableRead: true, TableReadAge: -2 * time.Hour}, nil, true},
		{"peer with table read", config.PeerView{Epoch: 2, HasTableRead: true, TableReadAge: time.Second}, nil, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
				first := f.submit(t, config.Head{}, "1")
				second := f.submit(t, first, "2")
				peer := tc.peer
				if peer.Host == "" {
					peer.Host = "p"
				}
				if peer.Digest == "" {
					peer.Digest = map[uint64]string{1: first.Digest, 2: second.Digest}[peer.Epoch]
				}
				peers := &scriptedPeers{hostCount: 2}
				var log errorLog
				w := run(t, config.WatcherOptions{Store: f.store, Host: "self", Peers: peers, OnError: log.add})
				settle()
				peers.setViews(peer)
				f.table.SetDown(true)
				w.ObserveHead(first)
				time.Sleep(beyondBound)
				is.Equal(w.Current().Epoch, uint64(2))
				is.Equal(isStale(w.Check()), tc.stale)
				is.True(log.contains(tc.want))
			})
		})
	}
}

// If a peer and the table report different digests for an epoch, the host must use the
// digest from the table.
func TestTableOverridesPeer(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		f.submit(t, config.Head{}, "1")
		f.table.SetDown(true)
		var log errorLog
		w := run(t, config.WatcherOptions{Store: f.store, OnError: log.add})
		w.ObserveHead(config.Head{Epoch: 1, Digest: "sha256:0"})
		settle()
		is.Equal(w.Check(), config.ErrNoManifest)
		f.table.SetDown(false)
		settle()
		is.NoErr(w.Check())
		is.True(log.contains(config.ErrFork))
	})
}
