// Package wait waits for a duration or the end of a context, whichever comes first.
//
// It is meant for loops and retries. A wait isn't exact: it ends at its duration or somewhat
// later.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns nil, or the context's error if ctx ends first. It doesn't wait if
// d isn't positive.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls do once per interval until ctx ends; the first call is made after one interval. A
// call that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
