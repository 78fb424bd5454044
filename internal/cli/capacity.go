package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/internal/capacity/measure"
)

type capacityCmd struct {
	Slopes   string `help:"File of the measured slopes." default:"docs/capacity-slopes.json" env:"-"`
	Page     string `help:"Renew the generated part of this page in place of printing it." env:"-"`
	Measure  bool   `help:"Measure the slopes anew and write the file; takes minutes." env:"-"`
	Quick    bool   `help:"With --measure: few repetitions, to try it out." env:"-"`
	Revision string `help:"With --measure: the revision to state." env:"-"`
}

// slopesMode is the mode of the written files.
const slopesMode = 0o644

// Run implements the command.
func (c *capacityCmd) Run(ctx context.Context, s *streams) error {
	if c.Measure {
		return c.measure(ctx, s)
	}
	slopes, err := capacity.Load(c.Slopes)
	if err != nil {
		return err
	}
	tables := capacity.Markdown(slopes)
	if c.Page != "" {
		return renewPage(c.Page, tables)
	}
	_, err = io.WriteString(s.out, tables)
	return err
}

func renewPage(name, tables string) error {
	page, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	renewed, err := capacity.Replace(string(page), tables)
	if err != nil {
		return err
	}
	return os.WriteFile(name, []byte(renewed), slopesMode)
}

func (c *capacityCmd) measure(ctx context.Context, s *streams) error {
	slopes, err := measure.Run(ctx, measure.Options{
		Quick:    c.Quick,
		Revision: c.Revision,
		Progress: func(name string) { fmt.Fprintln(s.err, "measuring", name) },
	})
	if err != nil {
		return err
	}
	data, err := slopes.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(c.Slopes, data, slopesMode)
}
