// Package cli implements the command line of quetzalweir.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// envPrefix is the prefix of each flag's environment variable.
const envPrefix = "QUETZALWEIR"

// commands declares the commands; kong takes their names from the fields.
type commands struct {
	Serve      serveCmd      `cmd:"" help:"Run an entry host."`
	Gateway    gatewayCmd    `cmd:"" help:"Run a gateway host by a routing document, on a platform of its own."`
	Manifest   manifestCmd   `cmd:"" help:"Check, submit and read manifests."`
	Trace      traceCmd      `cmd:"" help:"Follow a manifest to its outcomes, or a request to its manifest."`
	Hosts      hostsCmd      `cmd:"" help:"List entry hosts and upstreams as one host sees them."`
	Leaving    leavingCmd    `cmd:"" help:"Take an upstream out of service on all hosts."`
	Stops      stopsCmd      `cmd:"" help:"List the versions that the hosts stopped by their own evidence."`
	Quarantine quarantineCmd `cmd:"" help:"List the requests that are kept away from upstreams, or lift one."`
	Codes      codesCmd      `cmd:"" help:"List the result codes."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
	Experiment experimentCmd `cmd:"" help:"Measure the policies against baselines, in seeded models."`
	Dev        devCmd        `cmd:"" help:"Run everything in one process, with stand-ins and a sample manifest."`
	Standin    standinCmd    `cmd:"" help:"Run a stand-in of an outside system."`
}

// streams holds the output streams of the commands.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns the process's exit code.
func Main(args []string, out, errOut io.Writer) int {
	var tree commands
	exitCode := -1
	parser, err := kong.New(&tree,
		kong.Name("quetzalweir"),
		kong.Description("A model-aware router for versions and cascades."),
		kong.UsageOnError(),
		kong.Writers(out, errOut),
		kong.DefaultEnvars(envPrefix),
		kong.Exit(func(code int) { exitCode = code }),
	)
	if err != nil {
		fmt.Fprintln(errOut, "quetzalweir:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		fmt.Fprintln(errOut, "quetzalweir:", err)
		return exitUsage
	}
	return run(parsed, out, errOut)
}

func run(parsed *kong.Context, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	err := parsed.Run(&streams{out: out, err: errOut})
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "quetzalweir:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

// errUsage marks errors in the user's settings; the exit code is then exitUsage.
var errUsage = errors.New("invalid settings")
