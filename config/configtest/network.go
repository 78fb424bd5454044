package configtest

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/quetzalweir/quetzalweir/config"
)

var errNoPeer = errors.New("configtest: no reachable peer has the body")

// Network connects watchers that query each other in memory. It is safe for
// concurrent use.
type Network struct {
	mu       sync.Mutex
	watchers map[string]*config.Watcher
	// isolated holds the hosts on one side of the partition. Hosts reach only hosts on
	// their own side.
	isolated map[string]bool
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{watchers: make(map[string]*config.Watcher), isolated: make(map[string]bool)}
}

// NewWatcher adds a host to the network and returns its watcher, which queries the
// other hosts and responds to their queries.
func (n *Network) NewWatcher(options config.WatcherOptions, host string) *config.Watcher {
	peers := hostPeers{n, host}
	options.Host, options.Peers, options.Bodies = host, peers, peers
	w := config.NewWatcher(options)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watchers[host] = w
	return w
}

// Isolate separates the hosts from all others; it replaces the previous partition.
// Without hosts it ends the partition.
func (n *Network) Isolate(hosts ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = make(map[string]bool)
	for _, host := range hosts {
		n.isolated[host] = true
	}
}

// States returns a description of each host's state: the epoch in force or "none",
// followed by "stopped" if the host accepts no requests.
func (n *Network) States() map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	states := make(map[string]string)
	for host, w := range n.watchers {
		states[host] = describeState(w)
	}
	return states
}

func describeState(w *config.Watcher) string {
	text := "none"
	if p := w.Current(); p != nil {
		text = fmt.Sprint(p.Epoch)
	}
	if w.Check() != nil {
		text += " stopped"
	}
	return text
}

// reachable returns the watchers of the other hosts that host can reach.
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

// hostPeers implements config.Peers and config.Bodies for one host.
type hostPeers struct {
	network *Network
	host    string
}

// HostCount implements config.Peers.
func (p hostPeers) HostCount() int {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return len(p.network.watchers)
}

// QueryViews implements config.Peers.
func (p hostPeers) QueryViews(context.Context) []config.PeerView {
	var views []config.PeerView
	for host, w := range p.network.reachable(p.host) {
		views = append(views, w.View(host))
	}
	return views
}

// FetchBody implements config.Bodies.
func (p hostPeers) FetchBody(_ context.Context, digest string) ([]byte, error) {
	for _, w := range p.network.reachable(p.host) {
		if body, ok := w.Body(digest); ok {
			return body, nil
		}
	}
	return nil, errNoPeer
}
