package config_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/platform"
	"github.com/quetzalweir/quetzalweir/platform/faulty"
)

// run starts a watcher that ends with the test's bubble.
func run(t *testing.T, options config.WatcherOptions) *config.Watcher {
	t.Helper()
	w := config.NewWatcher(options)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

func isStale(err error) bool {
	var stale *config.StaleError
	return errors.As(err, &stale)
}

func TestWatcherFollowsTheHead(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		var epochs []uint64
		w := run(t, config.WatcherOptions{
			Store:    b.store,
			Host:     "a",
			OnChange: func(p *manifest.Policy) { epochs = append(epochs, p.Epoch) },
		})
		settle()
		is.Equal(w.Check(), config.ErrNoManifest)
		first := b.submit(t, config.Head{}, "1")
		settle()
		is.NoErr(w.Check())
		is.Equal(w.Current().Digest, first.Digest)
		second := b.submit(t, first, "2")
		settle()
		is.Equal(w.Current().Epoch, second.Epoch)
		is.Equal(epochs, []uint64{1, 2})
		report, err := b.store.Report(t.Context(), second, []string{"a"})
		is.NoErr(err)
		is.Equal(report.Confirmed, []string{"a"})
	})
}

// A host without peers stops when the table's word is too old, and goes on
// when the table is back.
func TestWatcherUnderTableFaults(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		fault func(*bench)
		// stops says that the host takes no work during the fault.
		stops bool
	}{
		{"table down", func(b *bench) { b.table.SetDown(true) }, true},
		{"slow within the bound", func(b *bench) { b.table.SetDelay(3 * time.Second) }, false},
		{"slower than the bound", func(b *bench) { b.table.SetDelay(6 * time.Second) }, true},
		{"object store down", func(b *bench) { b.objects.SetDown(true) }, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			inBench(t, func(t *testing.T, is *is.I, b *bench) {
				b.submit(t, config.Head{}, "1")
				w := run(t, config.WatcherOptions{Store: b.store})
				settle()
				tc.fault(b)
				is.NoErr(w.Check()) // the word is still new
				time.Sleep(pastBound)
				for range 20 {
					time.Sleep(500 * time.Millisecond)
					is.Equal(isStale(w.Check()), tc.stops)
				}
				is.Equal(w.Current().Epoch, uint64(1))
				b.table.Heal()
				b.objects.SetDown(false)
				time.Sleep(pastBound)
				is.NoErr(w.Check())
			})
		})
	}
}

// A head that is known and can't be loaded stops the host after the bound.
func TestWatcherStopsOnAHeadThatItCannotLoad(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		first := b.submit(t, config.Head{}, "1")
		w := run(t, config.WatcherOptions{Store: b.store})
		settle()
		b.submit(t, first, "2")
		b.objects.SetDown(true)
		time.Sleep(pastBound)
		var stale *config.StaleError
		is.True(errors.As(w.Check(), &stale))
		is.Equal(stale.Newest, uint64(2))
		is.Equal(w.Current().Epoch, uint64(1))
		b.objects.SetDown(false)
		settle()
		is.NoErr(w.Check())
		is.Equal(w.Current().Epoch, uint64(2))
	})
}

// holdAnswers keeps the answers of reads that were served already, as if the
// reading process had been stopped in between.
func holdAnswers(table *faulty.Table) (release func()) {
	held := make(chan struct{})
	table.SetHooks(nil, func() { <-held })
	return func() {
		table.SetHooks(nil, nil)
		close(held)
	}
}

// A host that was frozen with an answer on its way takes no work after it
// thaws, until it has new word: the answer is as old as its question.
func TestFrozenHostDoesNotServeOldConfiguration(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		first := b.submit(t, config.Head{}, "1")
		table := faulty.New(b.table)
		w := run(t, config.WatcherOptions{Store: config.NewStore(table, b.objects)})
		settle()
		is.NoErr(w.Check())

		thaw := holdAnswers(table)
		settle() // reads are under way and served
		b.submit(t, first, "2")
		time.Sleep(time.Minute)
		is.True(isStale(w.Check())) // at once, by the clock alone
		b.table.SetDown(true)       // no new word after the thaw
		thaw()
		synctest.Wait()
		is.True(isStale(w.Check())) // the old answers are no evidence
		b.table.SetDown(false)
		settle()
		is.NoErr(w.Check())
		is.Equal(w.Current().Epoch, uint64(2))
	})
}

