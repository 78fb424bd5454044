package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// A cascade held a whole answer with a low rating while its next step ran, and lost it when the end of a planned stop ended that
// step: the caller got an error. The whole answer is sent.
func TestCascadeLosesItsAnswerAtTheEndOfAStop(t *testing.T) {
	for _, steps := range [][]string{{"cheap", "dear"}, {"cheap", "dear", "dear"}} {
		is := is.New(t)
		f, newRequest := newCascade(0.1)
		f.learner.Observe(cascade.Sample{Cascade: "c", Account: "a", Step: 0, Rating: 0.9, Latency: time.Second}) // starts at the first step
		stop := plannedstop.New()
		ctx, release := stop.RequestContext(t.Context())
		defer release()
		r := newRequest(true)
		r.Cascade.Steps = steps
		runs := 0
		err := f.Serve(ctx, r, func(ctx context.Context, r *Request) error {
			r.state.Raise(runstate.Ran)
			if runs++; runs == 1 {
				return r.Sink.Frame(r, upstream.Frame{Text: r.Model})
			}
			is.NoErr(stop.EndRequests(&http.Server{}, func() {}))
			<-ctx.Done()
			return resultcode.Wrap(resultcode.HostStopping, context.Cause(ctx), "the planned stop's time was over")
		})
		is.NoErr(err)
		is.Equal(runs, 2)
		is.Equal(r.Sink.Text(), "cheap")
		is.True(r.BelowTarget)
	}
}
