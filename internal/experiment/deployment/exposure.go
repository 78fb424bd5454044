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

// Parameters of the roll-out of a version that turns bad.
const (
	exposureShare   = 50
	exposureBudget  = 2000
	exposureMaxErr  = 0.05
	exposureRating  = 0.55
	exposureLatency = 250 // ms, limit of the 95th percentile of the time to the first token
	// exposureRate is the load in requests a second, all to the small model.
	exposureRate = 90
	// goodDuration is how long the version is good before it turns bad.
	goodDuration = 2 * time.Second
	// stopPoll is the interval at which hosts are asked for their stops.
	stopPoll = 50 * time.Millisecond
)

// fault is the fault of the version after it turned bad.
type fault struct {
	name    string
	version engine.VersionFault
}

var (
	tenPercent = fault{"10% errors", engine.VersionFault{ErrorRate: 0.1}}
	slow       = fault{"six times slower", engine.VersionFault{Slow: 6}}
	poorRating = fault{"poorly rated", engine.VersionFault{Bad: true}}
)

// condition is a further failure beside that of the version.
type condition struct {
	name string
	// settings changes the hosts' settings before the start; nil changes none.
	settings func(*entry.Settings)
	// onFault is called when the version turns bad; nil does nothing.
	onFault func(*devenv.Env)
	// withoutExposure rolls the version in by its share alone, without an
	// exposure budget and evidence.
	withoutExposure bool
}

// unreachableAddr is an address that nothing listens on.
const unreachableAddr = "127.0.0.1:1"

// raterDelay is the delay of ratings under raterSlow.
const raterDelay = 2 * time.Second

var (
	connected = condition{name: "7 hosts"}
	peersCut  = condition{name: "7 hosts, none reaches another", settings: func(s *entry.Settings) { s.AdvertisePeers = unreachableAddr }}
	tableDown = condition{name: "7 hosts, table down", onFault: func(e *devenv.Env) { e.Platform.Table().SetDown(true) }}
	raterSlow = condition{name: "7 hosts, ratings 2 s late", onFault: func(e *devenv.Env) { e.Platform.Rater().SetDelay(raterDelay) }}
	shareOnly = condition{name: "share only, no evidence", withoutExposure: true}
)

// exposureCell holds the parameters of one table row.
type exposureCell struct {
	fault     fault
	condition condition
}

var exposureCells = []exposureCell{
	{tenPercent, shareOnly}, {tenPercent, connected}, {tenPercent, peersCut}, {tenPercent, tableDown},
	{slow, shareOnly}, {slow, connected}, {slow, tableDown},
	{poorRating, shareOnly}, {poorRating, connected}, {poorRating, peersCut}, {poorRating, tableDown}, {poorRating, raterSlow},
}

// exposureResult holds the results of one run with a version that turned bad.
type exposureResult struct {
	// before is the number of runs of the version while it was good, after is
	// the number of its runs since it turned bad.
	before, after float64
	// stopped is true if all hosts stopped the version within the horizon.
	// stoppedAfter is the time until all had stopped it, or the horizon if
	// stopped is false.
	stoppedAfter time.Duration
	stopped      bool
	// stoppedHostCount is the number of hosts that had stopped the version at the
	// end of the run.
	stoppedHostCount int
	outcomes         outcomeCounts
}

func (c exposureCell) run(ctx context.Context, o Options, seed int) (exposureResult, error) {
	roll := &rollIn{share: exposureShare}
	if !c.condition.withoutExposure {
		roll.exposure = &manifest.Exposure{
			Round: 1, Answers: exposureBudget, MaxErrorRate: exposureMaxErr, MinRating: exposureRating, MaxLatencyMs: exposureLatency,
		}
	}
	p := policy{name: c.condition.name, settings: c.condition.settings}
	s, err := newSystem(ctx, p, roll, seed)
	if err != nil {
		return exposureResult{}, err
	}
	result := s.runExposure(ctx, o, c, seed)
	s.env.Platform.Table().ClearFaults() // close writes the last bills to the table
	return result, s.close()
}

// runExposure runs a load, turns the version bad after goodDuration and waits until
// all hosts have stopped it.
func (s *system) runExposure(ctx context.Context, o Options, c exposureCell, seed int) exposureResult {
	loaded := make(chan *cellStats, 1)
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		loaded <- s.runCell(loadCtx, cell{label: "exposure", rate: exposureRate, duration: goodDuration + o.Horizon, mix: onlyRoute(modelSmall), seed: seed})
	}()
	time.Sleep(goodDuration)
	result := exposureResult{before: float64(s.newVersionRuns())}
	s.injectFault(c)
	result.stoppedAfter, result.stopped = s.waitStopped(ctx, o.Horizon)
	cancel()
	stats := <-loaded
	result.stoppedHostCount = s.countStopped(ctx)
	result.after = float64(s.newVersionRuns()) - result.before
	result.outcomes = stats.all
	return result
}

func (s *system) injectFault(c exposureCell) {
	faults := engine.Faults{Versions: map[string]engine.VersionFault{modelSmall + "@" + versionNew: c.fault.version}}
	for _, e := range s.env.Engines {
		e.SetFaults(faults)
	}
	if c.condition.onFault != nil {
		c.condition.onFault(s.env)
	}
}

// waitStopped waits until all hosts have stopped the version, at most for the
// horizon.
func (s *system) waitStopped(ctx context.Context, horizon time.Duration) (time.Duration, bool) {
	started := time.Now()
	for time.Since(started) < horizon {
		if s.countStopped(ctx) == len(s.env.Hosts) {
			return time.Since(started), true
		}
		time.Sleep(stopPoll)
	}
	return horizon, false
}

// countStopped returns the number of hosts that have stopped the version.
func (s *system) countStopped(ctx context.Context) int {
	n := 0
	for _, h := range s.env.Hosts {
		stops, err := s.fetchStops(ctx, h)
		if err == nil && len(stops) > 0 {
			n++
		}
	}
	return n
}

func (s *system) fetchStops(ctx context.Context, h *entry.Host) (stops []rollout.Stop, err error) {
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

// newVersionRuns returns the number of runs of the new version, as counted by
// the engines.
func (s *system) newVersionRuns() int {
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
