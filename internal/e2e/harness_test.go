// Package e2e runs the built binary as separate processes on loopback and
// checks its guarantees while processes are killed, frozen and partitioned.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/freeport"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// binary is the path of the built quetzalweir command.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "quetzalweir-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "quetzalweir")
	args := append([]string{"build", "-o", binary}, buildFlags...)
	out, err := exec.Command("go", append(args, "../../cmd/quetzalweir")...).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// waitTimeout bounds each wait of a test; it is far above the expected time.
const waitTimeout = 30 * time.Second

// process is a process that runs the binary.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	done chan struct{}
	err  error
}

// start starts the binary with additional environment variables. The process is
// killed when the test ends.
func start(t *testing.T, name string, env []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if strings.Contains(p.output(), "DATA RACE") {
			t.Errorf("%s has a data race", name)
		}
		if t.Failed() {
			t.Logf("--- %s\n%s", name, tail(p.output()))
		}
		if *logsDir != "" {
			p.saveLog()
		}
	})
	return p
}

// maxLog is the number of bytes from the end of each process's log that a failed
// test prints.
const maxLog = 6000

func tail(text string) string {
	return text[max(0, len(text)-maxLog):]
}

// logsDir is the folder to which the whole logs of all processes are written.
var logsDir = flag.String("logs.dir", "", "folder for the whole logs of the processes, also of tests that pass; none are kept if empty")

// saveLog writes the whole log to a file of its own in logsDir.
func (p *process) saveLog() {
	pattern := strings.ReplaceAll(p.t.Name(), "/", "-") + "." + p.name + ".*.log"
	f, err := os.CreateTemp(*logsDir, pattern)
	if err != nil {
		p.t.Errorf("save the log of %s: %v", p.name, err)
		return
	}
	defer f.Close()
	if _, err := f.WriteString(p.output()); err != nil {
		p.t.Errorf("save the log of %s: %v", p.name, err)
	}
}

// Write appends to the process's log.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(s syscall.Signal) {
	// The signal fails if the process has already ended.
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate requests a planned stop, waits for the process to exit and returns
// its error.
func (p *process) terminate() error {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit after SIGTERM", p.name)
		return nil
	}
}

// waitForField waits for a log line that contains the marker and returns the
// value of the field that follows fieldPrefix in it.
func (p *process) waitForField(marker, fieldPrefix string) string {
	p.t.Helper()
	var value string
	p.t.Logf("%s: waiting for %s", p.name, marker)
	eventually(p.t, p.name+" logs "+marker, func() bool {
		value = findField(p.output(), marker, fieldPrefix)
		return value != ""
	})
	return value
}

func findField(log, marker, fieldPrefix string) string {
	lines := bufio.NewScanner(strings.NewReader(log))
	for lines.Scan() {
		line := lines.Text()
		if !strings.Contains(line, marker) {
			continue
		}
		if _, rest, ok := strings.Cut(line, fieldPrefix); ok {
			value, _, _ := strings.Cut(rest, " ")
			return strings.Trim(value, `"`)
		}
	}
	return ""
}

// eventually waits until the condition holds, and fails the test after
// waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sampleKey is the key for sessions and peers of all processes of a test.
const sampleKey = "k1:6465762d6465762d6465762d6465762d6465762d6465762d6465762d6465762d"

var entryEnv = []string{
	"QUETZALWEIR_SESSION_KEYS=" + sampleKey,
	"QUETZALWEIR_PEER_KEYS=" + sampleKey,
	"QUETZALWEIR_OPERATOR_KEYS=" + devenv.OperatorKey,
	"QUETZALWEIR_BALANCER_LAG=200ms",
}

// entryHost is the process of an entry host.
type entryHost struct {
	*process
	id           string
	ip           string
	callerAddr   string
	operatorAddr string
	// toPlatform relays the host's traffic to the platform. fromPeers relays the
	// traffic from other entry hosts to this host.
	toPlatform *relay
	fromPeers  *relay
}

// system is a platform, upstreams and entry hosts, each a process.
type system struct {
	t        *testing.T
	platform string
	engines  []standin
	services []standin
	hosts    []*entryHost
}

// standin is the process of a stand-in for an external system.
type standin struct {
	*process
	address string
}

func startStandin(t *testing.T, name string, args ...string) standin {
	t.Helper()
	p := start(t, name, nil, append([]string{"standin"}, args...)...)
	return standin{process: p, address: p.waitForField("listening", "listening ")}
}

// startSystem starts a platform, three engines with the sample's versions, a
// service, and entry hosts in three zones. It does not submit a manifest.
func startSystem(t *testing.T, hosts int) *system {
	t.Helper()
	s := &system{t: t}
	s.platform = startStandin(t, "platform", "platform", "--listen=127.0.0.1:0").address
	platform := "--platform=http://" + s.platform
	for i, versions := range []string{"small@v1,small@v2,large@v1", "small@v1,small@v2,large@v1", "small@v1,small@v2,large@v1"} {
		id := fmt.Sprintf("engine-%d", i+1)
		s.engines = append(s.engines, startStandin(t, id, "engine", platform, "--id="+id, "--zone="+zone(i), "--versions="+versions, "--time-per-token=1ms"))
	}
	s.services = append(s.services, startStandin(t, "lanes-1", "service", platform, "--id=lanes-1", "--name=lanes", "--zone=zone-a"))
	for i := range hosts {
		s.addHost(fmt.Sprintf("entry-%d", i+1), zone(i))
	}
	return s
}