func TestMajorityGoesOnWithoutTheTable(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		b.submit(t, config.Head{}, "1")
		n := newNetwork()
		n.add(t, config.WatcherOptions{Store: b.store}, "a", "b", "c", "d", "e")
		settle()
		b.table.SetDown(true)
		time.Sleep(10 * time.Minute) // a long outage
		is.Equal(n.states(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
		n.isolate("d", "e")
		is.Equal(n.states(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
		time.Sleep(pastBound)
		is.Equal(n.states(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1 stopped", "e": "1 stopped"})
		n.isolate("c", "d", "e")
		time.Sleep(pastBound)
		is.Equal(n.states(), map[string]string{"a": "1 stopped", "b": "1 stopped", "c": "1", "d": "1", "e": "1"})
		n.isolate()
		b.table.SetDown(false)
		settle()
		is.Equal(n.states(), map[string]string{"a": "1", "b": "1", "c": "1", "d": "1", "e": "1"})
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
		n := newNetwork()
		n.add(t, withTable, "a", "b")
		n.add(t, config.WatcherOptions{Store: without.store}, "c", "d", "e")
		settle()
		without.table.SetDown(true)
		without.objects.SetDown(true)
		n.isolate("a", "b")
		second := b.submit(t, first, "2")
		time.Sleep(pastBound)
		is.Equal(n.states(), map[string]string{"a": "2", "b": "2", "c": "1", "d": "1", "e": "1"})
		report, err := b.store.Report(t.Context(), second, slices.Collect(maps.Keys(n.states())))
		is.NoErr(err)
		is.Equal(report, config.InForce{Confirmed: []string{"a", "b"}, Unconfirmed: []string{"c", "d", "e"}})
		n.isolate()
		settle()
		is.Equal(n.states(), map[string]string{"a": "2", "b": "2", "c": "2", "d": "2", "e": "2"})
	})
}

func TestFreshHostDuringAnOutage(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		b.submit(t, config.Head{}, "1")
		n := newNetwork()
		n.add(t, config.WatcherOptions{Store: b.store}, "a", "b", "c")
		settle()
		b.table.SetDown(true)
		b.objects.SetDown(true)
		n.add(t, config.WatcherOptions{Store: b.store}, "new")
		time.Sleep(pastBound)
		is.Equal(n.states()["new"], "1")
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

// Confirmations are merged under the budget and written anew now and then.
func TestConfirmationsAreMerged(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		head := b.submit(t, config.Head{}, "0")
		table := faulty.New(b.inner)
		run(t, config.WatcherOptions{
			Store: config.NewStore(table, b.objects), Host: "a",
			Poll: 100 * time.Millisecond, ConfirmsPerSecond: 1,
		})
		for i := range 100 {
			head = b.submit(t, head, fmt.Sprint(i+1))
			time.Sleep(100 * time.Millisecond)
		}
		settle()
		report, err := b.store.Report(t.Context(), head, []string{"a"})
		is.NoErr(err)
		is.Equal(report.Confirmed, []string{"a"})
		commits := table.Counts().Commits
		is.True(commits <= 17) // 13 s at one a second, less jitter
		time.Sleep(2 * time.Hour)
		is.True(table.Counts().Commits > commits)
		is.True(table.Counts().Commits <= commits+2)
	})
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

// A table that was set back to an older state doesn't set the hosts back.
func TestTableThatWentBack(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		first := b.submit(t, config.Head{}, "1")
		old, err := b.inner.Get(t.Context(), "config/head")
		is.NoErr(err)
		b.submit(t, first, "2")
		w := run(t, config.WatcherOptions{Store: b.store})
		settle()
		_, err = b.inner.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: old.Key, Value: old.Value}}})
		is.NoErr(err)
		time.Sleep(pastBound)
		is.Equal(w.Current().Epoch, uint64(2))
		is.True(isStale(w.Check()))
	})
}
