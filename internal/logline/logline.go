// Package logline provides loggers that write one line of key=value pairs for each event.
//
// The command line creates the loggers of hosts; library packages don't log. The lines are
// meant for reading and searching, and their keys aren't a stable interface.
package logline

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes events of at least minLevel to w, with one Write for each
// line. It is safe for concurrent use if w is.
func New(w io.Writer, minLevel zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(&pairWriter{out: w}).Level(minLevel).With().Timestamp().Logger()
}
