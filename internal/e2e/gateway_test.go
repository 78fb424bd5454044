package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	tcprelay "github.com/quetzalweir/quetzalweir/internal/standin/relay"
	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

// The gateways' bounds, as their settings files state them.
const (
	gatewayDrain = 2 * time.Second
	gatewayGrace = 4 * time.Second
	streamEvents = 6
	// smallLink is the rate of a host's link to the store, in bytes a second: a
	// document of 1,000 routes takes 1.5 s on it.
	smallLink = 160 << 10
)

// fleetSystem is gateways as processes, before upstreams and a store of the
// test's own process.
type fleetSystem struct {
	t         *testing.T
	store     *platformtest.Store
	storeAt   string
	upstreams []*platformtest.Upstream
	gateways  []*gatewayHost
	// toHubs are the ways of the other hosts to the first gateways.
	toHubs   []*relay
	client   *http.Client
	made     int
	requests atomic.Int64
	document map[string]any
}

// gatewayHost is one host's gateway, which may be started again.
type gatewayHost struct {
	*process
	name     string
	zone     string
	callers  string
	ready    string
	peers    string
	settings string
	toStore  *relay
}

// newFleetSystem starts hosts, dealt over so many availability zones.
func newFleetSystem(t *testing.T, hosts, zones int) *fleetSystem {
	t.Helper()
	s := &fleetSystem{t: t, store: platformtest.NewStore(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	server := httptest.NewServer(s.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.storeAt = server.Listener.Addr().String()
	s.document = routingDocument()
	s.publish(1)
	for i := range 4 {
		s.addUpstream("app", "v1", zone(i))
		s.addUpstream("pool", "v1", zone(i))
	}
	for i := range hosts {
		h := &gatewayHost{name: fmt.Sprintf("gateway-%d", i+1), zone: zone(i % zones), toStore: newRelay(t, loopback, s.storeAt)}
		h.callers, h.ready, h.peers = freeAddress(t, loopback), freeAddress(t, loopback), freeAddress(t, loopback)
		s.gateways = append(s.gateways, h)
		if i < maxHubs {
			s.toHubs = append(s.toHubs, newRelay(t, loopback, h.peers))
		}
	}
	for _, h := range s.gateways {
		h.writeSettings(t, s.seeds(h))
		s.startGateway(h)
	}
	for _, h := range s.gateways {
		eventually(t, h.name+" is ready", func() bool { return s.isReady(h) })
	}
	return s
}

// maxHubs is how many hosts the settings name to the others.
const maxHubs = 3

// seeds are the addresses of the hubs as the host knows them: its own one directly,
// the others by ways that tests can harm.
func (s *fleetSystem) seeds(h *gatewayHost) []string {
	var seeds []string
	for i, way := range s.toHubs {
		if s.gateways[i] == h {
			seeds = append(seeds, h.peers)
		} else {
			seeds = append(seeds, way.address())
		}
	}
	return seeds
}

// testRoute is a route of the name, which is its path too.
func testRoute(name, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": "fleet.example", "prefix": "/" + name + "/", "route_type": kind, "service": service,
		"timeout_ms": 3000, "target_latency_ms": 1000, "max_attempts": 3, "priority": 1,
	}
}

// routingDocument has a route of each kind, and one with a choice of models.
func routingDocument() map[string]any {
	stream := testRoute("stream", "streaming", "pool")
	stream["stream_resume"] = true
	stream["session_affinity"] = true
	stream["size_list"] = []string{"weak", "strong"}
	return map[string]any{
		"routes":   []any{testRoute("once", "non_idempotent", "app"), testRoute("many", "idempotent", "app"), stream},
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "pool"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"key-a", "key-b"}}},
	}
}

// publish writes the document under a version.
func (s *fleetSystem) publish(version int) {
	s.document["version"] = version
	data, err := json.Marshal(s.document)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("op", "config", data)
}

