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

// scriptedPeers answer what the test sets.
type scriptedPeers struct {
	known int
	views atomic.Pointer[[]config.PeerView]
}

func (p *scriptedPeers) answer(views ...config.PeerView) { p.views.Store(&views) }

func (p *scriptedPeers) Known() int { return p.known }

func (p *scriptedPeers) Ask(context.Context) []config.PeerView {
	if views := p.views.Load(); views != nil {
		return *views
	}
	return nil
}

// errorLog collects what a watcher reports, outages left out.
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

// is says whether the log holds want and nothing if that is nil.
func (l *errorLog) is(want error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Is(l.err, want)
}

// settle lets the watchers of a test's bubble run for a while. The test may then
// read what their goroutines wrote.
func settle() {
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

// pastBound is a while after which evidence is too old.
const pastBound = config.DefaultBound + 2*time.Second
