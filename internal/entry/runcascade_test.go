package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// fixedRater rates every answer alike.
type fixedRater float64

func (s fixedRater) Rate(context.Context, string, string, string, string) (storage.Rating, error) {
	return storage.Rating{Score: float64(s)}, nil
}

// newCascade returns a cascade of a cheap and a dear model whose answers all get the rating, and a function
// that makes a request to it.
func newCascade(rating float64) (*runCascade, func(repeatable bool) *Request) {
	doc := &manifest.Document{
		Models: []manifest.Model{
			{Name: "cheap", Versions: []manifest.Version{{Name: "v1", State: manifest.Serving, CompletionPrice: 1_000_000}}},
			{Name: "dear", Versions: []manifest.Version{{Name: "v1", State: manifest.Serving, CompletionPrice: 100_000_000}}},
		},
		Accounts: []manifest.Account{{Name: "a", Models: []manifest.Permission{{Model: "cheap"}, {Model: "dear"}}}},
	}
	policy := manifest.Compile(doc, 1, "")
	account, _ := policy.Account("a")
	f := &runCascade{learner: cascade.NewLearner(cascade.Options{}), rater: fixedRater(rating), plannedStop: plannedstop.New(), log: zerolog.Nop()}
	return f, func(repeatable bool) *Request {
		return &Request{
			Policy: policy, Account: account, Repeatable: repeatable, Sink: &bufferSink{}, Deadline: time.Now().Add(time.Minute),
			Cascade: &manifest.Cascade{Name: "c", Steps: []string{"cheap", "dear"}, Target: 0.7, RaterTimeoutMs: 1000, OnRaterFailure: manifest.Escalate},
		}
	}
}

// A call that may run once must not run at a second model of a cascade because the first model's answer got a low rating.
func TestCallThatMayRunOnceRunsAgainAtLowRating(t *testing.T) {
	f, newRequest := newCascade(0.1)
	for range 300 { // calls that may be repeated, in between, update the statistics
		is := is.New(t)
		var models []string
		next := func(_ context.Context, r *Request) error {
			models = append(models, r.Model)
			r.state.Raise(runstate.Ran)
			return r.Sink.Frame(r, upstream.Frame{Text: r.Model})
		}
		r := newRequest(false)
		is.NoErr(f.Serve(t.Context(), r, next))
		is.Equal(len(models), 1)
		is.Equal(r.Sink.Text(), models[0]) // the answer of the one run
		is.NoErr(f.Serve(t.Context(), newRequest(true), next))
	}
}

// A call that may run once starts at the cheap model once that model's answers have reached the target.
func TestCallThatMayRunOnceUsesCheapModel(t *testing.T) {
	is := is.New(t)
	f, newRequest := newCascade(0.9)
	var model string
	next := func(_ context.Context, r *Request) error {
		model = r.Model
		return nil
	}
	is.NoErr(f.Serve(t.Context(), newRequest(false), next))
	is.Equal(model, "dear")
	f.learner.Observe(cascade.Sample{Cascade: "c", Account: "a", Step: 0, Rating: 0.9, Latency: time.Second})
	is.NoErr(f.Serve(t.Context(), newRequest(false), next))
	is.Equal(model, "cheap")
}

// If a step fails, a call that may run once goes on to the next step only if it certainly didn't run.
func TestCallThatMayRunOnceRunsAgainAfterAFailure(t *testing.T) {
	for state, want := range map[runstate.State]int{runstate.NotRun: 2, runstate.MayHaveRun: 1, runstate.Ran: 1} {
		t.Run(state.String(), func(t *testing.T) {
			is := is.New(t)
			f, newRequest := newCascade(0.9)
			f.learner.Observe(cascade.Sample{Cascade: "c", Account: "a", Step: 0, Rating: 0.9, Latency: time.Second})
			runs := 0
			err := f.Serve(t.Context(), newRequest(false), func(_ context.Context, r *Request) error {
				runs++
				r.state.Raise(state)
				return resultcode.New(resultcode.OutcomeUnknown, "no complete answer came")
			})
			is.True(err != nil)
			is.Equal(runs, want)
		})
	}
}
