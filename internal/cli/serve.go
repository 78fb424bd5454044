package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/logline"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/session"
	"github.com/quetzalweir/quetzalweir/storage/client"
)

type serveCmd struct {
	ID                 string        `help:"This host's id, different from all others."`
	Zone               string        `help:"This host's availability zone."`
	Callers            string        `help:"IP and port for callers." default:"127.0.0.1:8080"`
	Operators          string        `help:"IP and port for operators, readiness and metrics." default:"127.0.0.1:8081"`
	Peers              string        `help:"IP and port for other entry hosts." default:"127.0.0.1:8082"`
	AdvertisePeers     string        `help:"Address under which other entry hosts reach this one; default: --peers."`
	Seeds              []string      `help:"Peer addresses of other hosts, to start by while the table is down."`
	Platform           string        `help:"URL of the platform's service." default:"http://127.0.0.1:7000"`
	SessionKeys        string        `help:"Keys of session tokens, id:hex,id:hex; the first signs, all verify."`
	PeerKeys           string        `help:"Keys between entry hosts, id:hex,id:hex; the first is offered, all are accepted."`
	OperatorKeys       string        `help:"Keys of the operators' address, comma separated."`
	MaxBody            int64         `help:"Largest body of a request, in bytes." default:"8388608"`
	MemoryMB           int64         `name:"memory-mb" help:"Memory of the process, in MB. Callers may take a quarter of it." default:"1024"`
	Capacity           int           `help:"Requests run at once." default:"1024"`
	MaxQueue           int           `help:"Requests that wait at most." default:"4096"`
	FreshnessBound     time.Duration `help:"How old the word of the manifest in force may be." default:"5s"`
	PollHead           time.Duration `help:"How often the manifest's head is read." default:"1s"`
	PollHosts          time.Duration `help:"How often the platform's host list is read." default:"1s"`
	PollLoad           time.Duration `help:"How often an upstream is asked for its load." default:"500ms"`
	CallerWriteTimeout time.Duration `help:"Longest write to a caller that reads slowly." default:"30s"`
	BalancerLag        time.Duration `help:"How long the balancer may go on sending after readiness is off." default:"3s"`
	StopTimeout        time.Duration `help:"Longest planned stop." default:"10m"`
	LogLevel           string        `help:"Least level of log lines." enum:"debug,info,warn,error" default:"info"`
	PrintSettings      bool          `help:"Print the settings in effect, keys masked, and exit." env:"-"`
}

// Run implements the command.
func (c *serveCmd) Run(ctx context.Context, s *streams) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	if c.PrintSettings {
		c.print(s.out, settings)
		return nil
	}
	log := c.logger(s)
	stdlog.SetFlags(0)
	stdlog.SetOutput(logline.NewLibraryWriter(log))
	platformClient := client.New(c.Platform, client.Options{})
	defer platformClient.Close()
	host, err := entry.New(settings, entry.Platform{
		Table:   platformClient.Table(),
		Objects: platformClient.Objects(),
		Hosts:   platformClient.Hosts(),
		Rater:   platformClient.Rater(),
	}, log)
	if err != nil {
		return err
	}
	finished, finish := context.WithCancel(context.WithoutCancel(ctx))
	defer finish()
	// Registered before the first signal, since a second one may follow at once.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go forceStopOnSecondSignal(signals, finished, host)
	return host.Run(ctx)
}

// forceStopOnSecondSignal forces the host to stop at the second signal, unless the host has stopped before, when finished ends.
func forceStopOnSecondSignal(signals <-chan os.Signal, finished context.Context, host *entry.Host) {
	for range 2 {
		select {
		case <-signals:
		case <-finished.Done():
			return
		}
	}
	host.ForceStop()
}

func (c *serveCmd) logger(s *streams) zerolog.Logger {
	level, _ := zerolog.ParseLevel(c.LogLevel)
	return logline.New(s.err, level).With().Str("host", c.ID).Logger()
}

