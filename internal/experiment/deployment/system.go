package deployment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	startTimeout = 30 * time.Second
	// callerConns bounds the idle connections to each host.
	callerConns = 512
)

// system is a running deployment.
type system struct {
	env    *devenv.Env
	policy policy
	client *http.Client
	stop   context.CancelFunc
	ended  chan error

	mu sync.Mutex
	// killed are the engines that are no more.
	killed map[*engine.Engine]bool
}

// newSystem starts a deployment and waits until its hosts are ready.
func newSystem(ctx context.Context, p policy, roll *rollIn, seed int) (*system, error) {
	top, err := topology(roll)
	if err != nil {
		return nil, err
	}
	env, err := devenv.New(devenv.Options{
		Hosts:    entryHosts,
		Engine:   engineOptions(seed),
		Topology: top,
		Rater:    func(r storage.Rater) storage.Rater { return markedRater{r} },
		Log:      zerolog.Nop(),
		Settings: p.settings,
	})
	if err != nil {
		return nil, err
	}
	s := &system{
		env:    env,
		policy: p,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerConns}},
		ended:  make(chan error, 1),
		killed: map[*engine.Engine]bool{},
	}
	ctx, s.stop = context.WithCancel(ctx)
	go func() { s.ended <- env.Run(ctx) }()
	if err := s.waitReady(ctx); err != nil {
		return nil, errors.Join(err, s.close())
	}
	// Only now, since the list lags for those that were there at the start too.
	env.Platform.Hosts().SetLag(hostListLag)
	return s, nil
}

func (s *system) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.env.WaitReady(ctx); err != nil {
		return fmt.Errorf("the hosts aren't ready: %w", err)
	}
	return nil
}

// close stops the hosts as planned, which writes their bills.
func (s *system) close() error {
	s.stop()
	err := <-s.ended
	s.client.CloseIdleConnections()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// host stands in for the balancer: it takes any host. None stops in a cell.
func (s *system) host(draw int) *entry.Host {
	return s.env.Hosts[draw%len(s.env.Hosts)]
}

// killThird ends every third engine at once. The platform's list says so only
// after its lag.
func (s *system) killThird() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(s.env.Engines); i += 3 {
		e := s.env.Engines[i]
		s.killed[e] = true
		s.env.Platform.Hosts().Remove(e.Host().ID)
		e.Kill()
	}
}

// idle counts the places that are free on engines of the model.
func (s *system) idle(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.env.Engines {
		load := e.Load()
		has := slices.ContainsFunc(load.Versions, func(v string) bool { return strings.HasPrefix(v, model+"@") })
		if has && !s.killed[e] {
			n += max(0, load.Capacity-load.Running)
		}
	}
	return n
}

// markedRater rates by the answer alone, whose noise a caller can then compute
// too: the hosts' form of a prompt isn't the caller's. It gives answers that bear the mark of a bad version a low rating.
type markedRater struct {
	inner storage.Rater
}

// badRating is what such an answer loses.
const badRating = 0.35

// Rate implements storage.Rater.
func (r markedRater) Rate(ctx context.Context, model, version, _, answer string) (storage.Rating, error) {
	rating, err := r.inner.Rate(ctx, model, version, "", answer)
	if strings.HasPrefix(answer, engine.BadMark) {
		rating.Score = max(0, rating.Score-badRating)
	}
	return rating, err
}

// refusedCodes are the result codes of a refusal by which load is turned away.
func refusedCode(code resultcode.Code) bool {
	switch code {
	case resultcode.QueueFull, resultcode.DeadlineUnmeetable, resultcode.NoUpstream, resultcode.ExposureSpent:
		return true
	default:
		return false
	}
}
