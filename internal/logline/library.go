package logline

import (
	"io"

	"github.com/rs/zerolog"
)

// maxLibraryText bounds the text of a line that a library logs, in bytes.
const maxLibraryText = 200

// NewLibraryWriter returns the output for the standard library's logger: net/http logs bytes there that an upstream
// sends without a request.
func NewLibraryWriter(log zerolog.Logger) io.Writer { return libraryWriter{log} }

type libraryWriter struct {
	log zerolog.Logger
}

// Write implements io.Writer.
func (w libraryWriter) Write(text []byte) (int, error) {
	w.log.Warn().Str("event", "library").Str("text", string(text[:min(len(text), maxLibraryText)])).Msg("")
	return len(text), nil
}
