package configtest

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/quetzalweir/quetzalweir/config"
)

var errNoPeer = errors.New("configtest: no peer has it")

// Network joins watchers that ask each other in memory. It is safe for
// concurrent use.
type Network struct {
	mu       sync.Mutex
	watchers map[string]*config.Watcher
	// isolated hosts reach only each other; the others reach only the others.
	isolated map[string]bool
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{watchers: make(map[string]*config.Watcher), isolated: make(map[string]bool)}
}

// NewWatcher returns a watcher for the host that asks the others on the network
// and is asked by them.
func (n *Network) NewWatcher(options config.WatcherOptions, host string) *config.Watcher {
	peers := peersOf{n, host}
	options.Host, options.Peers, options.Bodies = host, peers, peers
	w := config.NewWatcher(options)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watchers[host] = w
	return w
}

// Isolate cuts the hosts from all others, in place of the cut before. Without
// hosts it heals the network.
func (n *Network) Isolate(hosts ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = make(map[string]bool)
	for _, host := range hosts {
		n.isolated[host] = true
	}
}

// States describes each host by the epoch in force, or "none", with the word
// "stopped" if the host takes no work.
func (n *Network) States() map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	states := make(map[string]string)
	for host, w := range n.watchers {
		states[host] = state(w)
	}
	return states
}

func state(w *config.Watcher) string {
	text := "none"
	if p := w.Current(); p != nil {
		text = fmt.Sprint(p.Epoch)
	}
	if w.Check() != nil {
		text += " stopped"
	}
	return text
}

// reachable returns the other hosts that host can ask.
func (n *Network) reachable(host string) map[string]*config.Watcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := make(map[string]*config.Watcher)
	for name, w := range n.watchers {
		if name != host && n.isolated[name] == n.isolated[host] {
			others[name] = w
		}
	}
	return others
}

// peersOf is the network as one host sees it.
type peersOf struct {
	network *Network
	host    string
}

// Known implements config.Peers.
func (p peersOf) Known() int {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return len(p.network.watchers)
}

// Ask implements config.Peers.
func (p peersOf) Ask(context.Context) []config.PeerView {
	var views []config.PeerView
	for host, w := range p.network.reachable(p.host) {
		views = append(views, w.View(host))
	}
	return views
}

// FetchBody implements config.Bodies.
func (p peersOf) FetchBody(_ context.Context, digest string) ([]byte, error) {
	for _, w := range p.network.reachable(p.host) {
		if body, ok := w.Body(digest); ok {
			return body, nil
		}
	}
	return nil, errNoPeer
}
