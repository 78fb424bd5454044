package e2e

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	tcprelay "github.com/quetzalweir/quetzalweir/internal/standin/relay"
	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

// gatewayDrain and gatewayGrace are the values of drain_ms and grace_s in the gateways'
// settings.
const (
	gatewayDrain = 2 * time.Second
	gatewayGrace = 4 * time.Second
	streamEvents = 6
	// slowLinkRate is the rate of a host's slow link to the store, in bytes a
	// second: a document of 1,000 routes takes 1.5 s on it.
	slowLinkRate = 160 << 10
)

// gatewaySystem is a set of gateways, each a process, with upstreams and a store that
// run in the test's process.
type gatewaySystem struct {
	t         *testing.T
	store     *platformtest.Store
	storeAddr string
	upstreams []*platformtest.Upstream
	gateways  []*gatewayHost
	// toHubs relay the traffic of other hosts to the first gateways, which are hubs.
	toHubs         []*relay
	client         *http.Client
	upstreamsAdded int
	requestCount   atomic.Int64
	document       map[string]any
	// prepare is called for each upstream that is added, before it starts, unless it is nil.
	prepare func(*platformtest.Upstream)
	// paths are the relays through which the hosts reach the upstreams; nil if they reach them
	// directly.
	paths *upstreamPaths
	// memoryMB and descriptors are the limits in the hosts' settings; 0 for 256 MB and no limit of
	// descriptors.
	memoryMB, descriptors int
	// canaryHeadroom is the number of requests that a new version may get beyond its share.
	canaryHeadroom int
}

// gatewayHost is a host that runs a gateway process, which can be restarted.
type gatewayHost struct {
	*process
	name         string
	zone         string
	callerAddr   string
	readyAddr    string
	peerAddr     string
	settingsFile string
	toStore      *relay
	// source is the address from which the host connects to upstreams; empty if the system chooses it.
	source string
	// memoryMB and descriptors are the limits in the settings; 0 for 256 MB and no limit of descriptors.
	memoryMB, descriptors int
	canaryHeadroom        int
}

