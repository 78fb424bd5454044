// Command kit2 plays the cases of the second review: it starts hosts as separate processes and is their
// store, their servers and their clients.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/freeport"
	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

const (
	serviceName = "desk"
	healthPath  = "/healthz"
	hostName    = "ficu95.example"
	accountKey  = "n2ctnfzs989anu6wsjnb"
	// startTimeout bounds the time until a host is ready. settleTime is the time after that before requests are
	// sent: hosts have found each other by then, and are in touch.
	startTimeout = 15 * time.Second
	settleTime   = 4 * time.Second
)

// zones are the availability zones, with a host and a server each.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// world holds the parties of one case.
type world struct {
	dir     string
	record  *os.File
	began   time.Time
	store   *platformtest.Store
	address string

	mu    sync.Mutex
	hosts []*host
	// stops ends the stand-ins.
	stops []func()
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, began: time.Now(), store: platformtest.NewStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(listener) }()
	w.stops = append(w.stops, func() { server.Close() })
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, stop := range w.stops {
		stop()
	}
	w.record.Close()
	os.RemoveAll(w.dir)
}

// put writes a row as the operator or a server does.
func (w *world) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.store.Put(table, key, data)
}

// host is one host's process.
type host struct {
	name, zone, ip           string
	frontend, ready, control string
	// settings is the path of the settings file.
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// addHosts starts a host in each zone, with addresses of their own on loopback, and waits until they are ready.
func (w *world) addHosts() error {
	var seeds []string
	for i, zone := range zones {
		h := &host{name: "edge-" + zone + "-1", zone: zone, ip: fmt.Sprintf("127.0.1.%d", 11+i)}
		for _, address := range []*string{&h.frontend, &h.ready, &h.control} {
			var err error
			if *address, err = freeport.Address(h.ip); err != nil {
				return err
			}
		}
		h.settings = filepath.Join(w.dir, h.name+".yaml")
		seeds = append(seeds, h.control)
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := os.WriteFile(h.settings, []byte(w.settingsText(h, seeds)), 0o600); err != nil {
			return err
		}
		if err := w.start(h); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(startTimeout); err != nil {
			return err
		}
	}
	w.note("all hosts are ready")
	time.Sleep(settleTime)
	return nil
}

func (w *world) settingsText(h *host, seeds []string) string {
	return fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "edge"
serves: ["edge", "control"]
ip: %q
zone: %q
region: "region"
zones: {zone-a: "region", zone-b: "region", zone-c: "region"}
listen: {frontend: %q, ready: %q, control_plane: %q}
port_range: [7340, 7355]
seeds: [%s]
bootstrap: true
limits: {cpu_quota: 0.4, cores: 1, memory_mb: 284, file_descriptors: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_point: "virtual_ip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]
fault_tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, outer_ms: 5000, fail_closed: false, revoke_ms: 5000, retry_budget_ratio: 0.9, retry_window_s: 10, retry_headroom: 54, canary_share: 0.15, canary_headroom: 30, rollback_ms: 5000, recover_s: 12, delivery_slack_ms: 120, retry_after_s: 7.7, session_s: 5}
platform: {address: %q, form: "table", writes_per_s: 400, reads_per_s: 2000, transaction_ms: 3.0, partition_writes_s: 300, row_bytes: 65536, cross_partition: true, history_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_s: 80.0}
`, h.name, h.ip, h.zone, h.frontend, h.ready, h.control, `"`+strings.Join(seeds, `", "`)+`"`, w.address)
}

// start starts the host's process with the command of the deploy file.
func (w *world) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/quetzalweir", "gateway")
	h.cmd.Env = append(os.Environ(), "QUETZALWEIR_SETTINGS="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		w.note("%s: the process ended: %v", h.name, err)
		log.Close()
		close(exited)
	}(h.cmd, h.exited)
	w.note("%s: process %d started, frontend %s", h.name, h.cmd.Process.Pid, h.frontend)
	return nil
}

// kill ends the host's process, if it was started.
func (h *host) kill() {
	if h.exited == nil {
		return
	}
	_ = h.cmd.Process.Kill() // fails if the process has ended
	<-h.exited
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) {
		resp, err := client.Get("http://" + h.ready + "/-/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready", h.name)
}

// serverSlots is the number of requests that a server runs at once. No case sends as many.
const serverSlots = 64

// server is a stand-in for a server of a service. Its entry in the store stays as it is while only the entry's
// sequence would change.
type server struct {
	id, zone, address string
	listener          net.Listener
	// run runs a request and writes its answer. It returns false if the connection ends.
	run func(s *server, conn net.Conn, req *http.Request, body []byte) bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// addServer starts a server of the service desk and lists it in the store.
func (w *world) addServer(id, zone string, run func(*server, net.Conn, *http.Request, []byte) bool) (*server, error) {
	s, err := w.listen(id, zone, run)
	if err != nil {
		return nil, err
	}
	w.put("servers", id, map[string]any{
		"service": serviceName, "address": s.address, "zone": zone, "version": "v1", "slots": serverSlots,
		"state": "available", "cold_remaining_ms": 0, "sequence": 1,
	})
	return s, nil
}

// listen starts a server that isn't in the store yet.
func (w *world) listen(id, zone string, run func(*server, net.Conn, *http.Request, []byte) bool) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, zone: zone, address: listener.Addr().String(), listener: listener, run: run, conns: make(map[net.Conn]struct{})}
	go s.accept()
	w.stops = append(w.stops, s.exit)
	return s, nil
}

// exit ends the server as the end of its process does.
func (s *server) exit() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

func (s *server) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		switch expected := req.Header.Get("X-Expect-Instance"); {
		case req.URL.Path == healthPath:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		case expected != "" && expected != s.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
		case !s.run(s, conn, req, body):
			return
		}
	}
}

// answerRun writes the answer of a run, with the server's stamp.
func (s *server) answerRun(conn net.Conn, id, status, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", status, id, s.id, id, len(body), body)
	return err == nil
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, stamp %q, body %q", a.status, a.header.Get("X-Server-Stamp"), a.body)
}

// confirm sends a request that isn't idempotent, on a channel of its own, and reads its answer.
func confirm(h *host, id, body string, limit time.Duration) answer {
	conn, err := net.DialTimeout("tcp", h.frontend, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(conn, "POST /confirm/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		hostName, id, accountKey, limit.Milliseconds(), len(body), body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: strings.TrimSpace(string(data)), err: err}
}

// config returns a config like that of a small deployment, with one route whose requests aren't idempotent.
func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-confirm", "hostname": hostName, "prefix": "/confirm/", "route_type": "non_idempotent", "timeout_ms": 800,
			"target_latency_ms": 300, "priority": 2, "service": serviceName, "max_attempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": serviceName, "health_path": healthPath, "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{accountKey}, "priority": 1}},
	}
}