// grow adds routes to the document, which aren't asked for.
func (s *fleetSystem) grow(routes int) {
	known := s.document["routes"].([]any)
	for range routes {
		known = append(known, testRoute(fmt.Sprintf("spare-%d", len(known)), "idempotent", "app"))
	}
	s.document["routes"] = known
}

// addRoute adds one route to the document, which requests of its name as their kind use.
func (s *fleetSystem) addRoute(name string) {
	s.document["routes"] = append(s.document["routes"].([]any), testRoute(name, "idempotent", "app"))
}

func (s *fleetSystem) addUpstream(service, version, zone string) *platformtest.Upstream {
	s.t.Helper()
	return s.addColdUpstream(service, version, zone, 0)
}

// addColdUpstream adds an upstream that says that it is cold for a time.
func (s *fleetSystem) addColdUpstream(service, version, zone string, coldFor time.Duration) *platformtest.Upstream {
	s.t.Helper()
	s.made++
	u := &platformtest.Upstream{
		ID: fmt.Sprintf("u-%d", s.made), Service: service, Version: version, Zone: zone,
		Events: streamEvents, Pause: 10 * time.Millisecond, LowConfidenceModel: "weak", Confidence: 80, ColdFor: coldFor,
	}
	if err := u.Start(loopback); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(u.Kill)
	s.store.Put("servers", u.ID, u.Entry("available"))
	s.upstreams = append(s.upstreams, u)
	return u
}

func (h *gatewayHost) writeSettings(t *testing.T, seeds []string) {
	t.Helper()
	h.settings = filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(`node_name: %q
ip: "127.0.0.1"
zone: %q
listen: {frontend: %q, ready: %q, control_plane: %q}
seeds: [%s]
limits: {memory_mb: 256}
bounds: {drain_ms: %d, grace_s: %d, retry_budget_ratio: 0.9, retry_window_s: 10, canary_share: 0.2, session_s: 5, cold_overrun: 1.5, cold_headroom: 5, evacuate_ms: 5000}
platform: {address: %q}
`, h.name, h.zone, h.callers, h.ready, h.peers, strings.Join(seeds, ", "), gatewayDrain.Milliseconds(), int(gatewayGrace.Seconds()), h.toStore.address())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (s *fleetSystem) startGateway(h *gatewayHost) {
	h.process = start(s.t, h.name, nil, "gateway", "--settings="+h.settings, "--metrics-port=0")
}

func (s *fleetSystem) isReady(h *gatewayHost) bool {
	resp, err := s.client.Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// fleetAnswer is what a caller got for a request.
type fleetAnswer struct {
	id     string
	kind   string
	status int
	body   string
	retry  string
	// host took the request, head is when its answer began, limit what that names.
	host  string
	head  time.Time
	limit string
	err   error
	began time.Time
	ended time.Time
}

// send sends a request of the kind, which is the route's name too.
func (s *fleetSystem) send(h *gatewayHost, kind, key string) fleetAnswer {
	return s.sendBody(h, kind, key, "")
}

// sendBody sends a request with a body, one of its own if that is empty.
func (s *fleetSystem) sendBody(h *gatewayHost, kind, key, body string) fleetAnswer {
	a := fleetAnswer{id: fmt.Sprintf("r-%d", s.requests.Add(1)), kind: kind, host: h.name, began: time.Now()}
	if body == "" {
		body = "body of " + a.id
	}
	req, err := http.NewRequest("POST", "http://"+h.callers+"/"+kind+"/x", strings.NewReader(body))
	if err != nil {
		panic(err) // the parts are constants
	}
	req.GetBody = nil // the client library must not repeat it by itself
	req.Host = "fleet.example"
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("X-Deadline-Ms", "4000")
	if kind == "stream" {
		req.Header.Set("X-Model", "*")
		req.Header.Set("X-Prefix-Hash", "aa:100,"+a.id+":10")
		req.Header.Set("Session", "s-"+a.id)
	}
	resp, err := s.client.Do(req)
	if err == nil {
		a.head, a.limit = time.Now(), resp.Header.Get("Server-Limit")
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body, a.retry = resp.StatusCode, string(body), resp.Header.Get("Retry-After")
	}
	a.err = err
	a.ended = time.Now()
	return a
}

// whole is the complete answer of a request.
func (a *fleetAnswer) whole() string {
	if a.kind != "stream" {
		return platformtest.ExpectedText(a.id)
	}
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		b.WriteString(platformtest.ExpectedEvent(a.id, i))
	}
	return b.String()
}

func (s *fleetSystem) mustServe(h *gatewayHost) {
	s.t.Helper()
	for _, kind := range []string{"once", "many", "stream"} {
		a := s.send(h, kind, "key-a")
		if a.err != nil || a.status != http.StatusOK || a.body != a.whole() {
			s.t.Fatalf("%s: %s: status %d, %v, body %q", h.name, kind, a.status, a.err, a.body)
		}
	}
}

func (s *fleetSystem) problems() []string {
	var found []string
	for _, u := range s.upstreams {
		if p := u.Problem(); p != "" {
			found = append(found, u.ID+": "+p)
		}
	}
	return found
}

// TestGatewayCalmPath plays a calm path: every kind of request on every host, a
// new routing document, keys taken away, an upstream that leaves, a roll-out, and
// a planned stop during a stream.
func TestGatewayCalmPath(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 3, 3)
	for _, h := range s.gateways {
		s.mustServe(h)
		is.Equal(s.send(h, "none", "key-a").status, http.StatusNotFound)
		is.Equal(s.send(h, "once", "key-x").status, http.StatusUnauthorized)
	}

	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-a"}}}
	s.publish(5)
	for _, h := range s.gateways {
		eventually(t, h.name+" refuses the key", func() bool { return s.send(h, "once", "key-b").status == http.StatusUnauthorized })
		s.mustServe(h)
	}

	leaving := s.upstreams[0]
	s.store.Put("servers", leaving.ID, leaving.Entry("draining"))
	time.Sleep(time.Second)
	before := len(leaving.StartedRuns())
	for _, h := range s.gateways {
		s.mustServe(h)
	}
	is.Equal(len(leaving.StartedRuns()), before)

	s.rollOut(t)

	h := s.gateways[0]
	ended := make(chan fleetAnswer)
	for _, u := range s.upstreams {
		u.Pause = 100 * time.Millisecond
	}
	go func() { ended <- s.send(h, "stream", "key-a") }()
	time.Sleep(150 * time.Millisecond)
	h.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() bool { return !s.isReady(h) })
	a := <-ended
	is.NoErr(a.err)
	is.Equal(a.body, a.whole()) // the stop cut nothing
	<-h.done
	is.NoErr(h.err)
	is.Equal(s.problems(), nil)
}

