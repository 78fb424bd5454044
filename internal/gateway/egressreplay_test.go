package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/egress"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/peer"
)

// These tests replay hosts that lose their paths to all upstreams, in virtual time. The paths, their
// transports and the choice of relaying hosts are the real ones; the network and the upstreams are
// simulated.

// cutMode is how connections between a host and the upstreams fail while the host is cut off.
type cutMode int

const (
	cutRefused cutMode = iota
	cutHangs
	// cutRefusesNew refuses new connections and leaves open ones alone.
	cutRefusesNew
)

func (m cutMode) String() string { return [...]string{"refused", "hangs", "refuses-new"}[m] }

// simulatedHost is a host in a simulated network.
type simulatedHost struct {
	network *simulatedNetwork
	paths   *egressPaths
	address string
	// relayed is the number of connections that it relays for others, mostRelayed their maximum.
	relayed, mostRelayed atomic.Int64
	mu                   sync.Mutex
	// isCut is set while the host is cut off from the upstreams. restored is closed when that ends.
	isCut    bool
	restored chan struct{}
	// dials counts the direct connections that it opened.
	dials atomic.Int64
	// sent and served count its requests in the watched time.
	sent, served atomic.Int64
}

type simulatedNetwork struct {
	mode      cutMode
	hosts     []*simulatedHost
	byAddress map[string]*simulatedHost
	// upstreamsDown makes all upstreams refuse connections.
	upstreamsDown atomic.Bool
	upstreams     int
}

func newSimulatedNetwork(hosts, upstreams int, mode cutMode) *simulatedNetwork {
	n := &simulatedNetwork{mode: mode, byAddress: make(map[string]*simulatedHost), upstreams: upstreams}
	for i := range hosts {
		h := &simulatedHost{network: n, address: fmt.Sprint("host-", i)}
		metrics := newMetrics(&Gateway{})
		h.paths = newEgressPaths(&Settings{}, metrics, zerolog.Nop())
		h.paths.dialDirect = h.dialDirect
		h.paths.relays.dialRelayed, h.paths.relays.hosts = h.dialRelayed, n.relayHosts
		h.paths.probeTargets = func(most int) []probeTarget {
			var targets []probeTarget
			for _, i := range rand.Perm(upstreams)[:min(most, upstreams)] {
				targets = append(targets, probeTarget{address: fmt.Sprint("upstream-", i), healthPath: "/health"})
			}
			return targets
		}
		n.hosts = append(n.hosts, h)
		n.byAddress[h.address] = h
	}
	return n
}

// relayHosts returns a few hosts that reach upstreams by their last report, as a hub names them.
func (n *simulatedNetwork) relayHosts() []exchange.RelayHost {
	var list []exchange.RelayHost
	for _, i := range rand.Perm(len(n.hosts)) {
		if len(list) < 8 && n.hosts[i].paths.tracker.Path() == egress.Direct {
			list = append(list, exchange.RelayHost{Address: n.hosts[i].address})
		}
	}
	return list
}

// setCut cuts the host off from the upstreams, or ends that.
func (h *simulatedHost) setCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cut == h.isCut {
		return
	}
	if h.isCut = cut; cut {
		h.restored = make(chan struct{})
	} else {
		close(h.restored)
	}
}

func (h *simulatedHost) cutState() (cut bool, restored chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isCut, h.restored
}

