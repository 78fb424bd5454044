package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

const (
	serversPerVersion = 4
	workTime          = 20 * time.Millisecond
	apiKey            = "n2ctnfzs989anu6wsjnb"
	hostName          = "ficu95.example"
	requestPath       = "/puxa403/2f"
)

var zones = []string{"hall-a", "hall-b", "hall-c"}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings and numbers only
	}
	return data
}

// document returns the config: one route that may run once, and one tenant.
func document() []byte {
	return encode(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "confirm", "hostname": hostName, "prefix": "/puxa403/", "route_type": "non_idempotent", "service": "app",
			"timeout_ms": 4000, "target_latency_ms": 300, "priority": 1, "max_attempts": 3, "public": false,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}},
	})
}

func order(version string) []byte {
	return encode(map[string]any{"service": "app", "to": version, "duration_s": rolloutS})
}

// awaitEnd waits until the system has written that the roll-out is completed or reverted, and returns the
// state.
func (f *fleet) awaitEnd(limit time.Duration) string {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		var status struct{ State string }
		err := json.Unmarshal(f.store.Get("status", "rollout/app"), &status)
		if err == nil && (status.State == "reverted" || status.State == "completed") {
			f.rec.ended(status.State)
			return status.State
		}
	}
	return ""
}

// fleet starts and drains the servers.
type fleet struct {
	store   *platformtest.Store
	rec     *recorder
	servers []*server
}

// server is one server of the service.
type server struct {
	id, version, address, zone string
	fault                      fault
	http                       *http.Server
	rec                        *recorder

	mu sync.Mutex
	// runs holds the starts of the runs of the last second.
	runs []time.Time
}

// fault is how a version is bad: a share of its answers are failures, if a server ran more than a number
// of requests in the last second.
type fault struct {
	share          float64
	abovePerSecond int
}

// fails records a run and reports whether it fails.
func (s *server) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.runs = append(slices.DeleteFunc(s.runs, func(at time.Time) bool { return now.Sub(at) > time.Second }), now)
	return len(s.runs) > s.fault.abovePerSecond && rand.Float64() < s.fault.share
}

// rollOut starts the servers of a version and orders the roll-out.
func (f *fleet) rollOut(version string, bad fault) error {
	if err := f.start(version, bad); err != nil {
		return err
	}
	f.rec.order(version, bad.share == 0)
	f.store.Put("op", "rollout/app", order(version))
	return nil
}

// start starts the servers of a version.
func (f *fleet) start(version string, bad fault) error {
	for i := range serversPerVersion {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &server{id: fmt.Sprintf("i-%s-%d", version, i), version: version, address: listener.Addr().String(), zone: zones[i%len(zones)], fault: bad, rec: f.rec}
		s.http = &http.Server{Handler: s}
		go func() { _ = s.http.Serve(listener) }()
		f.servers = append(f.servers, s)
		f.store.Put("servers", s.id, s.entry("available"))
	}
	return nil
}

func (s *server) entry(state string) []byte {
	return encode(map[string]any{
		"service": "app", "address": s.address, "zone": s.zone, "version": s.version, "slots": 16,
		"state": state, "cold_remaining_ms": 0, "sequence": 1,
	})
}

// drain makes the servers of a version report that they are draining, and end after the drain time and
// a second more.
func (f *fleet) drain(version string) {
	for _, s := range f.servers {
		if s.version != version {
			continue
		}
		f.store.Put("servers", s.id, s.entry("draining"))
		time.AfterFunc(drainTime+time.Second, func() {
			_ = s.http.Close()
			f.store.Remove("servers", s.id)
		})
	}
}

// stop ends the servers of a version at once.
func (f *fleet) stop(version string) {
	for _, s := range f.servers {
		if s.version == version {
			_ = s.http.Close()
			f.store.Remove("servers", s.id)
		}
	}
}

// ServeHTTP runs a request, or answers a status check.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", s.id)
	header.Set("X-Server-Load", "1,0,16")
	if req.URL.Path == "/healthz" {
		return
	}
	header.Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	failed := s.fails()
	s.rec.ran(req.Header.Get("X-Attempt-Id"), s.version, s.id, failed)
	time.Sleep(workTime)
	header.Set("X-Server-Stamp", "3e1b.07."+s.id)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "done by "+s.id) // an error means that the channel is closed
}

