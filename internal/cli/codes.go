package cli

import (
	"fmt"
	"text/tabwriter"

	"github.com/quetzalweir/quetzalweir/resultcode"
)

type codesCmd struct {
	Markdown bool `help:"Print docs/RESULT-CODES.md." env:"-"`
}

// Run implements the command.
func (c *codesCmd) Run(s *streams) error {
	if c.Markdown {
		_, err := fmt.Fprint(s.out, resultcode.Markdown())
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, spec := range resultcode.All() {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\n", int(spec.Code), spec.Name, spec.Status, spec.Meaning)
	}
	return w.Flush()
}
