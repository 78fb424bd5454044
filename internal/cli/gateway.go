package cli

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/gateway"
	"github.com/quetzalweir/quetzalweir/internal/logline"
	"github.com/quetzalweir/quetzalweir/platform"
)

type gatewayCmd struct {
	Settings         string `help:"The platform's settings file (YAML)."`
	MetricsPort      int    `help:"Port of the metrics, on the host's own address; 0 for none." default:"9464"`
	FirstModel       int    `help:"Step at which a request with a choice of models starts, 0 for the cheapest." default:"0"`
	AcceptConfidence int    `help:"Confidence, 0 to 100, from which a cheaper model's answer is passed on." default:"50"`
	UpstreamSource   net.IP `help:"Source address of connections to upstreams; empty lets the system choose."`
	LogLevel         string `help:"Least level of log lines." enum:"debug,info,warn,error" default:"info"`
	EngineState      string `help:"Place prompts by the speed, batch slots and memory of each engine." enum:"auto,on,off" default:"auto"`
	HoldRequests     string `help:"Hold requests until an engine can begin them in time, and refuse those that can't be served." enum:"auto,on,off" default:"auto"`
	AccountShares    string `help:"Divide the engines' time among the client accounts." enum:"auto,on,off" default:"auto"`
	ReturnSchedule   string `help:"Give refused callers times at which there is capacity for them." enum:"auto,on,off" default:"auto"`
	CacheFetch       string `help:"Let engines fetch cached parts of prompts from each other." enum:"auto,on,off" default:"auto"`
	StreamMoves      string `help:"Move streams that can't end in time to other engines." enum:"auto,on,off" default:"off"`
}

// memoryLimitPercent is the soft memory limit, at which the garbage collector
// works harder, as a percentage of the memory that the process may use. The rest
// is for stacks and kernel buffers.
const memoryLimitPercent = 70

// Run implements the command.
func (c *gatewayCmd) Run(ctx context.Context) error {
	if c.Settings == "" {
		return errors.New("--settings is required")
	}
	fileSettings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if fileSettings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(fileSettings.MemoryMB) << 20 / 100 * memoryLimitPercent)
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	out := logline.NewBoundedWriter(os.Stdout)
	defer out.Close()
	log := logline.New(out, level).With().Str("host", fileSettings.Host).Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(logline.NewLibraryWriter(log))
	stopReloads := c.logReloads(fileSettings, log)
	defer stopReloads()
	return gateway.New(c.settings(fileSettings), log).Run(ctx)
}

// logReloads handles SIGHUP, which signals that the settings file changed and would
// otherwise end the process. Listening addresses and the settings that counters depend
// on can't change while connections are open, so a change is only logged and applies
// from the next start. The returned function ends the handling.
func (c *gatewayCmd) logReloads(startSettings platform.Settings, log zerolog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			fileSettings, err := platform.LoadSettings(c.Settings)
			if err != nil {
				log.Error().Str("event", "reload").Err(err).Msg("")
				continue
			}
			log.Info().Str("event", "reload").Bool("changed", !reflect.DeepEqual(fileSettings, startSettings)).Msg("")
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}

func (c *gatewayCmd) settings(fileSettings platform.Settings) gateway.Settings {
	store := platform.NewStore(fileSettings.StoreAddress)
	tables := platform.Tables()
	s := gateway.Settings{
		Host:          fileSettings.Host,
		Zone:          fileSettings.Zone,
		Regions:       fileSettings.Regions,
		CallerAddress: fileSettings.CallerAddress,
		ReadyAddress:  fileSettings.ReadyAddress,
		ReadyPath:     platform.ReadinessPath,
		TableSource:   store,
		StatusTable:   store.Table(tables.Status),
		Tables:        tables,
		Codec:         platform.Codec(),
		Headers:       platform.Headers(),
		RunCopies:     platform.RunCopies(),
		AnyModel:      platform.AnyModel,
		Peers: gateway.Peers{
			Listen: fileSettings.PeerAddress, Seeds: fileSettings.Seeds, FirstStart: fileSettings.FirstStart, Cores: fileSettings.Cores, LinkMbps: fileSettings.LinkMbps,
			Keys: store.Table(platform.SharedKeyTable),
		},
		StopTimeout:    fileSettings.StopTimeout,
		DrainTime:      fileSettings.DrainTime,
		ApplyTime:      fileSettings.ApplyTime,
		RetryRatio:     fileSettings.RetryRatio,
		RetryWindow:    fileSettings.RetryWindow,
		RetryHeadroom:  fileSettings.RetryHeadroom,
		CanaryShare:    fileSettings.CanaryShare,
		CanaryHeadroom: fileSettings.CanaryHeadroom,
		ColdOverrun:    fileSettings.ColdOverrun,
		ColdHeadroom:   fileSettings.ColdHeadroom,
		Features: gateway.Features{
			EngineState:    gateway.FeatureMode(c.EngineState),
			HoldRequests:   gateway.FeatureMode(c.HoldRequests),
			AccountShares:  gateway.FeatureMode(c.AccountShares),
			ReturnSchedule: gateway.FeatureMode(c.ReturnSchedule),
			CacheFetch:     gateway.FeatureMode(c.CacheFetch),
			StreamMoves:    gateway.FeatureMode(c.StreamMoves),
		},
		UpstreamSource:   c.UpstreamSource,
		Contended:        fileSettings.Contended,
		MemoryBytes:      int64(fileSettings.MemoryMB) << 20,
		Sockets:          fileSettings.Sockets,
		FirstModelIndex:  c.FirstModel,
		AcceptConfidence: c.AcceptConfidence,
	}
	if c.MetricsPort != 0 {
		s.MetricsAddress = net.JoinHostPort(fileSettings.IP, fmt.Sprint(c.MetricsPort))
	}
	return s
}
