package e2e

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/experiment/path"
)

// The flags of the measurements, which print figures and check only that all
// answers are complete: go test ./internal/e2e -run TestMeasure -measure -v
var (
	measure     = flag.Bool("measure", false, "run the measurements")
	measureRuns = flag.Int("measure-runs", 5, "runs of each measurement")
	measureLog  = flag.String("measure-log", "info", "log level of the entry hosts")
	// measureAgainst is another build of the binary to compare with. Its runs
	// alternate with those of this build, so that both have the same load on the
	// machine.
	measureAgainst = flag.String("measure-against", "", "another binary to compare with")
	// measureAgainstLog is another log level to compare with.
	measureAgainstLog = flag.String("measure-against-log", "", "log level of the entry hosts to compare with")
	measurePeriod     = flag.Duration("measure-period", 0, "duration of each load level; 0 means the default")
	measureStreams    = flag.Int("measure-streams", 1000, "number of concurrent streams; 0 skips the measurement")
	// measureProcs is GOMAXPROCS of the entry hosts; empty leaves the default.
	measureProcs = flag.String("measure-procs", "", "GOMAXPROCS of the entry hosts")
)

func requireMeasureFlag(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("needs -measure")
	}
}

// startMeasured starts a platform, one engine and entry hosts. They are connected
// without the relays of the other tests, whose cost would be measured, too.
func startMeasured(t *testing.T, hosts int) (s *system, measured []path.Host) {
	t.Helper()
	s = &system{t: t}
	s.platform = startStandin(t, "platform", "platform", "--listen=127.0.0.1:0").address
	s.engines = append(s.engines, startStandin(t, "engine-1", "engine", "--platform=http://"+s.platform, "--id=engine-1",
		"--zone=zone-a", "--versions=large@v1,small@v1", "--capacity=4096"))
	for i := range hosts {
		h := s.addMeasured(i)
		measured = append(measured, path.Host{CallerAddr: h.callerAddr, OperatorAddr: h.operatorAddr})
	}
	s.submit(devenv.Manifest())
	return s, measured
}

func (s *system) addMeasured(i int) *entryHost {
	s.t.Helper()
	id := fmt.Sprintf("entry-%d", i+1)
	h := &entryHost{id: id, callerAddr: freeAddress(s.t, loopback), operatorAddr: freeAddress(s.t, loopback)}
	env := entryEnv
	if *measureProcs != "" {
		env = append([]string{"GOMAXPROCS=" + *measureProcs}, entryEnv...)
	}
	h.process = start(s.t, id, env, "serve", "--id="+id, "--zone="+zone(i), "--platform=http://"+s.platform,
		"--callers="+h.callerAddr, "--operators="+h.operatorAddr, "--peers="+freeAddress(s.t, loopback),
		"--capacity=4096", "--log-level="+*measureLog)
	s.hosts = append(s.hosts, h)
	return h
}

// loadAverage returns the machine's load averages as the kernel reports them.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}

// measuredBuild is a system that runs one build of the binary, and its results.
type measuredBuild struct {
	name    string
	engine  string
	hosts   []path.Host
	summary path.Summary
}

// startBuilds starts a system for this build, and a second one if another build
// or log level to compare with is set.
func startBuilds(t *testing.T) []*measuredBuild {
	t.Helper()
	builds := []*measuredBuild{startBuild(t, binary, *measureLog)}
	if *measureAgainst != "" || *measureAgainstLog != "" {
		builds = append(builds, startBuild(t, cmp.Or(*measureAgainst, binary), cmp.Or(*measureAgainstLog, *measureLog)))
	}
	return builds
}

func startBuild(t *testing.T, file, logLevel string) *measuredBuild {
	t.Helper()
	defer func(b, l string) { binary, *measureLog = b, l }(binary, *measureLog)
	binary, *measureLog = file, logLevel
	s, hosts := startMeasured(t, 3)
	return &measuredBuild{name: file + " at " + logLevel, engine: s.engines[0].address, hosts: hosts}
}

func TestMeasurePath(t *testing.T) {
	requireMeasureFlag(t)
	builds := startBuilds(t)
	for i := range *measureRuns {
		for _, b := range builds {
			t.Logf("run %d, load average %s", i+1, loadAverage())
			figures, err := path.Run(context.Background(), b.options(uint64(i+1)))
			if err != nil {
				t.Fatal(err)
			}
			b.summary.Add(figures)
		}
	}
	for _, b := range builds {
		t.Log(b.name)
		logSummary(t, &b.summary)
	}
}

func (b *measuredBuild) options(seed uint64) path.Options {
	return path.Options{
		Entry:      b.hosts[0],
		Others:     b.hosts[1:],
		EngineAddr: b.engine,
		AccountKey: devenv.AccountKey,
		Model:      "large",
		Version:    "large@v1",
		CoreLoads:  []float64{0.1, 0.5, 0.9},
		Period:     *measurePeriod,
		Seed:       seed,
		Streams:    *measureStreams,
		Tokens:     1000,
	}
}

func logSummary(t *testing.T, summary *path.Summary) {
	t.Helper()
	var out strings.Builder
	summary.Print(&out)
	t.Logf("load average at the end %s\n%s", loadAverage(), out.String())
}

// idlePeriod is how long idle hosts are measured.
const idlePeriod = 10 * time.Second

func TestMeasureIdle(t *testing.T) {
	requireMeasureFlag(t)
	_, hosts := startMeasured(t, 7)
	var summary path.Summary
	t.Logf("load average %s", loadAverage())
	for range *measureRuns {
		before := usages(t, hosts)
		time.Sleep(idlePeriod)
		for i, after := range usages(t, hosts) {
			summary.Add([]path.Figure{
				{Name: "an idle host: processor, % of a core", Value: 100 * (after.CPUSeconds - before[i].CPUSeconds) / idlePeriod.Seconds()},
				{Name: "an idle host: resident memory, MB", Value: after.ResidentBytes / 1e6},
			})
		}
	}
	logSummary(t, &summary)
}

func usages(t *testing.T, hosts []path.Host) []path.Usage {
	t.Helper()
	list := make([]path.Usage, len(hosts))
	for i, h := range hosts {
		u, err := path.ReadUsage(context.Background(), http.DefaultClient, h)
		if err != nil {
			t.Fatal(err)
		}
		list[i] = u
	}
	return list
}

func TestMeasureStart(t *testing.T) {
	requireMeasureFlag(t)
	s, _ := startMeasured(t, 2)
	var summary path.Summary
	for i := range *measureRuns {
		began := time.Now()
		if out, err := exec.Command(binary, "version").CombinedOutput(); err != nil {
			t.Fatalf("version: %v\n%s", err, out)
		}
		command := time.Since(began)
		began = time.Now()
		h := s.addMeasured(2 + i)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		err := devenv.WaitReady(ctx, h.operatorAddr)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		summary.Add([]path.Figure{
			{Name: "the command version, from start to end, ms", Value: float64(command.Microseconds()) / 1e3},
			{Name: "an entry host, from start to ready (asked every 50 ms), ms", Value: float64(time.Since(began).Microseconds()) / 1e3},
		})
		h.kill()
	}
	logSummary(t, &summary)
}
