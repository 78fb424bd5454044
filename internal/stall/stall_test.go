package stall_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/stall"
)

func TestGuardEndsSilentCallsOnly(t *testing.T) {
	const silence = time.Second
	tests := []struct {
		desc     string
		progress []time.Duration // pauses before each part
		ended    time.Duration   // 0: not ended by the guard
	}{
		{"nothing comes", nil, silence},
		{"each part in time, far above the limit in all", []time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond}, 0},
		{"a part, then nothing", []time.Duration{900 * time.Millisecond}, 1900 * time.Millisecond},
		{"a part too late", []time.Duration{1100 * time.Millisecond}, silence},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				ctx, guard := stall.WithTimeout(t.Context(), silence)
				for _, pause := range test.progress {
					time.Sleep(pause)
					guard.Progress(silence)
				}
				if test.ended == 0 {
					is.NoErr(ctx.Err())
					guard.Stop()
					is.Equal(guard.Explain(ctx.Err()), context.Canceled)
					return
				}
				<-ctx.Done()
				is.True(time.Since(start) <= max(test.ended, 1100*time.Millisecond))
				is.True(errors.Is(guard.Explain(ctx.Err()), stall.ErrStalled))
				is.NoErr(guard.Explain(nil))
				guard.Stop()
			})
		})
	}
}

func TestReaderTellsOfEachPart(t *testing.T) {
	is := is.New(t)
	total := 0
	data, err := io.ReadAll(stall.Reader{Reader: strings.NewReader("answer"), Received: func(n int) { total += n }})
	is.NoErr(err)
	is.Equal(string(data), "answer")
	is.Equal(total, len(data))
}
