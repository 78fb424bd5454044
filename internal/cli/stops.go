package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/rollout"
)

type stopsCmd struct {
	operatorFlags
}

// Run implements the command.
func (c *stopsCmd) Run(ctx context.Context, s *streams) error {
	var stops []rollout.Stop
	if err := c.client().get(ctx, entry.PathStops, &stops); err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, stop := range stops {
		fmt.Fprintf(w, "%s@%s\tround %d\t%s\tby %s\tanswers %d\terrors %d\tslow %d\tmean rating %.2f\n",
			stop.Model, stop.Version, stop.Round, stop.Reason, stop.Host,
			stop.Summary.Answers, stop.Summary.Errors, stop.Summary.Slow, stop.Summary.MeanRating)
	}
	return w.Flush()
}
