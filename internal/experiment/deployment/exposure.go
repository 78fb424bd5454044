package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/rollout"
)

// The roll-out that turns bad.
const (
	exposureShare   = 50
	exposureBudget  = 2000
	exposureMaxErr  = 0.05
	exposureRating  = 0.55
	exposureLatency = 250 // ms, the limit of the first token's 95th percentile
	// exposureRate is in requests a second, all to the small model.
	exposureRate = 90
	// goodTime is how long the version is good.
	goodTime = 2 * time.Second
	// stopPoll is the time between looks for the stop on all hosts.
	stopPoll = 50 * time.Millisecond
)

// fault is how the version turns bad.
type fault struct {
	name    string
	version engine.VersionFault
}

var (
	tenPercent = fault{"10% errors", engine.VersionFault{ErrorRate: 0.1}}
	slow       = fault{"six times slower", engine.VersionFault{Slow: 6}}
	poor       = fault{"poorly rated", engine.VersionFault{Bad: true}}
)

// condition is what is wrong beside the version.
type condition struct {
	name string
	// settings changes the hosts' settings from the start; nil changes none.
	settings func(*entry.Settings)
	// begins is called when the version turns bad; nil does nothing.
	begins func(*devenv.Env)
	// unwatched rolls the version in by its share alone, without evidence.
	unwatched bool
}

// nowhere is an address that nothing listens on.
const nowhere = "127.0.0.1:1"

// raterDelay is how late a slow rater's word comes.
const raterDelay = 2 * time.Second

var (
	connected = condition{name: "7 hosts"}
	peersCut  = condition{name: "7 hosts, none reaches another", settings: func(s *entry.Settings) { s.AdvertisePeers = nowhere }}
	tableDown = condition{name: "7 hosts, table down", begins: func(e *devenv.Env) { e.Platform.Table().SetDown(true) }}
	raterSlow = condition{name: "7 hosts, ratings 2 s late", begins: func(e *devenv.Env) { e.Platform.Rater().SetDelay(raterDelay) }}
	byShare   = condition{name: "share only, no evidence", unwatched: true}
)

// exposureCell is one row of the table.
type exposureCell struct {
	fault     fault
	condition condition
}

var exposureCells = []exposureCell{
	{tenPercent, byShare}, {tenPercent, connected}, {tenPercent, peersCut}, {tenPercent, tableDown},
	{slow, byShare}, {slow, connected}, {slow, tableDown},
	{poor, byShare}, {poor, connected}, {poor, peersCut}, {poor, tableDown}, {poor, raterSlow},
}

// exposed is what came of a version that turned bad.
type exposed struct {
	// before are runs of the version while it was good, after those since.
	before, after float64
	// stoppedAfter is when all hosts had stopped it, stopped whether they had.
	stoppedAfter time.Duration
	stopped      bool
	// hosts is how many had stopped it at the end.
	hosts int
	all   counts
}

func (c exposureCell) run(ctx context.Context, o Options, seed int) (exposed, error) {
	roll := &rollIn{share: exposureShare}
	if !c.condition.unwatched {
		roll.exposure = &manifest.Exposure{
			Round: 1, Answers: exposureBudget, MaxErrorRate: exposureMaxErr, MinRating: exposureRating, MaxLatencyMs: exposureLatency,
		}
	}
	p := policy{name: c.condition.name, settings: c.condition.settings}
	s, err := newSystem(ctx, p, roll, seed)
	if err != nil {
		return exposed{}, err
	}
	result := s.exposeTo(ctx, o, c, seed)
	s.env.Platform.Table().Heal() // the planned stop writes bills
	return result, s.close()
}

// exposeTo turns the version bad in the middle of a load and watches for its
// stop.
func (s *system) exposeTo(ctx context.Context, o Options, c exposureCell, seed int) exposed {
	loaded := make(chan *tally, 1)
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		loaded <- s.load(loadCtx, cell{label: "exposure", rate: exposureRate, time: goodTime + o.Horizon, mix: only(modelSmall), seed: seed})
	}()
	time.Sleep(goodTime)
	result := exposed{before: float64(s.runsOfNew())}
	s.turnBad(c)
	result.stoppedAfter, result.stopped = s.watchStop(ctx, o.Horizon)
	cancel()
	t := <-loaded
	result.hosts = s.hostsStopped(ctx)
	result.after = float64(s.runsOfNew()) - result.before
	result.all = t.all
	return result
}

func (s *system) turnBad(c exposureCell) {
	faults := engine.Faults{Versions: map[string]engine.VersionFault{modelSmall + "@" + versionNew: c.fault.version}}
	for _, e := range s.env.Engines {
		e.SetFaults(faults)
	}
	if c.condition.begins != nil {
		c.condition.begins(s.env)
	}
}

// watchStop waits until all hosts have stopped the version, or for the horizon.
func (s *system) watchStop(ctx context.Context, horizon time.Duration) (time.Duration, bool) {
	started := time.Now()
	for time.Since(started) < horizon {
		if s.hostsStopped(ctx) == len(s.env.Hosts) {
			return time.Since(started), true
		}
		time.Sleep(stopPoll)
	}
	return horizon, false
}

// hostsStopped counts the hosts that have stopped the version.
func (s *system) hostsStopped(ctx context.Context) int {
	n := 0
	for _, h := range s.env.Hosts {
		stops, err := s.stops(ctx, h)
		if err == nil && len(stops) > 0 {
			n++
		}
	}
	return n
}

func (s *system) stops(ctx context.Context, h *entry.Host) (stops []rollout.Stop, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.OperatorAddr()+entry.PathStops, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+devenv.OperatorKey)
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New(resp.Status)
	}
	return stops, json.NewDecoder(resp.Body).Decode(&stops)
}

// runsOfNew counts the runs of the version that rolls in, as the engines saw
// them.
func (s *system) runsOfNew() int {
	n := 0
	for _, e := range s.env.Engines {
		for _, a := range e.Arrivals().Arrivals {
			if a.Model == modelSmall+"@"+versionNew {
				n += a.Began
			}
		}
	}
	return n
}