// newGatewaySystem starts a number of hosts, spread over a number of availability zones.
func newGatewaySystem(t *testing.T, hosts, zones int, options ...func(*gatewaySystem)) *gatewaySystem {
	t.Helper()
	s := &gatewaySystem{t: t, store: platformtest.NewStore(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	for _, option := range options {
		option(s)
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.storeAddr = server.Listener.Addr().String()
	s.document = routingDocument()
	s.publish(1)
	for i := range 4 {
		s.addUpstream("app", "v1", zone(i))
		s.addUpstream("pool", "v1", zone(i))
	}
	for i := range hosts {
		h := &gatewayHost{name: fmt.Sprintf("gateway-%d", i+1), zone: zone(i % zones), toStore: newRelay(t, loopback, s.storeAddr)}
		if s.paths != nil {
			h.source = fmt.Sprintf("127.0.1.%d", i+1)
		}
		h.callerAddr, h.readyAddr, h.peerAddr = freeAddress(t, loopback), freeAddress(t, loopback), freeAddress(t, loopback)
		s.gateways = append(s.gateways, h)
		if i < maxHubs {
			s.toHubs = append(s.toHubs, newRelay(t, loopback, h.peerAddr))
		}
	}
	for _, h := range s.gateways {
		h.memoryMB, h.descriptors, h.canaryHeadroom = s.memoryMB, s.descriptors, s.canaryHeadroom
		h.writeSettings(t, s.seeds(h))
		s.startGateway(h)
	}
	for _, h := range s.gateways {
		eventually(t, h.name+" is ready", func() bool { return s.isReady(h) })
	}
	return s
}

// maxHubs is the maximum number of hosts that the settings list as seeds, which become hubs.
const maxHubs = 3

// seeds returns the addresses of the hubs for the settings of a host: its own address
// directly, the others through relays that tests can disrupt.
func (s *gatewaySystem) seeds(h *gatewayHost) []string {
	var seeds []string
	for i, link := range s.toHubs {
		if s.gateways[i] == h {
			seeds = append(seeds, h.peerAddr)
		} else {
			seeds = append(seeds, link.address())
		}
	}
	return seeds
}

// testRoute returns a route whose name is also its path.
func testRoute(name, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": "fleet.example", "prefix": "/" + name + "/", "route_type": kind, "service": service,
		"timeout_ms": 3000, "target_latency_ms": 1000, "max_attempts": 3, "priority": 1,
	}
}

// routingDocument returns a document with a route of each type; the streaming one has a
// list of models.
func routingDocument() map[string]any {
	stream := testRoute("stream", "streaming", "pool")
	stream["stream_resume"] = true
	stream["session_affinity"] = true
	stream["size_list"] = []string{"weak", "strong"}
	return map[string]any{
		"routes":   []any{testRoute("once", "non_idempotent", "app"), testRoute("many", "idempotent", "app"), stream},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz"}, map[string]any{"name": "pool", "health_path": "/healthz"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"key-a", "key-b"}}},
	}
}

// publish writes the document to the store with a version, and returns its size in bytes.
func (s *gatewaySystem) publish(version int) int {
	s.document["version"] = version
	data, err := json.Marshal(s.document)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("op", "config", data)
	return len(data)
}

// addSpareRoutes adds routes to the document that get no requests.
func (s *gatewaySystem) addSpareRoutes(number int) {
	routes := s.document["routes"].([]any)
	for range number {
		routes = append(routes, testRoute(fmt.Sprintf("spare-%d", len(routes)), "idempotent", "app"))
	}
	s.document["routes"] = routes
}

// addRoute adds an idempotent route to the document. Requests whose kind is its name
// use it.
func (s *gatewaySystem) addRoute(name string) {
	s.document["routes"] = append(s.document["routes"].([]any), testRoute(name, "idempotent", "app"))
}

func (s *gatewaySystem) addUpstream(service, version, zone string) *platformtest.Upstream {
	s.t.Helper()
	return s.addColdUpstream(service, version, zone, 0)
}

// addColdUpstream adds an upstream that reports itself cold for the duration coldFor.
func (s *gatewaySystem) addColdUpstream(service, version, zone string, coldFor time.Duration) *platformtest.Upstream {
	s.t.Helper()
	s.upstreamsAdded++
	u := &platformtest.Upstream{
		ID: fmt.Sprintf("u-%d", s.upstreamsAdded), Service: service, Version: version, Zone: zone,
		Events: streamEvents, Pause: 10 * time.Millisecond, LowConfidenceModel: "weak", Confidence: 80, ColdFor: coldFor,
	}
	if s.prepare != nil {
		s.prepare(u)
	}
	if err := u.Start(loopback); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(u.Kill)
	if s.paths != nil {
		s.paths.add(u)
	}
	s.store.Put("servers", u.ID, u.Entry("available"))
	s.upstreams = append(s.upstreams, u)
	return u
}

func (h *gatewayHost) writeSettings(t *testing.T, seeds []string) {
	t.Helper()
	h.settingsFile = filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(`node_name: %q
ip: "127.0.0.1"
zone: %q
listen: {frontend: %q, ready: %q, control_plane: %q}
seeds: [%s]
limits: {memory_mb: %d, file_descriptors: %d}
bounds: {config_apply_ms: %d, drain_ms: %d, grace_s: %d, retry_budget_ratio: 0.9, retry_window_s: 10, canary_share: 0.2, canary_headroom: %d, session_s: 5, cold_overrun: 1.5, cold_headroom: 5, evacuate_ms: 5000}
platform: {address: %q}
`, h.name, h.zone, h.callerAddr, h.readyAddr, h.peerAddr, strings.Join(seeds, ", "), cmp.Or(h.memoryMB, 256), h.descriptors, documentApplyTime.Milliseconds(), gatewayDrain.Milliseconds(), int(gatewayGrace.Seconds()), h.canaryHeadroom, h.toStore.address())
	if err := os.WriteFile(h.settingsFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (s *gatewaySystem) startGateway(h *gatewayHost) {
	h.process = start(s.t, h.name, nil, "gateway", "--settings="+h.settingsFile, "--metrics-port=0", "--upstream-source="+h.source)
}

func (s *gatewaySystem) isReady(h *gatewayHost) bool {
	resp, err := s.client.Get("http://" + h.readyAddr + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// gatewayAnswer is a request and the answer that its caller got.
type gatewayAnswer struct {
	id         string
	kind       string
	status     int
	body       string
	retryAfter string
	// leftAt is when the caller disconnected; zero if it didn't. deadline is the time that the caller
	// gave the request; 0 for the usual 4 s.
	leftAt   time.Time
	deadline time.Duration
	// host received the request. headAt is when the head of its answer arrived, limit is
	// the rate limit in that head.
	host   string
	headAt time.Time
	limit  string
	// leaving is the id of the upstream that stated in that head that it is leaving; empty
	// if it didn't.
	leaving string
	err     error
	began   time.Time
	ended   time.Time
}

// send sends a request of the kind, which is also the name of its route.
func (s *gatewaySystem) send(h *gatewayHost, kind, key string) gatewayAnswer {
	return s.sendBody(h, kind, key, "")
}

// sendBody sends a request with the body, or with a unique one if that is empty.
func (s *gatewaySystem) sendBody(h *gatewayHost, kind, key, body string) gatewayAnswer {
	return s.sendContext(context.Background(), h, kind, key, body, nil)
}

// sendContext is like sendBody, with further headers; the caller disconnects when ctx ends.
func (s *gatewaySystem) sendContext(ctx context.Context, h *gatewayHost, kind, key, body string, header map[string]string) gatewayAnswer {
	a := gatewayAnswer{id: fmt.Sprintf("r-%d", s.requestCount.Add(1)), kind: kind, host: h.name, began: time.Now()}
	if body == "" {
		body = "body of " + a.id
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+h.callerAddr+"/"+kind+"/x", strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is always valid
	}
	req.GetBody = nil // keeps the HTTP client from repeating the request by itself
	req.Host = "fleet.example"
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("X-Deadline-Ms", "4000")
	if kind == "stream" {
		req.Header.Set("X-Model", "*")
		req.Header.Set("X-Prefix-Hash", "aa:100,"+a.id+":10")
		req.Header.Set("Session", "s-"+a.id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := s.client.Do(req)
	if err == nil {
		a.headAt, a.limit = time.Now(), resp.Header.Get("Server-Limit")
		if resp.Header.Get("Server-Leaving") == "1" {
			a.leaving = strings.TrimPrefix(resp.Header.Get("X-Server-Stamp"), "stamp-")
		}
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body, a.retryAfter = resp.StatusCode, string(body), resp.Header.Get("Retry-After")
	}
	a.err = err
	a.ended = time.Now()
	if ctx.Err() != nil && err != nil {
		a.leftAt = a.ended
	}
	return a
}

// expired reports whether the answer ended at the deadline that the caller set.
func (a *gatewayAnswer) expired() bool {
	return a.deadline > 0 && a.ended.Sub(a.began) >= a.deadline
}

// expectedBody returns the complete answer to the request.
func (a *gatewayAnswer) expectedBody() string {
	if a.kind != "stream" {
		return platformtest.ExpectedText(a.id)
	}
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		b.WriteString(platformtest.ExpectedEvent(a.id, i))
	}
	return b.String()
}

func (s *gatewaySystem) requireServed(h *gatewayHost) {
	s.t.Helper()
	for _, kind := range []string{"once", "many", "stream"} {
		a := s.send(h, kind, "key-a")
		if a.err != nil || a.status != http.StatusOK || a.body != a.expectedBody() {
			s.t.Fatalf("%s: %s: status %d, %v, body %q", h.name, kind, a.status, a.err, a.body)
		}
	}
}

func (s *gatewaySystem) problems() []string {
	var found []string
	for _, u := range s.upstreams {
		if p := u.Problem(); p != "" {
			found = append(found, u.ID+": "+p)
		}
	}
	return found
}

// TestGatewayWithoutFaults checks the gateways without faults: every kind of request on
// every host, a new routing document that removes a key, an upstream that leaves, a
// roll-out, and a planned stop during a stream.
func TestGatewayWithoutFaults(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 3, 3)
	for _, h := range s.gateways {
		s.requireServed(h)
		is.Equal(s.send(h, "none", "key-a").status, http.StatusNotFound)
		is.Equal(s.send(h, "once", "key-x").status, http.StatusUnauthorized)
	}

	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-a"}}}
	s.publish(5)
	for _, h := range s.gateways {
		eventually(t, h.name+" refuses the key", func() bool { return s.send(h, "once", "key-b").status == http.StatusUnauthorized })
		s.requireServed(h)
	}

	leaving := s.upstreams[0]
	s.store.Put("servers", leaving.ID, leaving.Entry("draining"))
	time.Sleep(time.Second)
	before := len(leaving.StartedRuns())
	for _, h := range s.gateways {
		s.requireServed(h)
	}
	is.Equal(len(leaving.StartedRuns()), before)

	s.rollOut(t)

	h := s.gateways[0]
	ended := make(chan gatewayAnswer)
	for _, u := range s.upstreams {
		u.Pause = 100 * time.Millisecond
	}
	go func() { ended <- s.send(h, "stream", "key-a") }()
	time.Sleep(150 * time.Millisecond)
	h.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() bool { return !s.isReady(h) })
	a := <-ended
	is.NoErr(a.err)
	is.Equal(a.body, a.expectedBody()) // the stop didn't interrupt the stream
	<-h.done
	is.NoErr(h.err)
	is.Equal(s.problems(), nil)
}

// rollOut rolls out a new version of the pool and waits until the roll-out is completed.
func (s *gatewaySystem) rollOut(t *testing.T) {
	t.Helper()
	var added []*platformtest.Upstream
	for i := range 3 {
		added = append(added, s.addUpstream("pool", "v2", zone(i)))
	}
	s.store.Put("op", "rollout/pool", []byte(`{"service":"pool","to":"v2","duration_s":4}`))
	eventually(t, "completed", func() bool {
		for _, h := range s.gateways {
			s.requireServed(h)
		}
		return strings.Contains(string(s.store.Get("status", "rollout/pool")), `"completed"`)
	})
	runs := 0
	for _, u := range added {
		runs += len(u.StartedRuns())
	}
	is.New(t).True(runs > 0)
}

// A gateway must serve during an outage of the store, and apply what was written meanwhile
// after the outage.
func TestGatewayServesDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 1, 3)
	h := s.gateways[0]
	for _, fault := range []platformtest.Fault{platformtest.Busy, platformtest.Unresponsive, platformtest.ResponseLost} {
		s.store.SetFault(fault)
		s.requireServed(h)
		s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-a", fmt.Sprint("key-", fault)}}}
		s.publish(10 + int(fault))
		time.Sleep(200 * time.Millisecond)
		s.store.DropHistory()
		is.True(s.isReady(h))
		s.store.SetFault(platformtest.Healthy)
		eventually(t, "the new key is accepted", func() bool { return s.send(h, "once", fmt.Sprint("key-", fault)).status == http.StatusOK })
	}
}

// A reload of the settings, valid or not, must not interrupt requests.
func TestReloadInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 1, 3)
	h := s.gateways[0]
	ended := make(chan gatewayAnswer)
	go func() { ended <- s.send(h, "stream", "key-a") }()
	h.signal(syscall.SIGHUP)
	is.Equal(h.waitForField("event=reload", "changed="), "false")
	a := <-ended
	is.NoErr(a.err)
	is.Equal(a.body, a.expectedBody())
	s.requireServed(h)
	is.NoErr(os.WriteFile(h.settingsFile, []byte("{"), 0o600))
	h.signal(syscall.SIGHUP)
	h.waitForField("event=reload", "error=")
	s.requireServed(h)
}

func TestGatewayWithoutItsStoreIsNotReady(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 1, 3)
	h := s.gateways[0]
	h.kill()
	h.toStore.cutAll()
	s.startGateway(h)
	var a gatewayAnswer
	eventually(t, "the gateway listens", func() bool {
		a = s.send(h, "once", "key-a")
		return !errors.Is(a.err, syscall.ECONNREFUSED)
	})
	is.Equal(a.status, http.StatusServiceUnavailable) // not a 404: it has read no routes yet
	is.True(a.retryAfter != "")
	is.True(!s.isReady(h))
	h.toStore.heal()
	eventually(t, "ready", func() bool { return s.isReady(h) })
	s.requireServed(h)
}