// rollOut moves the pool to a new version.
func (s *fleetSystem) rollOut(t *testing.T) {
	t.Helper()
	var moved []*platformtest.Upstream
	for i := range 3 {
		moved = append(moved, s.addUpstream("pool", "v2", zone(i)))
	}
	s.store.Put("op", "rollout/pool", []byte(`{"service":"pool","to":"v2","duration_s":4}`))
	eventually(t, "completed", func() bool {
		for _, h := range s.gateways {
			s.mustServe(h)
		}
		return strings.Contains(string(s.store.Get("status", "rollout/pool")), `"completed"`)
	})
	runs := 0
	for _, u := range moved {
		runs += len(u.StartedRuns())
	}
	is.New(t).True(runs > 0)
}

// A gateway serves on while the store is away, and takes up what it missed.
func TestGatewayOutlivesTheStore(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 1, 3)
	h := s.gateways[0]
	for _, fault := range []platformtest.Fault{platformtest.Busy, platformtest.Unresponsive, platformtest.ResponseLost} {
		s.store.SetFault(fault)
		s.mustServe(h)
		s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-a", fmt.Sprint("key-", fault)}}}
		s.publish(10 + int(fault))
		time.Sleep(200 * time.Millisecond)
		s.store.DropHistory()
		is.True(s.isReady(h))
		s.store.SetFault(platformtest.Healthy)
		eventually(t, "the new key is known", func() bool { return s.send(h, "once", fmt.Sprint("key-", fault)).status == http.StatusOK })
	}
}

