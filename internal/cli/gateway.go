package cli

import (
	"context"
	"errors"
	"fmt"
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
	LogLevel         string `help:"Least level of log lines." enum:"debug,info,warn,error" default:"info"`
}

// memoryPart is the part of the permitted memory at which the garbage collector
// works harder, in percent; the rest is for stacks and buffers of the kernel.
const memoryPart = 70

// Run implements the command.
func (c *gatewayCmd) Run(ctx context.Context) error {
	if c.Settings == "" {
		return errors.New("--settings is required")
	}
	site, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if site.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(site.MemoryMB) << 20 / 100 * memoryPart)
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	out := logline.NewBounded(os.Stdout)
	defer out.Close()
	log := logline.New(out, level).With().Str("host", site.Host).Logger()
	stopReloads := c.noteReloads(site, log)
	defer stopReloads()
	return gateway.New(c.settings(site), log).Run(ctx)
}

// noteReloads takes SIGHUP, which says that the settings file changed and would end
// the process otherwise. What a process listens on and how it counts can't change
// under its connections: a change is logged and in force from the next start.
func (c *gatewayCmd) noteReloads(inForce platform.Settings, log zerolog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			site, err := platform.LoadSettings(c.Settings)
			if err != nil {
				log.Error().Str("event", "reload").Err(err).Msg("")
				continue
			}
			log.Info().Str("event", "reload").Bool("changed", !reflect.DeepEqual(site, inForce)).Msg("")
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}

func (c *gatewayCmd) settings(site platform.Settings) gateway.Settings {
	store := platform.NewStore(site.Store)
	tables := platform.Tables()
	s := gateway.Settings{
		Host:          site.Host,
		Zone:          site.Zone,
		Regions:       site.Regions,
		CallerAddress: site.CallerAddress,
		ReadyAddress:  site.ReadyAddress,
		ReadyPath:     platform.ReadinessPath,
		Source:        store,
		Statuses:      store.Table(tables.Status),
		Tables:        tables,
		Codec:         platform.Codec(),
		Headers:       platform.Headers(),
		AnyModel:      platform.AnyModel,
		Peers: gateway.Peers{
			Listen: site.Peers, Seeds: site.Seeds, FirstStart: site.FirstStart, Cores: site.Cores, LinkMbps: site.LinkMbps,
			Keys: store.Table(platform.SharedKeyTable),
		},
		StopTimeout:      site.StopTimeout,
		DrainTime:        site.DrainTime,
		ApplyTime:        site.ApplyTime,
		RetryRatio:       site.RetryRatio,
		RetryWindow:      site.RetryWindow,
		RetryHeadroom:    site.RetryHeadroom,
		CanaryShare:      site.CanaryShare,
		ColdOverrun:      site.ColdOverrun,
		ColdHeadroom:     site.ColdHeadroom,
		FirstModelIndex:  c.FirstModel,
		AcceptConfidence: c.AcceptConfidence,
	}
	if c.MetricsPort != 0 {
		s.MetricsAddress = net.JoinHostPort(site.IP, fmt.Sprint(c.MetricsPort))
	}
	return s
}
