// Package e2e runs the built binary as separate processes on loopback and
// checks what must hold while processes are killed, frozen and cut off.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

// binary is the built quetzalweir.
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

// stepTimeout bounds each wait of a test; it is far above what is expected.
const stepTimeout = 30 * time.Second

// process is a running binary.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	done chan struct{}
	err  error
}

// start runs the binary and waits for its first line of output if wait is set.
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
	})
	return p
}

// maxLog bounds what a failed test prints of each process's log, in bytes.
const maxLog = 6000

func tail(text string) string {
	return text[max(0, len(text)-maxLog):]
}

// Write takes the process's output.
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
	// A process that has ended already can't be signalled.
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate asks for a planned stop and waits for its end.
func (p *process) terminate() error {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stepTimeout):
		p.t.Fatalf("%s didn't stop", p.name)
		return nil
	}
}

// field waits for a log line with the event and returns one of its fields.
func (p *process) field(marker, field string) string {
	p.t.Helper()
	var value string
	p.t.Logf("%s: waiting for %s", p.name, marker)
	eventually(p.t, p.name+" logs "+marker, func() bool {
		value = findField(p.output(), marker, field)
		return value != ""
	})
	return value
}

func findField(log, marker, field string) string {
	lines := bufio.NewScanner(strings.NewReader(log))
	for lines.Scan() {
		line := lines.Text()
		if !strings.Contains(line, marker) {
			continue
		}
		if _, rest, ok := strings.Cut(line, field); ok {
			value, _, _ := strings.Cut(rest, " ")
			return strings.Trim(value, `"`)
		}
	}
	return ""
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(stepTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// secret is the sample key of all processes of a test.
const secret = "k1:6465762d6465762d6465762d6465762d6465762d6465762d6465762d6465762d"

var entryEnv = []string{
	"QUETZALWEIR_SESSION_KEYS=" + secret,
	"QUETZALWEIR_PEER_KEYS=" + secret,
	"QUETZALWEIR_OPERATOR_KEYS=" + devenv.OperatorKey,
	"QUETZALWEIR_BALANCER_LAG=200ms",
}

// entryHost is an entry host's process.
type entryHost struct {
	*process
	id        string
	ip        string
	callers   string
	operators string
	// toPlatform carries its traffic to the platform, fromPeers that of other
	// entry hosts to it.
	toPlatform *relay
	fromPeers  *relay
}

// system is a whole system of separate processes.
type system struct {
	t        *testing.T
	platform string
	engines  []standin
	services []standin
	hosts    []*entryHost
}

// standin is a stand-in's process.
type standin struct {
	*process
	address string
}

func startStandin(t *testing.T, name string, args ...string) standin {
	t.Helper()
	p := start(t, name, nil, append([]string{"standin"}, args...)...)
	return standin{process: p, address: p.field("listening", "listening ")}
}

// startSystem starts a platform, three engines with the sample's versions, a
// service, and entry hosts in three zones. The sample manifest isn't submitted.
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

// addHost starts an entry host. Its links to the platform and from other hosts
// go through relays, and its peer connections come from an IP of its own, so
// that each pair of parties can be cut.
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
	h.callers = h.field("event=start", "callers=")
	h.operators = h.field("event=start", "operators=")
	s.hosts = append(s.hosts, h)
	return h
}

const loopback = "127.0.0.1"

// freeAddress returns an address on the IP that nothing listens on now.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	address, err := freeport.Address(ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// cutPeers cuts a host from all other entry hosts, both ways.
func (s *system) cutPeers(h *entryHost) {
	h.fromPeers.cutAll()
	for _, other := range s.hosts {
		if other != h {
			other.fromPeers.cutFrom(func(ip string) bool { return ip == h.ip })
		}
	}
}

// healPeers ends all cuts between entry hosts.
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
		req, err := http.NewRequest(http.MethodPost, "http://"+h.operators+entry.PathManifest, bytes.NewReader(data))
		if err != nil {
			return false
		}
		req.Header.Set(entry.HeaderSubmitToken, manifest.Digest(data))
		return s.operator(req, &answer) == nil
	})
	return answer.Head
}

func (s *system) waitReady() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	for _, h := range s.hosts {
		if err := devenv.WaitReady(ctx, h.operators); err != nil {
			s.t.Fatalf("%s isn't ready: %v", h.id, err)
		}
	}
}

// get calls the operators' API of a host.
func (s *system) get(h *entryHost, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.operators+path, nil)
	if err != nil {
		return err
	}
	return s.operator(req, into)
}

func (s *system) operator(req *http.Request, into any) error {
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

// fault sets the faults of a stand-in.
func (s *system) fault(address string, faults any) {
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
		s.t.Fatalf("faults of %s: %s", address, resp.Status)
	}
}

// client is the callers' HTTP client; its bounds are those of a patient caller.
var client = &http.Client{
	Timeout:   stepTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64},
}

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

// get returns a header, or the trailer of a streamed answer.
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

// send sends a call to a host. An error means that no whole answer came.
func (c call) send(h *entryHost) (answer, error) {
	return c.sendContext(context.Background(), h)
}

// sendContext is send for a caller that leaves when ctx ends.
func (c call) sendContext(ctx context.Context, h *entryHost) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{}, err
	}
	// The caller's library must not repeat a call by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+devenv.AccountKey)
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(body)}, err
}
