package wait_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

func TestFor(t *testing.T) {
	tests := []struct {
		desc string
		d    time.Duration
		// timeout is the time until the context ends; took is the duration that the wait must
		// have.
		timeout, took time.Duration
		want          error
	}{
		{"whole", time.Second, time.Minute, time.Second, nil},
		{"context ends first", time.Minute, time.Second, time.Second, context.DeadlineExceeded},
		{"nothing to wait for", -time.Second, time.Second, 0, nil},
		{"nothing to wait for, context ended", 0, -time.Second, 0, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				start := time.Now()
				is.Equal(wait.For(ctx, tt.d), tt.want)
				is.Equal(time.Since(start), tt.took)
			})
		})
	}
}

func ExampleFor() {
	ctx, cancel := context.WithCancel(context.Background())
	fmt.Println(wait.For(ctx, time.Millisecond))
	cancel()
	fmt.Println(wait.For(ctx, time.Hour))
	// Output:
	// <nil>
	// context canceled
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start, calls := time.Now(), []time.Duration(nil)
		wait.Every(ctx, time.Second, func() { calls = append(calls, time.Since(start)) })
		is.Equal(calls, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second})
	})
}
