package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/logline"
)

type devCmd struct {
	Hosts    int    `help:"Number of entry hosts." default:"1" env:"-"`
	Callers  string `help:"IP and port of the first entry host." default:"127.0.0.1:8080" env:"-"`
	Operator string `help:"IP and port of its operators' address." default:"127.0.0.1:8081" env:"-"`
	Once     bool   `help:"Serve one of each example, print the answers, and exit." env:"-"`
	LogLevel string `help:"Least level of log lines." enum:"debug,info,warn,error" default:"warn" env:"-"`
}

// devStartTimeout is the longest wait for the first host to become ready.
const devStartTimeout = 20 * time.Second

// Run implements the command.
func (c *devCmd) Run(ctx context.Context, s *streams) error {
	level, _ := zerolog.ParseLevel(c.LogLevel)
	env, err := devenv.New(devenv.Options{
		Hosts:     c.Hosts,
		Callers:   c.Callers,
		Operators: c.Operator,
		Log:       logline.New(s.err, level),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return env.Run(ctx) })
	group.Go(func() error {
		err := c.showExamples(ctx, s.out, env)
		if c.Once || err != nil {
			cancel()
		}
		return err
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (c *devCmd) showExamples(ctx context.Context, out io.Writer, env *devenv.Env) error {
	readyCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := env.WaitReady(readyCtx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if c.Once {
		return env.ServeExamples(ctx, out)
	}
	env.PrintExamples(out)
	return nil
}
