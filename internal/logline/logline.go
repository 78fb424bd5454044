// Package logline makes the loggers of the processes: one line of key=value
// pairs for each event.
//
// The command line makes the loggers of hosts with it; library packages don't
// log. Pairs are for reading and searching: their names promise no stability.
package logline

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes to w, one Write a line. It is safe for
// concurrent use where w is.
func New(w io.Writer, least zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(&pairWriter{out: w}).Level(least).With().Timestamp().Logger()
}
