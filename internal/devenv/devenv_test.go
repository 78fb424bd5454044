package devenv

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/internal/logline"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// run starts a system and stops it when the test ends.
func run(t testing.TB, options Options) *Env {
	t.Helper()
	env, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- env.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("planned stop: %v", err)
		}
	})
	ready, cancelReady := context.WithTimeout(ctx, 30*time.Second)
	defer cancelReady()
	if err := env.WaitReady(ready); err != nil {
		t.Fatal(err)
	}
	return env
}

func TestSampleManifestIsValid(t *testing.T) {
	is := is.New(t)
	_, err := manifest.Parse(Manifest())
	is.NoErr(err)
}

func TestExamplesAreAnsweredAsPrinted(t *testing.T) {
	is := is.New(t)
	env := run(t, Options{Hosts: 3})
	var printed, served strings.Builder
	env.PrintExamples(&printed)
	is.Equal(strings.Count(printed.String(), "curl "), len(Examples()))
	is.NoErr(env.ServeExamples(t.Context(), &served))
	is.NoErr(env.ServeExamples(t.Context(), io.Discard)) // repeats the bid, too, with the same request key
	is.Equal(env.Service.Arrivals().RunsByKey["bid-1"], 1)
}

// BenchmarkRequest sends a chat through one host; the figures include the
// engine and the host's log:
// go test ./internal/devenv -run - -bench Request -cpuprofile cpu.out
func BenchmarkRequest(b *testing.B) {
	env := run(b, Options{Hosts: 2, Log: logline.New(io.Discard, zerolog.InfoLevel)})
	x := Examples()[0]
	b.ReportAllocs()
	for b.Loop() {
		if err := env.serveExample(b.Context(), io.Discard, x); err != nil {
			b.Fatal(err)
		}
	}
}

// TestMain checks that no goroutine is left after the systems have stopped.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		http.DefaultClient.CloseIdleConnections()
		os.Exit(code)
	}))
}
