package configtest

import (
	"context"
	"testing"

	"github.com/quetzalweir/quetzalweir/config"
)

// Run runs the watcher until the test ends.
func Run(t testing.TB, w *config.Watcher) {
	t.Helper()
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
}

// Start runs a watcher on each host until the test ends.
func (n *Network) Start(t testing.TB, options config.WatcherOptions, hosts ...string) {
	t.Helper()
	for _, host := range hosts {
		Run(t, n.NewWatcher(options, host))
	}
}