// settings returns the settings from the flags, or an error that lists all
// invalid flags.
func (c *serveCmd) settings() (entry.Settings, error) {
	sessionKeys, sessionErr := parseKeys("session-keys", c.SessionKeys)
	peerKeys, peerErr := parseKeys("peer-keys", c.PeerKeys)
	settings := entry.Settings{
		ID:                 c.ID,
		Zone:               c.Zone,
		Callers:            c.Callers,
		Operators:          c.Operators,
		Peers:              c.Peers,
		AdvertisePeers:     c.AdvertisePeers,
		Seeds:              c.Seeds,
		MaxBody:            c.MaxBody,
		MemoryBytes:        c.MemoryMB << 20,
		Capacity:           c.Capacity,
		MaxQueue:           c.MaxQueue,
		SessionKeys:        sessionKeys,
		PeerKeys:           toPeerKeys(peerKeys),
		OperatorKeys:       splitKeys(c.OperatorKeys),
		FreshnessBound:     c.FreshnessBound,
		PollHead:           c.PollHead,
		PollHosts:          c.PollHosts,
		PollLoad:           c.PollLoad,
		BalancerLag:        c.BalancerLag,
		CallerWriteTimeout: c.CallerWriteTimeout,
		StopTimeout:        c.StopTimeout,
	}
	err := errors.Join(sessionErr, peerErr, checkURL("platform", c.Platform), settings.Validate())
	if err != nil {
		return settings, fmt.Errorf("%w:\n%w", errUsage, err)
	}
	return settings, nil
}

func parseKeys(flag, text string) ([]session.Key, error) {
	if text == "" {
		return nil, nil // Settings.Validate reports the missing key
	}
	keys, err := session.ParseKeys(text)
	if err != nil {
		return nil, entry.SettingError(flag, "%v", err)
	}
	return keys, nil
}

func toPeerKeys(keys []session.Key) []peer.Key {
	out := make([]peer.Key, len(keys))
	for i, k := range keys {
		out[i] = peer.Key{ID: k.ID, Secret: k.Secret}
	}
	return out
}

func splitKeys(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

func checkURL(flag, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return entry.SettingError(flag, "must be a URL like http://10.0.0.1:7000, not %q", text)
	}
	return nil
}

// keyMask replaces each key in printed settings.
const keyMask = "****"

func (c *serveCmd) print(w io.Writer, s entry.Settings) {
	lines := []struct {
		flag  string
		value any
	}{
		{"id", s.ID},
		{"zone", s.Zone},
		{"callers", s.Callers},
		{"operators", s.Operators},
		{"peers", s.Peers},
		{"advertise-peers", s.AdvertisePeers},
		{"seeds", strings.Join(s.Seeds, ",")},
		{"platform", c.Platform},
		{"session-keys", maskKeys(s.SessionKeys)},
		{"peer-keys", maskKeys(s.PeerKeys)},
		{"operator-keys", strings.Repeat(keyMask+" ", len(s.OperatorKeys))},
		{"max-body", s.MaxBody},
		{"memory-mb", s.MemoryBytes >> 20},
		{"capacity", s.Capacity},
		{"max-queue", s.MaxQueue},
		{"freshness-bound", s.FreshnessBound},
		{"poll-head", s.PollHead},
		{"poll-hosts", s.PollHosts},
		{"poll-load", s.PollLoad},
		{"caller-write-timeout", s.CallerWriteTimeout},
		{"balancer-lag", s.BalancerLag},
		{"stop-timeout", s.StopTimeout},
		{"log-level", c.LogLevel},
	}
	for _, l := range lines {
		fmt.Fprintf(w, "%s=%v\n", l.flag, l.value)
	}
}

// maskKeys returns the ids of keys with their secrets masked.
func maskKeys[K fmt.Stringer](keys []K) string {
	text := make([]string, len(keys))
	for i, k := range keys {
		text[i] = k.String() + ":" + keyMask
	}
	return strings.Join(text, ",")
}
