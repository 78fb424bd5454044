package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// With its budget spent, a host still tries another upstream where the last one
// couldn't be reached, but no more than maxAttempts in all.
func TestRetryWithoutBudget(t *testing.T) {
	unreachable := fmt.Errorf("dial: %w", upstream.ErrConnect)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		desc    string
		ctx     context.Context
		attempt int
		err     error
		want    bool
	}{
		{"never connected", t.Context(), 1, unreachable, true},
		{"left meanwhile", t.Context(), 1, errNotPlaced, true},
		{"last attempt", t.Context(), maxAttempts, unreachable, false},
		{"deadline passed", ended, 1, unreachable, false},
		{"refused", t.Context(), 1, &upstream.StatusError{Status: 503, NotRun: true}, false},
		{"broken off", t.Context(), 1, errors.New("reset"), false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := &dispatch{retries: admission.NewRetryBudget(0, 0, nil), guard: guard.New(guard.Options{Log: zerolog.Nop()})}
			r := &Request{Repeatable: true, Sink: &heldSink{}}
			is.New(t).Equal(f.mayRetry(tt.ctx, r, tt.attempt, tt.err), tt.want)
		})
	}
}
