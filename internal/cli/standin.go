package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/storage"
)

type standinCmd struct {
	Platform standinPlatformCmd `cmd:"" help:"The table, object store, host list and rater, in memory."`
	Engine   standinEngineCmd   `cmd:"" help:"A model engine."`
	Service  standinServiceCmd  `cmd:"" help:"A plain service."`
	Fault    standinFaultCmd    `cmd:"" help:"Set the faults of a running stand-in."`
}

type standinPlatformCmd struct {
	Listen           string        `help:"IP and port." default:"127.0.0.1:7000" env:"-"`
	CommitsPerSecond float64       `help:"Limit of commits." default:"500" env:"-"`
	ReadsPerSecond   float64       `help:"Limit of reads." default:"2000" env:"-"`
	HostLag          time.Duration `help:"Lag of the host list." env:"-"`
	Faults           string        `help:"Faults from the start, as JSON." default:"{}" env:"-"`
}

// Run implements the command.
func (c *standinPlatformCmd) Run(ctx context.Context, s *streams) error {
	var faults platformd.Faults
	if err := parseFaults(c.Faults, &faults); err != nil {
		return err
	}
	server := platformd.New(platformd.Options{
		CommitsPerSecond: c.CommitsPerSecond,
		ReadsPerSecond:   c.ReadsPerSecond,
		HostLag:          c.HostLag,
	})
	server.SetFaults(faults)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out, "listening", listener.Addr())
	return server.Serve(ctx, listener)
}

// parseFaults decodes the flag --faults and rejects unknown fields.
func parseFaults(text string, faults any) error {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(faults); err != nil {
		return fmt.Errorf("%w: --faults: %w", errUsage, err)
	}
	return nil
}

// registerFlags holds the platform in whose host list a stand-in registers itself.
type registerFlags struct {
	Platform string `help:"URL of the platform, to enter the host list there; empty for none." env:"-"`
}

// maxRegisterAttempts is the largest number of attempts to register in the host list.
const maxRegisterAttempts = 50

// register adds the host to the platform's host list. It retries, as the platform
// may start after the stand-in.
func (f registerFlags) register(ctx context.Context, host storage.Host) error {
	if f.Platform == "" {
		return nil
	}
	body, err := json.Marshal(host)
	if err != nil {
		return err
	}
	for range maxRegisterAttempts {
		if err = post(ctx, f.Platform+"/hosts", body); err == nil {
			return nil
		}
		if !sleep(ctx, registerRetryDelay) {
			break
		}
	}
	return fmt.Errorf("register in the platform's host list: %w", err)
}

const (
	registerRetryDelay = 100 * time.Millisecond
	// maxErrorBodyBytes is the largest part of an error response that is read.
	maxErrorBodyBytes = 4 << 10
)

func post(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return fmt.Errorf("%s: %s", resp.Status, text)
	}
	return nil
}

// poisonDelay is the time from the start of a run whose prompt contains the poison text to the
// end of the engine process. By then the process has sent the first frames of the answer.
const poisonDelay = 40 * time.Millisecond

type standinEngineCmd struct {
	registerFlags
	Listen          string        `help:"IP and port; port 0 takes a free one." default:"127.0.0.1:0" env:"-"`
	ID              string        `help:"The host's id." required:"" env:"-"`
	Name            string        `help:"The pool's name." default:"engines" env:"-"`
	Zone            string        `help:"The availability zone." required:"" env:"-"`
	Versions        []string      `help:"Loaded versions, model@version." required:"" env:"-"`
	Capacity        int           `help:"Requests run at once." default:"8" env:"-"`
	PrefillPerToken time.Duration `help:"Time for each prompt token that isn't cached." env:"-"`
	TimePerToken    time.Duration `help:"Time for an output token." env:"-"`
	LoadLag         time.Duration `help:"How old the load report is." env:"-"`
	Fatal           string        `help:"A text in prompts that ends the process 40 ms after it began to run them." env:"-"`
	Fenced          bool          `help:"Refuse orders with old fencing numbers." env:"-"`
	Faults          string        `help:"Faults from the start, as JSON." default:"{}" env:"-"`
}

// Run implements the command.
func (c *standinEngineCmd) Run(ctx context.Context, s *streams) error {
	var faults engine.Faults
	if err := parseFaults(c.Faults, &faults); err != nil {
		return err
	}
	e := engine.New(engine.Options{
		Listen:          c.Listen,
		ID:              c.ID,
		Name:            c.Name,
		Zone:            c.Zone,
		Versions:        c.Versions,
		Capacity:        c.Capacity,
		PrefillPerToken: c.PrefillPerToken,
		TimePerToken:    c.TimePerToken,
		LoadLag:         c.LoadLag,
		PoisonText:      c.Fatal,
		PoisonDelay:     poisonDelay,
		OnPoison:        func() { os.Exit(1) },
		Fenced:          c.Fenced,
	})
	e.SetFaults(faults)
	if err := e.Bind(); err != nil {
		return err
	}
	fmt.Fprintln(s.out, "listening", e.Address())
	if err := c.register(ctx, e.Host()); err != nil {
		return err
	}
	return e.Run(ctx)
}

type standinServiceCmd struct {
	registerFlags
	Listen string        `help:"IP and port; port 0 takes a free one." default:"127.0.0.1:0" env:"-"`
	ID     string        `help:"The host's id." required:"" env:"-"`
	Name   string        `help:"The service's name." required:"" env:"-"`
	Zone   string        `help:"The availability zone." required:"" env:"-"`
	Time   time.Duration `help:"How long each call takes." env:"-"`
	Faults string        `help:"Faults from the start, as JSON." default:"{}" env:"-"`
}

// Run implements the command.
func (c *standinServiceCmd) Run(ctx context.Context, s *streams) error {
	var faults service.Faults
	if err := parseFaults(c.Faults, &faults); err != nil {
		return err
	}
	svc := service.New(service.Options{Listen: c.Listen, ID: c.ID, Name: c.Name, Zone: c.Zone, RunTime: c.Time})
	svc.SetFaults(faults)
	if err := svc.Bind(); err != nil {
		return err
	}
	fmt.Fprintln(s.out, "listening", svc.Address())
	if err := c.register(ctx, svc.Host()); err != nil {
		return err
	}
	return svc.Run(ctx)
}

type standinFaultCmd struct {
	Address string `arg:"" help:"The stand-in's IP and port."`
	Faults  string `arg:"" help:"The faults as JSON."`
}

// Run implements the command.
func (c *standinFaultCmd) Run(ctx context.Context) error {
	return post(ctx, "http://"+c.Address+"/faults", []byte(c.Faults))
}
