package config_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/manifest"
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
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
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
