package simulate

import (
	"fmt"
	"io"
)

// Printer writes tables and keeps the first error.
type Printer struct {
	W   io.Writer
	Err error
}

// Printf writes unless an earlier write failed.
func (p *Printer) Printf(format string, args ...any) {
	if p.Err == nil {
		_, p.Err = fmt.Fprintf(p.W, format, args...)
	}
}
