package config_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/storage"
)

// scriptedPeers implements config.Peers with the views that the test sets.
type scriptedPeers struct {
	hostCount int
	views     atomic.Pointer[[]config.PeerView]
}

func (p *scriptedPeers) setViews(views ...config.PeerView) { p.views.Store(&views) }

func (p *scriptedPeers) HostCount() int { return p.hostCount }

func (p *scriptedPeers) QueryViews(context.Context) []config.PeerView {
	if views := p.views.Load(); views != nil {
		return *views
	}
	return nil
}

// errorLog collects the errors of a watcher, except storage.ErrUnavailable.
type errorLog struct {
	mu  sync.Mutex
	err error
}

func (l *errorLog) add(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !errors.Is(err, storage.ErrUnavailable) {
		l.err = errors.Join(l.err, err)
	}
}

// contains reports whether want was logged; for nil, whether nothing was.
func (l *errorLog) contains(want error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Is(l.err, want)
}

// settle lets the watchers in the synctest bubble run for 3 s and waits until their
// goroutines are blocked, so that the test can read what they wrote.
func settle() {
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

// beyondBound is a duration after which evidence is older than the freshness bound.
const beyondBound = config.DefaultFreshnessBound + 2*time.Second
