package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/config/configtest"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
)

// run starts a watcher that ends with the test's bubble.
func run(t *testing.T, options config.WatcherOptions) *config.Watcher {
	t.Helper()
	w := config.NewWatcher(options)
	configtest.Run(t, w)
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

// A manifest that takes longer to arrive than one source is given at first must come
// into force all the same. With one limit for every try the host cut each reading at the
// same byte and took no work for good: StaleError with Newest 2, Current 1.
func TestManifestThatArrivesSlowlyComesIntoForce(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		const arriving = 2 * config.DefaultBound
		first := b.submit(t, config.Head{}, "1")
		w := run(t, config.WatcherOptions{Store: b.store})
		settle()
		b.objects.SetReadDelay(arriving)
		second := b.submit(t, first, "2")
		time.Sleep(4 * arriving)
		synctest.Wait()
		is.Equal(w.Current().Epoch, uint64(2))
		is.NoErr(w.Check())

		// The next one has the time from its first try on.
		b.submit(t, second, "3")
		time.Sleep(arriving + pastBound)
		synctest.Wait()
		is.Equal(w.Current().Epoch, uint64(3))
		is.NoErr(w.Check())
	})
}

// Manifests that replace each other before one of them has arrived don't keep the
// host from any: the time that it gives one is what the one before lacked.
func TestManifestsThatChangeFasterThanTheyArrive(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		const arriving = config.DefaultBound
		head := b.submit(t, config.Head{}, "1")
		w := run(t, config.WatcherOptions{Store: b.store})
		settle()
		b.objects.SetReadDelay(arriving)
		for i := range 12 {
			b.objects.SetReadDelay(0) // the submitter's own link is large
			head = b.submit(t, head, fmt.Sprint(i+2))
			b.objects.SetReadDelay(arriving)
			time.Sleep(arriving * 3 / 4)
		}
		synctest.Wait()
		is.True(w.Current().Epoch > 1)
	})
}

// peerBodies answers at once with the bodies that it has.
type peerBodies map[string][]byte

func (p peerBodies) FetchBody(_ context.Context, digest string) ([]byte, error) {
	body, ok := p[digest]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return body, nil
}

// While the object store hangs, a manifest comes from a peer within the first limit,
// the eighth as the first: a peer's quick answer leaves no longer limit to the store.
func TestHangingObjectsDelayNoManifestMore(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		bodies := peerBodies{}
		head := b.submit(t, config.Head{}, "1")
		w := run(t, config.WatcherOptions{Store: b.store, Bodies: bodies})
		settle()
		for i := range 8 {
			build := fmt.Sprint(i + 2)
			body := document(head.Digest, build)
			bodies[digestOf(body)] = body
			b.objects.SetReadDelay(0) // the submitter's way is sound
			head = b.submit(t, head, build)
			b.objects.SetReadDelay(time.Hour)
			time.Sleep(config.DefaultBound)
			is.Equal(w.Current().Epoch, head.Epoch)
		}
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

// A table that was set back to an older state doesn't set the hosts back.
func TestTableThatWentBack(t *testing.T) {
	inBench(t, func(t *testing.T, is *is.I, b *bench) {
		first := b.submit(t, config.Head{}, "1")
		old, err := b.inner.Get(t.Context(), "config/head")
		is.NoErr(err)
		b.submit(t, first, "2")
		w := run(t, config.WatcherOptions{Store: b.store})
		settle()
		_, err = b.inner.Commit(t.Context(), storage.Txn{Puts: []storage.Put{{Key: old.Key, Value: old.Value}}})
		is.NoErr(err)
		time.Sleep(pastBound)
		is.Equal(w.Current().Epoch, uint64(2))
		is.True(isStale(w.Check()))
	})
}