// host is one gateway process.
type host struct {
	name, caller, ready string
	command             *exec.Cmd
	log                 *os.File
}

// freeAddress returns an address of the IP whose port is free.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startHosts starts three gateways as the deploy file does, and waits until they are ready.
func startHosts(gateway, dir, storeAddress string) ([]*host, error) {
	var hosts []*host
	var listens [][3]string
	base := rand.IntN(200) + 20
	for i := range zones {
		var l [3]string
		for k := range l {
			address, err := freeAddress(fmt.Sprintf("127.0.%d.%d", base, i+1))
			if err != nil {
				return nil, err
			}
			l[k] = address
		}
		listens = append(listens, l)
	}
	for i, zone := range zones {
		ip, _, err := net.SplitHostPort(listens[i][0])
		if err != nil {
			return hosts, err
		}
		h := &host{name: "edge-" + zone + "-1", caller: listens[i][0], ready: listens[i][1]}
		settings := filepath.Join(dir, h.name+".yaml")
		if err := os.WriteFile(settings, settingsFile(h, ip, zone, listens, i, storeAddress), 0o600); err != nil {
			return hosts, err
		}
		if h.log, err = os.Create(filepath.Join(dir, h.name+".log")); err != nil {
			return hosts, err
		}
		h.command = exec.Command(gateway, "gateway")
		h.command.Env = append(os.Environ(), "QUETZALWEIR_SETTINGS="+settings)
		h.command.Stdout, h.command.Stderr = h.log, h.log
		if err := h.command.Start(); err != nil {
			return hosts, err
		}
		hosts = append(hosts, h)
		started.Lock()
		started.hosts = append(started.hosts, h)
		started.Unlock()
	}
	return hosts, awaitReady(hosts)
}

func awaitReady(hosts []*host) error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range hosts {
		ready := false
		for deadline := time.Now().Add(15 * time.Second); !ready && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + h.ready + "/-/readyz")
			if err == nil {
				ready = resp.StatusCode == http.StatusOK
				_ = resp.Body.Close()
			}
		}
		if !ready {
			return fmt.Errorf("%s isn't ready", h.name)
		}
	}
	return nil
}

// started holds the gateways that were started, to end them also if this process is told to stop.
var started struct {
	sync.Mutex
	hosts []*host
}

// stopHosts ends the gateways that were started.
func stopHosts() {
	started.Lock()
	defer started.Unlock()
	for _, h := range started.hosts {
		_ = h.command.Process.Kill() // an error means that it has ended
		_ = h.command.Wait()
		_ = h.log.Close()
	}
	started.hosts = nil
}

// settingsFile returns the settings of a host, like those of a small deployment.
func settingsFile(h *host, ip, zone string, listens [][3]string, i int, storeAddress string) []byte {
	text := fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "edge"
serves: ["edge", "control"]
ip: %q
zone: %q
region: "halls"
zones: {hall-a: "halls", hall-b: "halls", hall-c: "halls"}
listen: {frontend: %q, ready: %q, control_plane: %q}
port_range: [7340, 7355]
seeds: [%q, %q, %q]
bootstrap: true
in_tolerance: false
limits: {cpu_quota: 0.4, cores: 1, memory_mb: 284, file_descriptors: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_point: "virtual_ip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]
fault_tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8,
  loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, outer_ms: 5000, fail_closed: false, revoke_ms: 5000,
  retry_budget_ratio: 0.9, retry_window_s: 10, retry_headroom: 54, canary_share: 0.15, canary_headroom: 30,
  rollback_ms: 5000, recover_s: 12, delivery_slack_ms: 120, retry_after_s: 7.7, session_s: 5}
platform: {address: %q, form: "table", writes_per_s: 400, reads_per_s: 2000, transaction_ms: 3.0, partition_writes_s: 300,
  row_bytes: 65536, cross_partition: true, history_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_s: 80.0}
`, h.name, ip, zone, listens[i][0], listens[i][1], listens[i][2], listens[0][2], listens[1][2], listens[2][2], storeAddress)
	return []byte(text)
}