// A host without a connection to the store must get a new document from the hub of its
// zone. If the hub fails, the other hosts must read the store themselves.
func TestHubRelaysStoreUpdates(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 9, 1)
	isolated := s.gateways[8]
	s.waitUntilHubIsUsed(isolated)
	isolated.toStore.inner.Block(tcprelay.ToTarget)
	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-new"}}}
	s.publish(9)
	for _, h := range s.gateways {
		eventually(t, h.name+" accepts the new key", func() bool { return s.send(h, "once", "key-new").status == http.StatusOK })
	}

	// Without the hub all hosts but the isolated one get updates from the store.
	s.gateways[0].kill()
	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-newer"}}}
	s.publish(10)
	for _, h := range s.gateways[1:8] {
		eventually(t, h.name+" accepts the newer key", func() bool { return s.send(h, "once", "key-newer").status == http.StatusOK })
	}
	isolated.toStore.heal()
	eventually(t, "the isolated host accepts it, too", func() bool { return s.send(isolated, "once", "key-newer").status == http.StatusOK })
	is.Equal(s.problems(), nil)
}

// A growing document must come into force also on hosts with a slow link to the store,
// although each read takes longer than the time without data after which a host gives up,
// and on a host that restarts when the document is already large.
func TestLargeDocumentOverSlowLinks(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 9, 1)
	slow := s.gateways[7:]
	for _, h := range slow {
		h.toStore.setRate(slowLinkRate)
	}
	s.waitUntilHubIsUsed(slow[0])
	for version := 2; version <= 4; version++ {
		s.addSpareRoutes(1000)
		name := fmt.Sprint("version-", version)
		s.addRoute(name)
		s.publish(version)
		for _, h := range s.gateways {
			eventually(t, h.name+" serves "+name, func() bool { return s.send(h, name, "key-a").status == http.StatusOK })
		}
	}
	slow[1].kill()
	s.startGateway(slow[1])
	eventually(t, "the host that started serves", func() bool { return s.send(slow[1], "version-4", "key-a").status == http.StatusOK })
	is.Equal(s.problems(), nil)
}

