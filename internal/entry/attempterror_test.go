package entry

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Only what an upstream sent counts as a fault of its answer, and an invalid answer isn't evidence against its request.
func TestFaultsOfAnswers(t *testing.T) {
	is := is.New(t)
	invalid := fmt.Errorf("%w: %w", upstream.ErrBroken, responsecheck.CheckHead(1, 0, nil))
	for _, test := range []struct {
		err     error
		fault   responsecheck.Fault
		outcome guard.Outcome
	}{
		{nil, "", guard.Answered},
		{invalid, responsecheck.Status, guard.Answered},
		{fmt.Errorf("%w: %w", upstream.ErrBroken, io.ErrUnexpectedEOF), responsecheck.CutOff, guard.Interrupted},
		{fmt.Errorf("%w: x", upstream.ErrMismatch), responsecheck.OtherRequest, guard.Interrupted},
		{fmt.Errorf("%w: x", upstream.ErrTooLarge), responsecheck.TooLong, guard.Interrupted},
		{fmt.Errorf("%w: %w", upstream.ErrBroken, context.Canceled), "", guard.Interrupted},
		{&upstream.StatusError{Status: 500}, "", guard.Answered},
		{upstream.ErrNotSent, "", guard.NotRun},
	} {
		is.Equal(answerFault(test.err), test.fault)
		is.Equal(guardOutcome(t.Context(), test.err), test.outcome)
	}
}