func zone(i int) string {
	return "zone-" + string(rune('a'+i%3))
}

// addHost starts an entry host. Its connections to the platform and those from
// other hosts go through relays, and its own connections to peers have a source
// IP that no other host uses, so that a test can cut any pair of processes.
func (s *system) addHost(id, zone string, flags ...string) *entryHost {
	s.t.Helper()
	h := &entryHost{id: id, ip: fmt.Sprintf("127.0.1.%d", len(s.hosts)+1)}
	h.toPlatform = newRelay(s.t, loopback, s.platform)
	h.fromPeers = newRelay(s.t, h.ip, "")
	peers := freeAddress(s.t, h.ip)
	h.fromPeers.setTarget(peers)
	args := []string{"serve", "--id=" + id, "--zone=" + zone, "--platform=http://" + h.toPlatform.address(),
		"--callers=127.0.0.1:0", "--operators=127.0.0.1:0", "--peers=" + peers, "--advertise-peers=" + h.fromPeers.address()}
	h.process = start(s.t, id, entryEnv, append(args, flags...)...)
	h.callerAddr = h.waitForField("event=start", "callers=")
	h.operatorAddr = h.waitForField("event=start", "operators=")
	s.hosts = append(s.hosts, h)
	return h
}

const loopback = "127.0.0.1"

// freeAddress returns an address on the IP with an unused port.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	address, err := freeport.Address(ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// cutPeers cuts the connections between a host and all other entry hosts, in
// both directions.
func (s *system) cutPeers(h *entryHost) {
	h.fromPeers.cutAll()
	for _, other := range s.hosts {
		if other != h {
			other.fromPeers.cutFrom(func(ip string) bool { return ip == h.ip })
		}
	}
}

// healPeers ends all cuts of connections between entry hosts.
func (s *system) healPeers() {
	for _, h := range s.hosts {
		h.fromPeers.heal()
	}
}

// submit submits a manifest through a host and waits until all hosts are ready.
func (s *system) submit(data []byte) config.Head {
	s.t.Helper()
	head := s.submitTo(s.hosts[0], data)
	s.waitReady()
	return head
}

func (s *system) submitTo(h *entryHost, data []byte) config.Head {
	s.t.Helper()
	var answer entry.SubmitResponse
	eventually(s.t, "submit", func() bool {
		req, err := http.NewRequest(http.MethodPost, "http://"+h.operatorAddr+entry.PathManifest, bytes.NewReader(data))
		if err != nil {
			return false
		}
		req.Header.Set(entry.HeaderSubmitToken, manifest.Digest(data))
		return s.sendToOperatorAPI(req, &answer) == nil
	})
	return answer.Head
}

func (s *system) waitReady() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, h := range s.hosts {
		if err := devenv.WaitReady(ctx, h.operatorAddr); err != nil {
			s.t.Fatalf("%s isn't ready: %v", h.id, err)
		}
	}
}

// operatorGet sends a GET request to the operators' API of a host and decodes
// the response.
func (s *system) operatorGet(h *entryHost, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.operatorAddr+path, nil)
	if err != nil {
		return err
	}
	return s.sendToOperatorAPI(req, into)
}

func (s *system) sendToOperatorAPI(req *http.Request, into any) error {
	req.Header.Set("Authorization", "Bearer "+devenv.OperatorKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}

func decode(r io.Reader, into any) error {
	return json.NewDecoder(r).Decode(into)
}

// setFaults sets the faults of the stand-in at the address.
func (s *system) setFaults(address string, faults any) {
	s.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := client.Post("http://"+address+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		s.t.Fatalf("set the faults of %s: %s", address, resp.Status)
	}
}

// client is the HTTP client of callers and operators.
var client = &http.Client{
	Timeout:   waitTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64},
}

// answer is the HTTP response that a caller got.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

// get returns the value of a header, or of a trailer if there is no such header:
// streamed answers have some values in their trailer.
func (a answer) get(name string) string {
	if v := a.header.Get(name); v != "" {
		return v
	}
	return a.trailer.Get(name)
}

// call is a caller's request.
type call struct {
	path   string
	body   string
	header map[string]string
	// reader sends the body if it is set. onHead is called with the status when the answer begins, unless it is nil.
	reader io.Reader
	onHead func(status int)
}

const chatPath = "/v1/chat/completions"

func chat(model, prompt string, stream bool) call {
	return call{path: chatPath, body: fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, prompt)}
}

func bid(key, body string) call {
	return call{path: "/services/lanes/bids", body: body, header: map[string]string{"Quetzalweir-Request-Key": key}}
}

func (c call) with(name, value string) call {
	header := map[string]string{name: value}
	for k, v := range c.header {
		header[k] = v
	}
	c.header = header
	return c
}

// send sends the request to a host. It returns an error if the answer is missing
// or incomplete.
func (c call) send(h *entryHost) (answer, error) {
	return c.sendContext(context.Background(), h)
}

// sendContext is like send, but the caller disconnects when ctx ends.
func (c call) sendContext(ctx context.Context, h *entryHost) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddr+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{}, err
	}
	// Without GetBody the HTTP client can't repeat the request by itself.
	req.GetBody = nil
	if c.reader != nil {
		req.Body = io.NopCloser(c.reader)
	}
	req.Header.Set("Authorization", "Bearer "+devenv.AccountKey)
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	if c.onHead != nil {
		c.onHead(resp.StatusCode)
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(body)}, err
}
