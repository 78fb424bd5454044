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

// run starts a watcher that runs until the test ends.
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
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		var epochs []uint64
		w := run(t, config.WatcherOptions{
			Store:    f.store,
			Host:     "a",
			OnChange: func(p *manifest.Policy) { epochs = append(epochs, p.Epoch) },
		})
		settle()
		is.Equal(w.Check(), config.ErrNoManifest)
		first := f.submit(t, config.Head{}, "1")
		settle()
		is.NoErr(w.Check())
		is.Equal(w.Current().Digest, first.Digest)
		second := f.submit(t, first, "2")
		settle()
		is.Equal(w.Current().Epoch, second.Epoch)
		is.Equal(epochs, []uint64{1, 2})
		report, err := f.store.ReportConfirmations(t.Context(), second, []string{"a"})
		is.NoErr(err)
		is.Equal(report.Confirmed, []string{"a"})
	})
}

// A host without peers must stop accepting requests when its last table read is older than
// the freshness bound, and must accept them again when the table has recovered.
func TestWatcherUnderTableFaults(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		fault func(*fixture)
		// stale is true if the host must not accept requests during the fault.
		stale bool
	}{
		{"table down", func(f *fixture) { f.table.SetDown(true) }, true},
		{"slow within the bound", func(f *fixture) { f.table.SetDelay(3 * time.Second) }, false},
		{"slower than the bound", func(f *fixture) { f.table.SetDelay(6 * time.Second) }, true},
		{"object store down", func(f *fixture) { f.objects.SetDown(true) }, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
				f.submit(t, config.Head{}, "1")
				w := run(t, config.WatcherOptions{Store: f.store})
				settle()
				tc.fault(f)
				is.NoErr(w.Check()) // the last read is within the bound
				time.Sleep(beyondBound)
				for range 20 {
					time.Sleep(500 * time.Millisecond)
					is.Equal(isStale(w.Check()), tc.stale)
				}
				is.Equal(w.Current().Epoch, uint64(1))
				f.table.ClearFaults()
				f.objects.SetDown(false)
				time.Sleep(beyondBound)
				is.NoErr(w.Check())
			})
		})
	}
}

// A host that has learned of a newer head but can't load the manifest of that head must
// stop accepting requests when its evidence is older than the freshness bound.
func TestWatcherStopsOnAHeadThatItCannotLoad(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		first := f.submit(t, config.Head{}, "1")
		w := run(t, config.WatcherOptions{Store: f.store})
		settle()
		f.submit(t, first, "2")
		f.objects.SetDown(true)
		time.Sleep(beyondBound)
		var stale *config.StaleError
		is.True(errors.As(w.Check(), &stale))
		is.Equal(stale.Newest, uint64(2))
		is.Equal(w.Current().Epoch, uint64(1))
		f.objects.SetDown(false)
		settle()
		is.NoErr(w.Check())
		is.Equal(w.Current().Epoch, uint64(2))
	})
}

// A manifest that takes longer to load than the initial timeout must still be put in force.
// Guards against a fixed timeout, with which an earlier version cut off each load at the
// same byte and never accepted requests again: Check returned a StaleError with Newest 2
// while epoch 1 was in force.
func TestSlowlyLoadedManifestIsPutInForce(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		const readDelay = 2 * config.DefaultFreshnessBound
		first := f.submit(t, config.Head{}, "1")
		w := run(t, config.WatcherOptions{Store: f.store})
		settle()
		f.objects.SetReadDelay(readDelay)
		second := f.submit(t, first, "2")
		time.Sleep(4 * readDelay)
		synctest.Wait()
		is.Equal(w.Current().Epoch, uint64(2))
		is.NoErr(w.Check())

		// The next load has a sufficient timeout at its first attempt.
		f.submit(t, second, "3")
		time.Sleep(readDelay + beyondBound)
		synctest.Wait()
		is.Equal(w.Current().Epoch, uint64(3))
		is.NoErr(w.Check())
	})
}

// If each manifest is replaced before its load finishes, the host must still put a few of
// them in force. The timeout must therefore grow with each load that times out, even if the
// loads are of different manifests.
func TestManifestsThatChangeFasterThanTheyLoad(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		const readDelay = config.DefaultFreshnessBound
		head := f.submit(t, config.Head{}, "1")
		w := run(t, config.WatcherOptions{Store: f.store})
		settle()
		f.objects.SetReadDelay(readDelay)
		for i := range 12 {
			f.objects.SetReadDelay(0) // the submitter has a fast link
			head = f.submit(t, head, fmt.Sprint(i+2))
			f.objects.SetReadDelay(readDelay)
			time.Sleep(readDelay * 3 / 4)
		}
		synctest.Wait()
		is.True(w.Current().Epoch > 1)
	})
}

