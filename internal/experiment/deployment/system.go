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
	// callerConns is the maximum number of idle connections to each host.
	callerConns = 512
)

// system is a running deployment.
type system struct {
	env    *devenv.Env
	policy policy
	client *http.Client
	stop   context.CancelFunc
	done   chan error

	mu sync.Mutex
	// killed holds the engines that killThird has killed.
	killed map[*engine.Engine]bool
}

// newSystem starts a deployment and waits until its hosts are ready.
func newSystem(ctx context.Context, p policy, roll *rollIn, seed int) (*system, error) {
	top, err := topology(roll)
	if err != nil {
		return nil, err
	}
	env, err := devenv.New(devenv.Options{
		Hosts:    entryHostCount,
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
		done:   make(chan error, 1),
		killed: map[*engine.Engine]bool{},
	}
	ctx, s.stop = context.WithCancel(ctx)
	go func() { s.done <- env.Run(ctx) }()
	if err := s.waitReady(ctx); err != nil {
		return nil, errors.Join(err, s.close())
	}
	// The lag is set after the start, since it also delays the engines that are
	// in the list from the beginning.
	env.Platform.Hosts().SetLag(hostListDelay)
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

// close shuts the hosts down gracefully, which writes their bills.
func (s *system) close() error {
	s.stop()
	err := <-s.done
	s.client.CloseIdleConnections()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// host returns the host for a drawn number, in place of an external load
// balancer. No host stops during a cell, so every host can be chosen.
func (s *system) host(draw int) *entry.Host {
	return s.env.Hosts[draw%len(s.env.Hosts)]
}

// killThird kills every third engine without a shutdown. The platform's host
// list shows it only after its lag.
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

// freeSlots returns the number of free slots on engines of the model.
func (s *system) freeSlots(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.env.Engines {
		load := e.Load()
		serves := slices.ContainsFunc(load.Versions, func(v string) bool { return strings.HasPrefix(v, model+"@") })
		if serves && !s.killed[e] {
			n += max(0, load.Capacity-load.Running)
		}
	}
	return n
}

// markedRater rates an answer without its prompt. Hosts and callers have
// different forms of the same prompt; without it, a caller computes the same
// rating, noise included. Answers with the mark of a bad version get a lower
// rating.
type markedRater struct {
	inner storage.Rater
}

// badAnswerPenalty is subtracted from the rating of an answer with the mark.
const badAnswerPenalty = 0.35

// Rate implements storage.Rater.
func (r markedRater) Rate(ctx context.Context, model, version, _, answer string) (storage.Rating, error) {
	rating, err := r.inner.Rate(ctx, model, version, "", answer)
	if strings.HasPrefix(answer, engine.BadAnswerPrefix) {
		rating.Score = max(0, rating.Score-badAnswerPenalty)
	}
	return rating, err
}

// isLoadRefusal reports whether code is that of a refusal because of load.
func isLoadRefusal(code resultcode.Code) bool {
	switch code {
	case resultcode.QueueFull, resultcode.DeadlineUnmeetable, resultcode.NoUpstream, resultcode.ExposureSpent:
		return true
	default:
		return false
	}
}
