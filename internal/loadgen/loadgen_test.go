package loadgen

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// With a fake clock the latency of each request is exactly the duration of Send.
// A request that started later than intended would show a higher latency.
func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		durations := []time.Duration{5 * time.Millisecond, 50 * time.Millisecond}
		results := Run(t.Context(), Options{
			Rate:     100,
			Requests: 500,
			Kinds:    len(durations),
			Send: func(ctx context.Context, _, kind int) error {
				is.Equal(IntendedStart(ctx), time.Now()) // nothing delays it here
				time.Sleep(durations[kind])
				return nil
			},
		})
		for kind, want := range durations {
			for _, q := range []float64{1, 50, 100} {
				got := results[kind].Quantile(q)
				is.True(got >= want && got < want+want/100) // within the histogram's precision
			}
		}
		is.Equal(results[0].Latency.TotalCount()+results[1].Latency.TotalCount(), int64(500))
	})
}

func TestErrorsAreCountedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		broken := errors.New("broken")
		results := Run(t.Context(), Options{Rate: 1000, Requests: 20, Send: func(_ context.Context, i, _ int) error {
			if i%4 == 0 {
				return broken
			}
			return nil
		}})
		is.Equal(results[0].Errors, 5)
		is.Equal(results[0].FirstError, broken)
		is.Equal(results[0].Latency.TotalCount(), int64(15))
	})
}
