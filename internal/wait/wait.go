// Package wait waits for a time or the end of a context, whichever is first.
//
// Loops and retries of most packages use it. It keeps no exact time: a wait ends
// at its duration or somewhat later.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns nil then, or the context's error once ctx has
// ended; a d that isn't positive doesn't wait.
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

// Every calls do at an interval, the first time after one, until ctx ends. A call that
// takes longer than the interval delays the next one.
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