// A signal that the settings changed ends nothing.
func TestGatewayOutlivesAReload(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 1, 3)
	h := s.gateways[0]
	ended := make(chan fleetAnswer)
	go func() { ended <- s.send(h, "stream", "key-a") }()
	h.signal(syscall.SIGHUP)
	is.Equal(h.field("event=reload", "changed="), "false")
	a := <-ended
	is.NoErr(a.err)
	is.Equal(a.body, a.whole())
	s.mustServe(h)
	is.NoErr(os.WriteFile(h.settings, []byte("{"), 0o600))
	h.signal(syscall.SIGHUP)
	h.field("event=reload", "error=")
	s.mustServe(h)
}

func TestGatewayWithoutItsStoreIsNotReady(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 1, 3)
	h := s.gateways[0]
	h.kill()
	h.toStore.cutAll()
	s.startGateway(h)
	var a fleetAnswer
	eventually(t, "the gateway listens", func() bool {
		a = s.send(h, "once", "key-a")
		return !errors.Is(a.err, syscall.ECONNREFUSED)
	})
	is.Equal(a.status, http.StatusServiceUnavailable) // it knows no route: a 404 would be a guess
	is.True(a.retry != "")
	is.True(!s.isReady(h))
	h.toStore.heal()
	eventually(t, "ready", func() bool { return s.isReady(h) })
	s.mustServe(h)
}

// A document reaches a host whose way to the store is cut through the hub of its
// zone, and the hosts that hear from the hub don't ask the store.
func TestGatewaysRelayTheStoresWord(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 9, 1)
	cut := s.gateways[8]
	s.waitForRelay(cut)
	cut.toStore.inner.Silence(tcprelay.ToTarget)
	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-new"}}}
	s.publish(9)
	for _, h := range s.gateways {
		eventually(t, h.name+" knows the new key", func() bool { return s.send(h, "once", "key-new").status == http.StatusOK })
	}

	// Without the hub the others go on by themselves, but for the one that is cut.
	s.gateways[0].kill()
	s.document["tenants"] = []any{map[string]any{"name": "acme", "api_keys": []string{"key-newer"}}}
	s.publish(10)
	for _, h := range s.gateways[1:8] {
		eventually(t, h.name+" knows the newer key", func() bool { return s.send(h, "once", "key-newer").status == http.StatusOK })
	}
	cut.toStore.heal()
	eventually(t, "the one that was cut knows it, too", func() bool { return s.send(cut, "once", "key-newer").status == http.StatusOK })
	is.Equal(s.problems(), nil)
}

// A document that grows is in force on hosts with small links as on others, also when
// each reading takes longer than any one silence of the store that hosts put up with,
// and on a host that starts with the large one.
func TestGatewaysWithSmallLinksHaveALargeDocument(t *testing.T) {
	is := is.New(t)
	s := newFleetSystem(t, 9, 1)
	small := s.gateways[7:]
	for _, h := range small {
		h.toStore.setRate(smallLink)
	}
	s.waitForRelay(small[0])
	for version := 2; version <= 4; version++ {
		s.grow(1000)
		name := fmt.Sprint("version-", version)
		s.addRoute(name)
		s.publish(version)
		for _, h := range s.gateways {
			eventually(t, h.name+" serves "+name, func() bool { return s.send(h, name, "key-a").status == http.StatusOK })
		}
	}
	small[1].kill()
	s.startGateway(small[1])
	eventually(t, "the host that started serves", func() bool { return s.send(small[1], "version-4", "key-a").status == http.StatusOK })
	is.Equal(s.problems(), nil)
}

// waitForRelay waits until the host relies on its hub for the operators' table.
func (s *fleetSystem) waitForRelay(h *gatewayHost) {
	s.t.Helper()
	h.field("table=op event=relay-used", "revision=")
}