// Guards against a document that is late, or is replaced by a former one, on hosts whose hubs are
// lost one after the other while large documents follow one another: each host must serve the
// routes of a confirmed document within the time for changes, on fast and slow links.
func TestDocumentsInSeriesWhileHubsAreLost(t *testing.T) {
	is := is.New(t)
	s := newGatewaySystem(t, 12, 1)
	p := newDocumentProbe(s)
	for _, h := range s.gateways[8:] {
		p.slowDown(h, 4*slowLinkRate)
	}
	s.waitUntilHubIsUsed(s.gateways[11])
	stop := make(chan struct{})
	var probes sync.WaitGroup
	for i, h := range s.gateways {
		probes.Go(func() { p.run(h, uint64(i), stop) })
	}
	for version := 2; version <= 13; version++ {
		if version%3 == 0 {
			s.addSpareRoutes(1000)
		}
		s.addRoute(fmt.Sprint("version-", version))
		p.confirmed(fmt.Sprint("version-", version), s.publish(version))
		if lost := s.gateways[version%maxHubs]; version%2 == 0 {
			began := time.Now()
			if version%4 == 0 {
				lost.kill()
				s.startGateway(lost)
				p.restarted(lost.name, began, time.Now())
			} else {
				lost.signal(syscall.SIGSTOP)
				time.Sleep(1200 * time.Millisecond)
				lost.signal(syscall.SIGCONT)
				p.disturb(lost.name, began, time.Now())
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(documentContactTime)
	close(stop)
	probes.Wait()
	is.Equal(p.violations(), nil)
	t.Log(p.summary())
	is.True(p.served() > 12*len(s.gateways))
	for _, h := range s.gateways {
		is.Equal(s.send(h, "version-13", "key-a").status, http.StatusOK)
	}
	is.Equal(s.problems(), nil)
}

// waitUntilHubIsUsed waits until the host gets updates of the operators' table from its hub.
func (s *gatewaySystem) waitUntilHubIsUsed(h *gatewayHost) {
	s.t.Helper()
	h.waitForField("table=op event=relay-used", "revision=")
}
