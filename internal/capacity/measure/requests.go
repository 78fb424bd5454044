package measure

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/logline"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/session"
	"github.com/quetzalweir/quetzalweir/storage"
)

// logCount counts what a host logs.
type logCount struct{ bytes, lines atomic.Int64 }

// Write implements io.Writer; a line is one Write.
func (c *logCount) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	c.lines.Add(1)
	return len(p), nil
}

// hostOf is an entry host with its platform and bare engines, and perhaps a
// second host that holds its bills.
type hostOf struct {
	service *service
	engines *engines
	host    *entry.Host
	log     logCount
	stop    context.CancelFunc
	running errgroup.Group
}

// anyPort takes a free port of loopback.
const anyPort = "127.0.0.1:0"

// startHost runs entry hosts before n upstreams; the first is measured.
func (r *run) startHost(n, hosts int) (*hostOf, error) {
	h := &hostOf{}
	var err error
	if h.service, err = r.startService(); err != nil {
		return nil, err
	}
	if h.engines, err = startEngines(n); err != nil {
		return nil, err
	}
	for i := range n {
		listed := listed(i, 1, 1)
		listed.Address = h.engines.address(i)
		h.service.server.Hosts().Set(listed)
	}
	store := config.NewStore(h.service.server.Table(), h.service.server.Objects())
	if _, err := store.Submit(r.ctx, sampleManifest(), "measure"); err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancel(r.ctx)
	for i := range hosts {
		host, err := h.newHost(i)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			h.host = host
		}
		h.running.Go(func() error { return host.Run(ctx) })
		if err := devenv.WaitReady(r.ctx, host.OperatorAddr()); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// newHost makes a host with a client of the platform that all share.
func (h *hostOf) newHost(i int) (*entry.Host, error) {
	secret := []byte("a secret of thirty-two bytes or so")
	client := h.service.client
	log := zerolog.Nop()
	if i == 0 {
		log = logline.New(&h.log, zerolog.InfoLevel)
	}
	return entry.New(entry.Settings{
		ID: fmt.Sprintf("entry-%03d", i), Zone: fmt.Sprintf("zone-%02d", i),
		Callers: anyPort, Operators: anyPort, Peers: anyPort,
		SessionKeys:  []session.Key{{ID: "2026-12", Secret: secret}},
		PeerKeys:     []peer.Key{{ID: "2026-12", Secret: secret}},
		OperatorKeys: []string{"operator"},
		StopTimeout:  time.Second,
		BalancerLag:  time.Millisecond,
	}, entry.Platform{
		Table: client.Table(), Objects: client.Objects(), Hosts: client.Hosts(), Rater: noRater{},
	}, log)
}

// sampleManifest is that of package devenv without a version that rolls in.
func sampleManifest() []byte {
	body := strings.ReplaceAll(string(devenv.Manifest()), `"rolling-in", "share": 10`, `"rolling-out", "share": 0`)
	body = strings.ReplaceAll(body, `"share": 90`, `"share": 100`)
	return []byte(withoutExposure(body))
}

// withoutExposure drops the exposure of the sample's version that rolls in.
func withoutExposure(body string) string {
	lines := strings.Split(body, "\n")
	lines = slices.DeleteFunc(lines, func(line string) bool { return strings.Contains(line, `"exposure"`) })
	return strings.Join(lines, "\n")
}

// noRater rates nothing: no version rolls in.
type noRater struct{}

var errNoRater = errors.New("no rater")

// Rate implements storage.Rater.
func (noRater) Rate(context.Context, string, string, string, string) (storage.Rating, error) {
	return storage.Rating{}, errNoRater
}

func (h *hostOf) close() error {
	h.stop()
	err := h.running.Wait()
	h.engines.close()
	return errors.Join(err, h.service.close())
}

func (r *run) requests() error {
	h, err := r.startHost(4, 2)
	if err != nil {
		return err
	}
	// The hosts find each other, so that bills are held by the second.
	if err := sleep(r.ctx, 3*time.Second); err != nil {
		return errors.Join(err, h.close())
	}
	steps := []func(*hostOf) error{r.requestCost, r.requestLogs, r.streamMemory, r.scrape}
	for _, step := range steps {
		if err := step(h); err != nil {
			return errors.Join(err, h.close())
		}
	}
	return h.close()
}

// load sends requests over several connections at once, each of which repeats
// them, and returns the processor time of one in microseconds.
func (r *run) load(addr string, callers, repeat int, prompt string) (float64, error) {
	conns := make([]*bareCaller, callers)
	for i := range conns {
		c, err := dialBare(r.ctx, addr)
		if err != nil {
			return 0, err
		}
		defer c.conn.Close()
		conns[i] = c
	}
	errs := make([]error, callers)
	before := processorTime()
	var wait sync.WaitGroup
	for i, c := range conns {
		wait.Go(func() {
			for range repeat {
				if errs[i] = c.request(devenv.AccountKey, prompt); errs[i] != nil {
					return
				}
			}
		})
	}
	wait.Wait()
	spent := processorTime() - before
	return spent.Seconds() * 1e6 / float64(callers*repeat), errors.Join(errs...)
}

// requestCost is the difference of routed and direct requests whose tokens
// come one by one, with time between them.
func (r *run) requestCost(h *hostOf) error {
	h.engines.pause = time.Millisecond
	defer func() { h.engines.pause = 0 }()
	const callers = 32
	var points []capacity.Point
	var wireBytes float64
	for _, tokens := range []int{1, 32, 128, 300} {
		prompt := fmt.Sprintf("%s%d a question of usual length", tokensWord, tokens)
		repeat := r.times(max(3, 200/tokens))
		var costs []float64
		for range 3 {
			direct, err := r.load(h.engines.address(0), callers, repeat, prompt)
			if err != nil {
				return err
			}
			before := h.engines.wire.settled()
			routed, err := r.load(h.host.CallerAddr(), callers, repeat, prompt)
			if err != nil {
				return err
			}
			wireBytes = (h.engines.wire.settled() - before) / float64(callers*repeat*tokens)
			costs = append(costs, routed-direct)
		}
		slices.Sort(costs)
		points = append(points, capacity.Point{X: float64(tokens), Y: costs[1]})
	}
	r.line(capacity.RequestCPU, unitCPU, "tokens", "a routed request less a direct one, with its log lines, its bill and the second host that holds it, and the load reports of the time; 32 at once, a token each millisecond", points...)
	r.constant(capacity.FrameBytes, unitBytes, "of a token between engine and host, at 300 tokens, with the request's share", wireBytes)
	return nil
}

func (r *run) requestLogs(h *hostOf) error {
	bytes, lines := h.log.bytes.Load(), h.log.lines.Load()
	const callers = 4
	repeat := r.times(100)
	if _, err := r.load(h.host.CallerAddr(), callers, repeat, "tokens=1 a question"); err != nil {
		return err
	}
	n := float64(callers * repeat)
	r.constant(capacity.LogBytes, unitBytes, "the log lines of a request", float64(h.log.bytes.Load()-bytes)/n)
	r.constant(capacity.LogLines, "lines", "the same", float64(h.log.lines.Load()-lines)/n)
	return nil
}

// streamMemory compares answers under way through the host with direct ones.
func (r *run) streamMemory(h *hostOf) error {
	const n = 200
	direct, err := r.held(h, h.engines.address(0), n)
	if err != nil {
		return err
	}
	routed, err := r.held(h, h.host.CallerAddr(), n)
	if err != nil {
		return err
	}
	r.constant(capacity.StreamMemory, unitBytes, "heap and stacks of an answer under way, less those of the caller and the engine", (routed-direct)/n)
	return nil
}

// held returns the memory of n requests whose answers have not begun.
func (r *run) held(h *hostOf, addr string, n int) (float64, error) {
	before := heapAndStacks()
	conns := make([]*bareCaller, n)
	for i := range conns {
		c, err := dialBare(r.ctx, addr)
		if err != nil {
			return 0, err
		}
		defer c.conn.Close()
		if err := c.send(devenv.AccountKey, "hold tokens=1 a question"); err != nil {
			return 0, err
		}
		conns[i] = c
	}
	if err := sleep(r.ctx, 500*time.Millisecond); err != nil {
		return 0, err
	}
	kept := heapAndStacks() - before
	for range n {
		h.engines.hold <- struct{}{}
	}
	for _, c := range conns {
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	return kept, nil
}

func (r *run) scrape(h *hostOf) error {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+h.host.OperatorAddr()+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var buf [4096]byte
	size := 0
	for {
		n, err := resp.Body.Read(buf[:])
		size += n
		if err != nil {
			break
		}
	}
	r.constant(capacity.ScrapeBytes, unitBytes, "a reading of the metrics after requests of one class", float64(size))
	return nil
}

// idleHost is a whole host without requests, as a check of the sum of its
// parts.
func (r *run) idleHost() error {
	var cpu, memory []capacity.Point
	for _, n := range []int{21, 100, 400} {
		if err := sleep(r.ctx, time.Second); err != nil {
			return err
		}
		before := heapAndStacks()
		h, err := r.startHost(n, 1)
		if err != nil {
			return err
		}
		settle, watch := 3*time.Second, 6*time.Second
		if r.quick {
			settle, watch = 100*time.Millisecond, 500*time.Millisecond
		}
		if err := sleep(r.ctx, settle); err != nil {
			return err
		}
		used := processorTime()
		if err := sleep(r.ctx, watch); err != nil {
			return err
		}
		spent := (processorTime() - used).Seconds() * 1e6 / watch.Seconds()
		cpu = append(cpu, capacity.Point{X: float64(n), Y: spent})
		memory = append(memory, capacity.Point{X: float64(n), Y: heapAndStacks() - before})
		if err := h.close(); err != nil {
			return err
		}
	}
	r.line(capacity.IdleCPU, unitCPU+"/s", "upstreams", "a whole host alone, without requests, with its platform and bare upstreams in the same process", cpu...)
	r.line(capacity.IdleMemory, unitBytes, "upstreams", "the same: heap and stacks", memory...)
	return nil
}
