// Package devenv runs the whole system in one process, with stand-ins for the
// external systems and a sample manifest. It is meant for development and tests.
package devenv

import (
	"context"
	"crypto/sha256"
	_ "embed" // for the sample manifest
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/session"
	"github.com/quetzalweir/quetzalweir/storage"
)

// The keys of the sample manifest. They are in the repository and not secret.
const (
	// AccountKey is the API key of the sample account "dev".
	AccountKey = "dev-account-key"
	// OperatorKey is the API key for the operators' API.
	OperatorKey = "dev-operator-key"
	sampleKeyID = "dev"
)

//go:embed sample.json
var sample string

// keyDigestPlaceholder is replaced in the sample by the digest of AccountKey.
const keyDigestPlaceholder = "DEV_KEY_SHA256"

// Manifest returns the sample manifest.
func Manifest() []byte {
	sum := sha256.Sum256([]byte(AccountKey))
	return []byte(strings.ReplaceAll(sample, keyDigestPlaceholder, hex.EncodeToString(sum[:])))
}

// Options are the settings of New.
type Options struct {
	// Hosts is the number of entry hosts. Default 1.
	Hosts int
	// Callers and Operators are the addresses of the first entry host; the
	// others take free ports. Default: free ports.
	Callers   string
	Operators string
	// Engine has the options of every engine; New sets the id, name, zone and
	// versions of each.
	Engine engine.Options
	// Log is the hosts' logger.
	Log zerolog.Logger
	// Topology lists the upstreams and has the manifest that declares them; nil
	// means the sample.
	Topology *Topology
	// Rater wraps the platform's rater; nil leaves the rater unchanged.
	Rater func(storage.Rater) storage.Rater
	// Settings changes the settings of each entry host; nil changes none.
	Settings func(*entry.Settings)
}

// Env is a system of entry hosts, upstreams and a platform.
type Env struct {
	Platform *platformd.Server
	Engines  []*engine.Engine
	// Service is the first of Services.
	Service  *service.Service
	Services []*service.Service
	Hosts    []*entry.Host

	manifest []byte
	rater    storage.Rater
}

// anyPort has the kernel choose a free port on loopback.
const anyPort = "127.0.0.1:0"

// zones are the availability zones of the sample.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// New creates the parts of a system without starting them; Run starts them.
func New(options Options) (*Env, error) {
	topology := options.Topology
	if topology == nil {
		topology = sampleTopology()
	}
	env := &Env{Platform: platformd.New(topology.Platform), manifest: topology.Manifest}
	env.rater = env.Platform.Rater()
	if options.Rater != nil {
		env.rater = options.Rater(env.rater)
	}
	if err := env.addUpstreams(options.Engine, topology); err != nil {
		return nil, err
	}
	for i := range max(1, options.Hosts) {
		if err := env.addHost(options, i); err != nil {
			return nil, err
		}
	}
	return env, nil
}

func (e *Env) addHost(options Options, i int) error {
	secret := sha256.Sum256([]byte(sampleKeyID))
	settings := entry.Settings{
		ID:           fmt.Sprintf("entry-%d", i+1),
		Zone:         zones[i%len(zones)],
		Callers:      anyPort,
		Operators:    anyPort,
		Peers:        anyPort,
		SessionKeys:  []session.Key{{ID: sampleKeyID, Secret: secret[:]}},
		PeerKeys:     []peer.Key{{ID: sampleKeyID, Secret: secret[:]}},
		OperatorKeys: []string{OperatorKey},
	}
	if i == 0 && options.Callers != "" {
		settings.Callers = options.Callers
		settings.Operators = options.Operators
	}
	if options.Settings != nil {
		options.Settings(&settings)
	}
	host, err := entry.New(settings, entry.Platform{
		Table:   e.Platform.Table(),
		Objects: e.Platform.Objects(),
		Hosts:   e.Platform.Hosts(),
		Rater:   e.rater,
	}, options.Log.With().Str("host", settings.ID).Logger())
	if err != nil {
		return err
	}
	e.Hosts = append(e.Hosts, host)
	return nil
}

// submitToken identifies the submission of the manifest by Run.
const submitToken = "sample"

// Run submits the manifest and serves until ctx ends.
func (e *Env) Run(ctx context.Context) error {
	store := config.NewStore(e.Platform.Table(), e.Platform.Objects())
	if _, err := store.Submit(ctx, e.manifest, submitToken); err != nil {
		return fmt.Errorf("submit the manifest: %w", err)
	}
	// Upstreams are stopped after the hosts, which need them to finish their
	// requests during a planned stop.
	upstreams, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var parts errgroup.Group
	for _, eng := range e.Engines {
		parts.Go(func() error { return eng.Run(upstreams) })
	}
	for _, s := range e.Services {
		parts.Go(func() error { return s.Run(upstreams) })
	}
	hosts, ctx := errgroup.WithContext(ctx)
	for _, h := range e.Hosts {
		hosts.Go(func() error { return h.Run(ctx) })
	}
	err := hosts.Wait()
	stop()
	return errors.Join(err, parts.Wait())
}

// readyPollInterval is the time between two readiness checks.
const readyPollInterval = 50 * time.Millisecond

// WaitReady waits until all entry hosts are ready.
func (e *Env) WaitReady(ctx context.Context) error {
	for _, h := range e.Hosts {
		if err := WaitReady(ctx, h.OperatorAddr()); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the entry host whose operators' API has the address is
// ready.
func WaitReady(ctx context.Context, operator string) error {
	for {
		if isReady(ctx, operator) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}

func isReady(ctx context.Context, operator string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+entry.PathReady, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
