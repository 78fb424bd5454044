package cli

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

type quarantineCmd struct {
	operatorFlags
	Lift string `help:"Digest of a request to let through again." env:"-"`
}

// Run implements the command.
func (c *quarantineCmd) Run(ctx context.Context, s *streams) error {
	if c.Lift != "" {
		_, err := c.client().call(ctx, http.MethodDelete, entry.PathQuarantine+"/"+c.Lift, nil, nil)
		return err
	}
	var verdicts []quarantine.Verdict
	if err := c.client().get(ctx, entry.PathQuarantine, &verdicts); err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, v := range verdicts {
		fmt.Fprintf(w, "%v\tuntil %s\tevents %d\tupstreams %d\ttrials %d\tby %s\n",
			v.Digest, time.Unix(0, int64(v.ExpiresAt)).UTC().Format(time.RFC3339), v.Events, v.Upstreams, v.TrialCount, v.MadeBy)
	}
	return w.Flush()
}