func (h *simulatedHost) dialDirect(ctx context.Context, _, address string) (net.Conn, error) {
	h.dials.Add(1)
	cut, _ := h.cutState()
	switch {
	case cut && h.network.mode == cutHangs:
		select {
		case <-time.After(dialTimeout):
			return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	case cut, h.network.upstreamsDown.Load():
		time.Sleep(time.Millisecond)
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	time.Sleep(time.Millisecond)
	near, far := net.Pipe()
	go answerSimulated(far)
	return &simulatedConn{Conn: near, host: h, ended: make(chan struct{})}, nil
}

// answerSimulated answers the requests on a connection as an upstream does.
func answerSimulated(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// simulatedConn is a connection of a host that may be cut off.
type simulatedConn struct {
	net.Conn
	host  *simulatedHost
	once  sync.Once
	ended chan struct{}
}

func (c *simulatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	cut, restored := c.host.cutState()
	switch {
	case !cut || c.host.network.mode == cutRefusesNew:
	case c.host.network.mode == cutRefused:
		return 0, syscall.ECONNRESET
	default:
		select {
		case <-restored:
		case <-c.ended:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

func (c *simulatedConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// dialRelayed opens a connection that another host relays.
func (h *simulatedHost) dialRelayed(ctx context.Context, relay, address string, _ peer.RelayEvents) (net.Conn, error) {
	time.Sleep(4 * time.Millisecond)
	other := h.network.byAddress[relay]
	if other.paths.tracker.Path() != egress.Direct || !other.paths.mayReachUpstreams() {
		return nil, peer.ErrRelayDeclined
	}
	conn, err := other.dialDirect(ctx, "tcp", address)
	if err != nil {
		other.paths.connectionFailed(address, err)
		if other.paths.tracker.Failures().Suspicious() {
			return nil, peer.ErrRelayDeclined
		}
		return nil, &peer.RelayError{Relay: relay, Address: address, Err: errors.Unwrap(err)}
	}
	other.mostRelayed.Store(max(other.mostRelayed.Load(), other.relayed.Add(1)))
	return &connForOther{Conn: conn, count: &other.relayed}, nil
}

// sendRequests sends a request in each interval until ctx ends, to random upstreams.
func (h *simulatedHost) sendRequests(ctx context.Context, interval time.Duration, watched *atomic.Bool) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * interval))))
		counted := watched.Load()
		go func() {
			ok := h.request(ctx)
			if counted {
				h.sent.Add(1)
				if ok {
					h.served.Add(1)
				}
			}
		}()
	}
}

// request sends one request, to further upstreams if it wasn't sent.
func (h *simulatedHost) request(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	for range 3 {
		req, _ := http.NewRequestWithContext(ctx, "POST", fmt.Sprint("http://upstream-", rand.IntN(h.network.upstreams), "/"), strings.NewReader("body"))
		resp, err := h.paths.RoundTrip(req)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		return err == nil
	}
	return false
}

// run lets the hosts send requests while scenario is played, and closes everything after it.
func (n *simulatedNetwork) run(interval time.Duration, scenario func(watched *atomic.Bool)) {
	ctx, cancel := context.WithCancel(context.Background())
	var watched atomic.Bool
	for _, h := range n.hosts {
		go h.paths.run(ctx)
		go h.sendRequests(ctx, interval, &watched)
	}
	scenario(&watched)
	cancel()
	time.Sleep(3 * time.Second)
	for _, h := range n.hosts {
		h.paths.CloseIdleConnections()
	}
	time.Sleep(time.Second)
}

// countServed returns the requests of the hosts in the watched time.
func countServed(hosts []*simulatedHost) (served, sent int64) {
	for _, h := range hosts {
		served, sent = served+h.served.Load(), sent+h.sent.Load()
	}
	return served, sent
}

// A third of the hosts loses all upstreams for 12 s. From 3 s on, their callers must be served like
// those of the other hosts; the connections that they need must be spread over the others; and after the
// cut the hosts must use their own paths again within seconds.
func TestHostsWithoutUpstreamsReplay(t *testing.T) {
	fleet := 440
	if raceEnabled {
		fleet = 44 // 440 hosts take a minute under the race detector
	}
	for _, hosts := range []int{7, fleet} {
		for _, mode := range []cutMode{cutRefused, cutHangs, cutRefusesNew} {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, mode), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					n := newSimulatedNetwork(hosts, 18, mode)
					cut, others := n.hosts[:hosts/3], n.hosts[hosts/3:]
					n.run(100*time.Millisecond, func(watched *atomic.Bool) {
						time.Sleep(2 * time.Second)
						for _, h := range cut {
							h.setCut(true)
						}
						time.Sleep(3 * time.Second)
						watched.Store(true)
						time.Sleep(9 * time.Second)
						watched.Store(false)
						most := int64(0)
						for _, h := range others {
							most = max(most, h.mostRelayed.Load())
						}
						dialsBefore := int64(0)
						for _, h := range cut {
							h.setCut(false)
							dialsBefore += h.dials.Load()
						}
						time.Sleep(3 * time.Second)
						dialsAfter, relayed := int64(0), int64(0)
						for _, h := range cut {
							is.Equal(h.paths.tracker.Path(), egress.Direct)
							dialsAfter += h.dials.Load()
						}
						for _, h := range others {
							is.Equal(h.paths.tracker.Path(), egress.Direct)
							relayed += h.relayed.Load()
						}
						t.Logf("most connections relayed by a host %d, still relayed 3 s after the cut %d, direct connections of a cut host till the end of the cut and in 3 s after it: %.1f, %.1f",
							most, relayed, float64(dialsBefore)/float64(len(cut)), float64(dialsAfter-dialsBefore)/float64(len(cut)))
						is.True(most <= int64(maxRelayedConns))
					})
					served, sent := countServed(cut)
					otherServed, otherSent := countServed(others)
					t.Logf("cut hosts served %d of %d requests, the others %d of %d", served, sent, otherServed, otherSent)
					is.True(served*otherSent*3 >= 2*otherServed*sent)
					is.True(sent-served <= 10+(sent+otherSent)/50)
				})
			})
		}
	}
}

// If all hosts lose the upstreams, or all upstreams are down, hosts must not load each other with
// connections that nobody can open.
func TestNobodyReachesUpstreamsReplay(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint("upstreams down: ", down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newSimulatedNetwork(7, 18, cutRefused)
				n.run(100*time.Millisecond, func(watched *atomic.Bool) {
					time.Sleep(2 * time.Second)
					if down {
						n.upstreamsDown.Store(true)
					}
					for _, h := range n.hosts {
						h.setCut(!down)
						h.dials.Store(0)
					}
					watched.Store(true)
					time.Sleep(10 * time.Second)
					watched.Store(false)
					dials := int64(0)
					for _, h := range n.hosts {
						is.Equal(h.paths.tracker.Path(), egress.Direct)
						dials += h.dials.Load()
						h.setCut(false)
					}
					n.upstreamsDown.Store(false)
					_, sent := countServed(n.hosts)
					t.Logf("%d requests, %d direct connections tried", sent, dials)
					is.True(dials < 4*sent) // three attempts at each request, and the probes
					time.Sleep(5 * time.Second)
				})
			})
		})
	}
}
