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

func TestMajorityGoesOnWithoutTheTable(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		b.submit(t, config.Head{}, "1")
		n := configtest.NewNetwork()
		n.Start(t, config.WatcherOptions{Store: b.store}, "a", "b", "c", "d", "e")
		settle()
		b.table.SetDown(true)
		time.Sleep(10 * time.Minute) // a long outage
		is.Equal(n.States(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
		n.Isolate("d", "e")
		is.Equal(n.States(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
		time.Sleep(pastBound)
		is.Equal(n.States(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1 stopped", "e": "1 stopped"})
		n.Isolate("c", "d", "e")
		time.Sleep(pastBound)
		is.Equal(n.States(), map[string]string{"a": "1 stopped", "b": "1 stopped", "c": "1", "d": "1", "e": "1"})
		n.Isolate()
		b.table.SetDown(false)
		settle()
		is.Equal(n.States(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
	})
}

// The known weak spot of the majority rule: where only a minority reaches the
// table, the majority doesn't hear of a new manifest. The report says so, and
// one answer of the minority puts the new one in force.
func TestMinorityWithTheTable(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		first := b.submit(t, config.Head{}, "1")
		withTable := config.WatcherOptions{Store: b.newStore()}
		without := newBench()
		_, err := without.store.Submit(t.Context(), document("", "1"), "token")
		is.NoErr(err)
		n := configtest.NewNetwork()
		n.Start(t, withTable, "a", "b")
		n.Start(t, config.WatcherOptions{Store: without.store}, "c", "d", "e")
		settle()
		without.table.SetDown(true)
		without.objects.SetDown(true)
		n.Isolate("a", "b")
		second := b.submit(t, first, "2")
		time.Sleep(pastBound)
		is.Equal(n.States(), map[string]string{"a": "2", "b": "2", "c": "1", "d": "1", "e": "1"})
		report, err := b.store.Report(t.Context(), second, slices.Collect(maps.Keys(n.States())))
		is.NoErr(err)
		is.Equal(report, config.InForce{Confirmed: []string{"a", "b"}, Unconfirmed: []string{"c", "d", "e"}})
		n.Isolate()
		settle()
		is.Equal(n.States(), map[string]string{"a": "2", "b": "2", "c": "2", "d": "2", "e": "2"})
	})
}

func TestFreshHostDuringAnOutage(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		b.submit(t, config.Head{}, "1")
		n := configtest.NewNetwork()
		n.Start(t, config.WatcherOptions{Store: b.store}, "a", "b", "c")
		settle()
		b.table.SetDown(true)
		b.objects.SetDown(true)
		n.Start(t, config.WatcherOptions{Store: b.store}, "new")
		time.Sleep(pastBound)
		is.Equal(n.States()["new"], "1")
		alone := run(t, config.WatcherOptions{Store: b.store, Peers: &scriptedPeers{known: 4}})
		settle()
		is.Equal(alone.Check(), config.ErrNoManifest)
	})
}

// The epoch in force only rises, whoever tells what.
func TestOldNewsNeverReverts(t *testing.T) {
	for _, tc := range []struct {
		desc string
		// peers answer this while the table is down.
		peer config.PeerView
		// want is reported by OnError, if anything.
		want  error
		stops bool
	}{
		{"lagging peer without word", config.PeerView{Epoch: 1}, nil, true},
		{"lagging peer with old word", config.PeerView{Epoch: 1, HasWord: true, WordAge: time.Hour}, nil, true},
		{"peer whose new word is of an old head", config.PeerView{Epoch: 1, HasWord: true}, config.ErrWentBack, true},
		{"peer with another digest", config.PeerView{Epoch: 2, Digest: "sha256:0", HasWord: true}, config.ErrFork, true},
		{"peer that knows of a newer head", config.PeerView{Epoch: 2, Newest: 3}, nil, true},
		{"peer that agrees", config.PeerView{Epoch: 2}, nil, false},
		{"peer that agreed long ago", config.PeerView{Epoch: 2, Age: time.Hour}, nil, true},
		{"the host itself", config.PeerView{Host: "self", Epoch: 2}, nil, true},
		{"peer that agreed long ago, with word of the future", config.PeerView{Epoch: 2, Age: time.Hour, HasWord: true, WordAge: -2 * time.Hour}, nil, true},
		{"peer with word", config.PeerView{Epoch: 2, HasWord: true, WordAge: time.Second}, nil, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			inBench(t, func(t *testing.T, is *is.I, b *bench) {
				first := b.submit(t, config.Head{}, "1")
				second := b.submit(t, first, "2")
				peer := tc.peer
				if peer.Host == "" {
					peer.Host = "p"
				}
				if peer.Digest == "" {
					peer.Digest = map[uint64]string{1: first.Digest, 2: second.Digest}[peer.Epoch]
				}
				peers := &scriptedPeers{known: 2}
				var log errorLog
				w := run(t, config.WatcherOptions{Store: b.store, Host: "self", Peers: peers, OnError: log.add})
				settle()
				peers.answer(peer)
				b.table.SetDown(true)
				w.Offer(first)
				time.Sleep(pastBound)
				is.Equal(w.Current().Epoch, uint64(2))
				is.Equal(isStale(w.Check()), tc.stops)
				is.True(log.is(tc.want))
			})
		})
	}
}

// What a peer says of an epoch gives way to what the table says.
func TestTableOverrulesAPeer(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		b.submit(t, config.Head{}, "1")
		b.table.SetDown(true)
		var log errorLog
		w := run(t, config.WatcherOptions{Store: b.store, OnError: log.add})
		w.Offer(config.Head{Epoch: 1, Digest: "sha256:0"})
		settle()
		is.Equal(w.Check(), config.ErrNoManifest)
		b.table.SetDown(false)
		settle()
		is.NoErr(w.Check())
		is.True(log.is(config.ErrFork))
	})
}
