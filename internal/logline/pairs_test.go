package logline

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
)

// parseLine parses a line strictly. It returns the keys and values alternately; ok is false if
// the text isn't exactly one line of pairs.
func parseLine(text string) (parts []string, ok bool) {
	text, ok = strings.CutSuffix(text, "\n")
	for ok && text != "" {
		var key, value string
		key, text, ok = strings.Cut(text, "=")
		if strings.ContainsAny(key, " \"\n") || key == "" || !ok {
			return nil, false
		}
		if quoted, err := strconv.QuotedPrefix(text); err == nil && quoted[0] == '"' {
			value, _ = strconv.Unquote(quoted)
			text = text[len(quoted):]
		} else {
			end := strings.IndexByte(text+" ", ' ')
			value, text = text[:end], text[end:]
			if strings.ContainsAny(value, "=\"\\\n") || value == "" {
				return nil, false
			}
		}
		parts = append(parts, key, value)
		if text != "" {
			text, ok = strings.CutPrefix(text, " ")
		}
	}
	return parts, ok
}

func TestValuesRoundTripAndForgeNoPair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.String().Draw(t, "first")
		second := rapid.StringOf(rapid.SampledFrom([]rune("ab =\"\\\n\t\x00\x7fé\u2028"))).Draw(t, "second")
		number := rapid.Int().Draw(t, "number")
		var out bytes.Buffer
		log := New(&out, zerolog.InfoLevel)
		log.Info().Str("first", first).Int("number", number).Str("second", second).Msg("m")
		parts, ok := parseLine(out.String())
		if !ok {
			t.Fatalf("not a line of pairs: %q", out.String())
		}
		want := []string{"level", "info", "message", "m", "first", strings.ToValidUTF8(first, "\uFFFD"),
			"number", strconv.Itoa(number), "second", second}
		if got := parts[2:]; strings.Join(got, "\x01") != strings.Join(want, "\x01") {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

func TestFormat(t *testing.T) {
	tests := []struct{ desc, event, line string }{
		{"leading fields first", `{"level":"warn","a":1,"time":"T","message":"two words"}`, "time=T level=warn message=\"two words\" a=1\n"},
		{"a value that looks like pairs", `{"a":"x b=y"}`, "a=\"x b=y\"\n"},
		{"an equals sign alone", `{"a":"b=c"}`, "a=\"b=c\"\n"},
		{"empty values", `{"a":"","b":2}`, "a=\"\" b=2\n"},
		{"nested values are one text", `{"a":{"b":[1,"c d=e"]},"f":null}`, `a="{\"b\":[1,\"c d=e\"]}" f=null` + "\n"},
		{"a key can't forge a pair", `{"a=b c\n":true}`, "a_b_c_=true\n"},
		{"no fields", `{}`, "\n"},
		{"malformed", `{"a":1,"b`, `malformed="{\"a\":1,\"b"` + "\n"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			n, err := (&pairWriter{out: &out}).Write([]byte(tt.event))
			is.NoErr(err)
			is.Equal(n, len(tt.event))
			is.Equal(out.String(), tt.line)
		})
	}
}

type brokenWriter struct{}

var errBroken = errors.New("broken")

func (brokenWriter) Write([]byte) (int, error) { return 0, errBroken }

func TestWriteErrorsAreReported(t *testing.T) {
	is := is.New(t)
	_, err := (&pairWriter{out: brokenWriter{}}).Write([]byte(`{}`))
	is.True(errors.Is(err, errBroken))
}
