package config_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/platform"
)

// network joins watchers that ask each other in memory, and can be cut.
type network struct {
	mu       sync.Mutex
	watchers map[string]*config.Watcher
	// cut holds the hosts that reach only each other; others reach only others.
	cut map[string]bool
}

func newNetwork() *network {
	return &network{watchers: map[string]*config.Watcher{}, cut: map[string]bool{}}
}

// add starts a watcher on each host and names them for the network.
func (n *network) add(t *testing.T, options config.WatcherOptions, hosts ...string) {
	t.Helper()
	for _, host := range hosts {
		o := options
		o.Host, o.Peers, o.Bodies = host, peersOf{n, host}, peersOf{n, host}
		w := run(t, o)
		n.mu.Lock()
		n.watchers[host] = w
		n.mu.Unlock()
	}
}

func (n *network) isolate(hosts ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[string]bool{}
	for _, host := range hosts {
		n.cut[host] = true
	}
}

// reachable returns the other hosts that host can ask.
func (n *network) reachable(host string) map[string]*config.Watcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := map[string]*config.Watcher{}
	for name, w := range n.watchers {
		if name != host && n.cut[name] == n.cut[host] {
			others[name] = w
		}
	}
	return others
}

// states describes each host as its epoch, with a mark if it takes no work.
func (n *network) states() map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	states := map[string]string{}
	for host, w := range n.watchers {
		state := "none"
		if p := w.Current(); p != nil {
			state = fmt.Sprint(p.Epoch)
		}
		if w.Check() != nil {
			state += " stopped"
		}
		states[host] = state
	}
	return states
}

// peersOf is the network as one host sees it.
type peersOf struct {
	network *network
	host    string
}

func (p peersOf) Known() int {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return len(p.network.watchers)
}

func (p peersOf) Ask(context.Context) []config.PeerView {
	var views []config.PeerView
	for host, w := range p.network.reachable(p.host) {
		views = append(views, w.View(host))
	}
	return views
}

func (p peersOf) FetchBody(_ context.Context, digest string) ([]byte, error) {
	for _, w := range p.network.reachable(p.host) {
		if body, ok := w.Body(digest); ok {
			return body, nil
		}
	}
	return nil, errors.New("no peer has it")
}

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
	if !errors.Is(err, platform.ErrUnavailable) {
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
