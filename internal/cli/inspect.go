package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/quetzalweir/quetzalweir/internal/entry"
)

type traceCmd struct {
	Manifest traceManifestCmd `cmd:"" help:"List the outcomes of the requests under an accepted manifest."`
	Request  traceRequestCmd  `cmd:"" help:"Show a request's bill and the manifest it ran under."`
}

type traceManifestCmd struct {
	operatorFlags
	Epoch uint64 `arg:"" help:"The manifest's epoch."`
}

// Run implements the command.
func (c *traceManifestCmd) Run(ctx context.Context, s *streams) error {
	var trace entry.EpochTrace
	if err := c.client().get(ctx, epochPath(entry.PathTraceEpoch, c.Epoch), &trace); err != nil {
		return err
	}
	return printJSON(s.out, trace)
}

type traceRequestCmd struct {
	operatorFlags
	Request string `arg:"" help:"The request's id."`
}

// Run implements the command.
func (c *traceRequestCmd) Run(ctx context.Context, s *streams) error {
	var trace entry.RequestTrace
	path := strings.Replace(entry.PathTraceRequest, "{request}", url.PathEscape(c.Request), 1)
	if err := c.client().get(ctx, path, &trace); err != nil {
		return err
	}
	return printJSON(s.out, trace)
}

type hostsCmd struct {
	operatorFlags
}

// Run implements the command.
func (c *hostsCmd) Run(ctx context.Context, s *streams) error {
	var response entry.HostsResponse
	if err := c.client().get(ctx, entry.PathHosts, &response); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "seen by %s at epoch %d\n", response.Self, response.Epoch)
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, m := range response.Members {
		fmt.Fprintf(w, "entry\t%s\t%s\t%s\n", m.ID, m.Zone, m.State)
	}
	for _, u := range response.Upstreams {
		fmt.Fprintf(w, "upstream\t%s\t%s\tleaving=%t\tchecks-fencing=%t\tin-flight=%d\t%s\n",
			u.ID, u.Zone, u.Leaving, u.Fenced, u.InFlight, strings.Join(u.Versions, ","))
	}
	return w.Flush()
}

type leavingCmd struct {
	operatorFlags
	Upstream string `arg:"" help:"The upstream's id."`
}

// Run implements the command.
func (c *leavingCmd) Run(ctx context.Context, s *streams) error {
	path := strings.Replace(entry.PathLeaving, "{upstream}", url.PathEscape(c.Upstream), 1)
	_, err := c.client().call(ctx, http.MethodPost, path, nil, nil)
	return err
}