// peerBodies implements config.Bodies without delay; it maps digests to bodies.
type peerBodies map[string][]byte

func (p peerBodies) FetchBody(_ context.Context, digest string) ([]byte, error) {
	body, ok := p[digest]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return body, nil
}

// While the object store hangs, eight manifests are accepted one after the other, and each
// must be loaded from a peer and put in force within the freshness bound. The load timeout
// grows when the object store doesn't respond, so a fast load from a peer must reset it.
func TestLoadFromPeerResetsTimeout(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		bodies := peerBodies{}
		head := f.submit(t, config.Head{}, "1")
		w := run(t, config.WatcherOptions{Store: f.store, Bodies: bodies})
		settle()
		for i := range 8 {
			build := fmt.Sprint(i + 2)
			body := document(head.Digest, build)
			bodies[digestOf(body)] = body
			f.objects.SetReadDelay(0) // no delay for the submitter
			head = f.submit(t, head, build)
			f.objects.SetReadDelay(time.Hour)
			time.Sleep(config.DefaultFreshnessBound)
			is.Equal(w.Current().Epoch, head.Epoch)
		}
	})
}

// holdResponses holds back the responses of reads that the table has already served, as
// if the reading process were suspended.
func holdResponses(table *faulty.Table) (release func()) {
	released := make(chan struct{})
	table.SetHooks(nil, func() { <-released })
	return func() {
		table.SetHooks(nil, nil)
		close(released)
	}
}

// A host that was suspended during a table read must not accept requests when it resumes,
// until it has read the table again, because the response may be as old as the start of the
// read.
func TestSuspendedHostRejectsStaleReads(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		first := f.submit(t, config.Head{}, "1")
		table := faulty.NewTable(f.table)
		w := run(t, config.WatcherOptions{Store: config.NewStore(table, f.objects)})
		settle()
		is.NoErr(w.Check())

		resume := holdResponses(table)
		settle() // reads are served, but their responses are held back
		f.submit(t, first, "2")
		time.Sleep(time.Minute)
		is.True(isStale(w.Check())) // the evidence has expired
		f.table.SetDown(true)       // the host can't read the table when it resumes
		resume()
		synctest.Wait()
		is.True(isStale(w.Check())) // the responses to old reads are no evidence
		f.table.SetDown(false)
		settle()
		is.NoErr(w.Check())
		is.Equal(w.Current().Epoch, uint64(2))
	})
}

// A host must keep the rate of its confirmations within ConfirmsPerSecond by skipping
// epochs, and must rewrite an unchanged confirmation every hour.
func TestConfirmationsStayWithinBudget(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		head := f.submit(t, config.Head{}, "0")
		table := faulty.NewTable(f.rawTable)
		run(t, config.WatcherOptions{
			Store: config.NewStore(table, f.objects), Host: "a",
			PollInterval: 100 * time.Millisecond, ConfirmsPerSecond: 1,
		})
		for i := range 100 {
			head = f.submit(t, head, fmt.Sprint(i+1))
			time.Sleep(100 * time.Millisecond)
		}
		settle()
		report, err := f.store.ReportConfirmations(t.Context(), head, []string{"a"})
		is.NoErr(err)
		is.Equal(report.Confirmed, []string{"a"})
		commits := table.Counts().Commits
		is.True(commits <= 17) // one commit per second for 13 s, and more if jitter shortens the intervals
		time.Sleep(2 * time.Hour)
		is.True(table.Counts().Commits > commits)
		is.True(table.Counts().Commits <= commits+2)
	})
}

// If the table is rolled back to an older state, a host must keep its epoch and stop
// accepting requests.
func TestRolledBackTableStopsRequests(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		first := f.submit(t, config.Head{}, "1")
		old, err := f.rawTable.Get(t.Context(), "config/head")
		is.NoErr(err)
		f.submit(t, first, "2")
		w := run(t, config.WatcherOptions{Store: f.store})
		settle()
		_, err = f.rawTable.Commit(t.Context(), storage.Txn{Puts: []storage.Put{{Key: old.Key, Value: old.Value}}})
		is.NoErr(err)
		time.Sleep(beyondBound)
		is.Equal(w.Current().Epoch, uint64(2))
		is.True(isStale(w.Check()))
	})
}
