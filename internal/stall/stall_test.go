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

func TestGuardEndsStalledCallsOnly(t *testing.T) {
	const silence = time.Second
	tests := []struct {
		desc     string
		progress []time.Duration // the pauses before each part
		ended    time.Duration   // 0: not ended by the guard
	}{
		{"nothing comes", nil, silence},
		{"each part in time, the whole answer far later than the limit", []time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond}, 0},
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

func TestReaderReportsEachPart(t *testing.T) {
	is := is.New(t)
	total := 0
	data, err := io.ReadAll(stall.Reader{Reader: strings.NewReader("answer"), OnReceived: func(n int) { total += n }})
	is.NoErr(err)
	is.Equal(string(data), "answer")
	is.Equal(total, len(data))
}

// fillingReader fills the buffer that it is given before it returns, as the reader of a chunked
// HTTP body does, at rate bytes a second.
type fillingReader struct{ left, rate int }

func (r *fillingReader) Read(p []byte) (int, error) {
	n := min(len(p), r.left)
	if n == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.rate))
	r.left -= n
	return n, nil
}

// Guards against a Reader that fills large buffers before it reports progress. io.ReadAll reads
// into buffers that grow with the data; an earlier version returned nothing for seconds while
// it filled them, although data arrived all the time. An answer of 750 kB at 160 kB a second
// was therefore canceled after 490 kB at each attempt: received_bytes=492097 took_ms=3117.
func TestReaderReportsProgressWhileALargeBufferFills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const silence, size, rate = 800 * time.Millisecond, 4 << 20, 40 << 10
		ctx, guard := stall.WithTimeout(t.Context(), silence)
		defer guard.Stop()
		data, err := io.ReadAll(stall.Reader{
			Reader:     &fillingReader{left: size, rate: rate},
			OnReceived: func(int) { guard.Progress(silence) },
		})
		is.NoErr(err)
		is.NoErr(ctx.Err())
		is.Equal(len(data), size)
	})
}
