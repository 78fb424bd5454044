package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// With an empty retry budget, a request must still be retried on another upstream if
// the last one couldn't be reached, up to maxAttempts attempts in total.
func TestRetryWithoutBudget(t *testing.T) {
	unreachable := fmt.Errorf("dial: %w", upstream.ErrNotSent)
	endedCtx, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		desc    string
		ctx     context.Context
		attempt int
		err     error
		want    bool
	}{
		{"never connected", t.Context(), 1, unreachable, true},
		{"upstream left", t.Context(), 1, errUpstreamLeft, true},
		{"last attempt", t.Context(), maxAttempts, unreachable, false},
		{"deadline passed", endedCtx, 1, unreachable, false},
		{"refused", t.Context(), 1, &upstream.StatusError{Status: 503, NotRun: true}, false},
		{"connection reset", t.Context(), 1, errors.New("reset"), false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := &dispatch{retries: admission.NewRetryBudget(0, 0, nil), guard: guard.New(guard.Options{Log: zerolog.Nop()})}
			r := &Request{Repeatable: true, Sink: &bufferSink{}}
			is.New(t).Equal(f.mayRetry(tt.ctx, r, tt.attempt, tt.err), tt.want)
		})
	}
}

// A repeatable call whose first attempt broke off was refused a second one by a planned stop, and its caller got 502. A call of which
// an upstream stated that it didn't run it is still refused.
func TestCallThatBeganIsRefusedInAPlannedStop(t *testing.T) {
	tests := []struct {
		desc    string
		first   error
		refused bool
	}{
		{"no attempt", nil, true},
		{"broke off", upstream.ErrBroken, false},
		{"stated that it didn't run", &upstream.StatusError{Status: 503, NotRun: true}, true},
		{"failed", &upstream.StatusError{Status: 500}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			f := &dispatch{engine: engineAnswer{err: tt.first}, plannedStop: plannedstop.New()}
			r := &Request{Kind: KindModel, Repeatable: true, Sink: &bufferSink{}, Deadline: time.Now().Add(time.Minute)}
			if tt.first != nil {
				is.True(f.run(t.Context(), r) != nil)
			}
			is.NoErr(f.lateRefusal(r))
			f.plannedStop.Begin(time.Now().Add(time.Second))
			is.Equal(f.lateRefusal(r) != nil, tt.refused)
		})
	}
}
