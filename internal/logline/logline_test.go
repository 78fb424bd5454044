package logline

import (
	"bytes"
	"io"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestEachEventIsOneLineOfPairs(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := New(&out, zerolog.InfoLevel)
	log.Debug().Str("event", "unseen").Msg("")
	log.Info().Str("event", "place").Str("text", "a \"b\"\nc=d").Int("among", 3).Msg("")
	pair := `[a-z_]+=("([^"\\]|\\.)*"|[^ "=]+)`
	is.True(regexp.MustCompile(`^` + pair + `( ` + pair + `)+\n$`).Match(out.Bytes())) // key=value pairs on one line
	is.True(bytes.Contains(out.Bytes(), []byte(`text="a \"b\"\nc=d"`)))                // a value can't be mistaken for a pair
}

func BenchmarkLine(b *testing.B) {
	log := New(io.Discard, zerolog.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("event", "place").Str("request", "c0ffee").Str("version", "v1").
			Bool("found", true).Int("among", 12).Int("attempt", 1).Str("upstream", "e1").Msg("")
	}
}

// A goroutine that is still running when the process ends may log. That must not end the process with a panic.
func TestWriteAfterClose(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := NewBoundedWriter(&out)
	b.Write([]byte("first\n"))
	b.Close()
	b.Close()
	_, err := b.Write([]byte("late\n"))
	is.NoErr(err)
	is.Equal(out.String(), "first\n")
}
