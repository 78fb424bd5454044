// Package logline makes the loggers of the processes: one line of key=value
// pairs for each event.
package logline

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes to w, one Write a line. It is safe for
// concurrent use where w is.
func New(w io.Writer, least zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(keyValueWriter(w)).Level(least).With().Timestamp().Logger()
}

// keyValueWriter turns zerolog's events into key=value lines. Values with
// spaces, quotes or control characters are quoted.
func keyValueWriter(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%s", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%s", v) },
		FormatMessage:   formatMessage,
	}
}

func formatMessage(v any) string {
	if v == nil || v == "" {
		return ""
	}
	return fmt.Sprintf("message=%q", v)
}
