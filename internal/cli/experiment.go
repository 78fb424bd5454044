package cli

import (
	"context"

	"github.com/quetzalweir/quetzalweir/internal/experiment/admission"
	"github.com/quetzalweir/quetzalweir/internal/experiment/balance"
	"github.com/quetzalweir/quetzalweir/internal/experiment/cascade"
	"github.com/quetzalweir/quetzalweir/internal/experiment/deployment"
	"github.com/quetzalweir/quetzalweir/internal/experiment/rollout"
)

// experimentCmd compares the policies of entry hosts with baselines, in seeded
// simulations or on the entry hosts themselves, and prints Markdown tables.
type experimentCmd struct {
	Admission  admissionCmd  `cmd:"" help:"Classes, accounts and deadlines above capacity."`
	Balance    balanceCmd    `cmd:"" help:"Choosing an upstream, with slow, lying and failing ones."`
	Cascade    cascadeCmd    `cmd:"" help:"Cost at the quality target."`
	Deployment deploymentCmd `cmd:"" help:"The entry hosts themselves, in a deployment's shape, in real time."`
	Rollout    rolloutCmd    `cmd:"" help:"Answers from a bad version until it is stopped."`
}

// seedFlags holds the number of seeds, that is, of runs for each table cell.
type seedFlags struct {
	Seeds int `help:"Runs for each cell; 0 is the experiment's default." env:"-"`
}

type admissionCmd struct{ seedFlags }

// Run implements the command.
func (c *admissionCmd) Run(_ context.Context, s *streams) error {
	return admission.Run(s.out, admission.Options{Seeds: c.Seeds})
}

type balanceCmd struct{ seedFlags }

// Run implements the command.
func (c *balanceCmd) Run(_ context.Context, s *streams) error {
	return balance.Run(s.out, balance.Options{Seeds: c.Seeds})
}

type cascadeCmd struct{ seedFlags }

// Run implements the command.
func (c *cascadeCmd) Run(_ context.Context, s *streams) error {
	return cascade.Run(s.out, cascade.Options{Seeds: c.Seeds})
}

type rolloutCmd struct{ seedFlags }

// Run implements the command.
func (c *rolloutCmd) Run(_ context.Context, s *streams) error {
	return rollout.Run(s.out, rollout.Options{Seeds: c.Seeds})
}

type deploymentCmd struct{ seedFlags }

// Run implements the command.
func (c *deploymentCmd) Run(ctx context.Context, s *streams) error {
	return deployment.Run(ctx, s.out, deployment.Options{Seeds: c.Seeds})
}
