package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// cascadeSteps runs a cascade: a cheap answer is held back until it is rated,
// and goes to the caller only when it is accepted.
type cascadeSteps struct {
	learner *cascade.Learner
	rater   storage.Rater
	log     zerolog.Logger
}

// Serve implements Filter.
func (f *cascadeSteps) Serve(ctx context.Context, r *Request, next Next) error {
	if r.Cascade == nil {
		return next(ctx, r)
	}
	steps := f.permittedSteps(r)
	if len(steps) == 0 {
		return resultcode.New(resultcode.ModelNotPermitted, "the account may use no model of cascade %q", r.Cascade.Name)
	}
	plan := f.learner.Decide(f.view(r, steps))
	f.logPlan(r, plan, len(steps))
	caller := r.Sink
	defer func() { r.Sink = caller }()
	last := len(steps) - 1
	var best *heldAnswer
	for i := plan.Start; i < last; i++ {
		r.Model = steps[i]
		held, accepted, err := f.try(ctx, r, next, plan, i)
		if err != nil {
			return err
		}
		if accepted {
			return held.release(r, caller)
		}
		best = better(best, held)
	}
	r.Model = steps[last]
	r.Sink = caller
	err := f.last(ctx, r, next, plan, last)
	if err == nil || best == nil || caller.Started() || ctx.Err() != nil {
		return err
	}
	// The last step failed, and an answer below the target is better than none.
	f.logStep(r, last, "failed", 0, err)
	caller.Reset()
	r.BelowTarget = true
	return best.release(r, caller)
}

// permittedSteps leaves out the models that the account may not use.
func (f *cascadeSteps) permittedSteps(r *Request) []string {
	steps := make([]string, 0, len(r.Cascade.Steps))
	for _, model := range r.Cascade.Steps {
		if permitsModel(r, model) {
			steps = append(steps, model)
		}
	}
	return steps
}

const (
	// bytesPerToken is the usual length of a token, to guess a prompt's.
	bytesPerToken = 4
	// expectedCompletion is the guessed length of an answer in tokens.
	expectedCompletion = 256
)

func (f *cascadeSteps) view(r *Request, steps []string) cascade.View {
	tokens := len(r.Prompt) / bytesPerToken
	info := make([]cascade.StepInfo, len(steps))
	for i, model := range steps {
		info[i].Cost = expectedCost(r, model, tokens)
	}
	return cascade.View{
		Cascade:        r.Cascade.Name,
		Account:        r.Account.Name,
		Class:          r.Class.Name,
		Remaining:      time.Until(r.Deadline),
		PromptTokens:   tokens,
		Steps:          info,
		Target:         r.Cascade.Target,
		RaterTimeout:   time.Duration(r.Cascade.RaterTimeoutMs) * time.Millisecond,
		OnRaterFailure: r.Cascade.OnRaterFailure,
	}
}

// expectedCost is what an answer of the model's first open version would cost.
func expectedCost(r *Request, model string, promptTokens int) float64 {
	versions := r.Policy.Permitted(r.Account.Name, model)
	if len(versions) == 0 {
		return 0
	}
	usage := upstream.Usage{PromptTokens: promptTokens, CompletionTokens: expectedCompletion}
	return float64(cost(versions[0], usage))
}

// last runs the final step straight into the caller's sink.
func (f *cascadeSteps) last(ctx context.Context, r *Request, next Next, plan cascade.Plan, step int) error {
	started := time.Now()
	err := next(ctx, r)
	if err == nil {
		f.learn(r, plan, step, cascade.Unrated, time.Since(started))
	}
	return err
}

// try runs a step that is not the last, and says whether its answer is to be
// taken. A failed step gives no answer and goes on to the next one while the
// request may be repeated.
func (f *cascadeSteps) try(ctx context.Context, r *Request, next Next, plan cascade.Plan, step int) (*heldAnswer, bool, error) {
	held := &heldSink{}
	r.Sink = held
	started := time.Now()
	if err := next(ctx, r); err != nil {
		if ctx.Err() != nil || !r.Repeatable {
			return nil, false, err
		}
		f.logStep(r, step, "failed", 0, err)
		return nil, false, nil
	}
	took := time.Since(started)
	score, err := f.rate(ctx, r, plan, held.Text())
	if err != nil {
		score = cascade.Unrated
	}
	f.learn(r, plan, step, score, took)
	accepted := accepts(r.Cascade, score, err)
	f.logStep(r, step, verdict(accepted), score, err)
	return newHeldAnswer(r, held, score), accepted, nil
}

// accepts says whether a cheap answer is taken.
func accepts(c *manifest.Cascade, score float64, err error) bool {
	if err != nil {
		return c.OnRaterFailure == manifest.Accept
	}
	return cascade.Accept(score, c.Target)
}

func (f *cascadeSteps) rate(ctx context.Context, r *Request, plan cascade.Plan, answer string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, plan.RaterTimeout)
	defer cancel()
	started := time.Now()
	rating, err := f.rater.Rate(ctx, r.Model, r.Version.Name, r.Prompt, answer)
	f.learner.ObserveRater(time.Since(started), err == nil)
	return rating.Score, err
}

func (f *cascadeSteps) learn(r *Request, plan cascade.Plan, step int, rating float64, took time.Duration) {
	f.learner.Observe(cascade.Sample{
		Cascade:      r.Cascade.Name,
		Account:      r.Account.Name,
		Class:        r.Class.Name,
		PromptTokens: len(r.Prompt) / bytesPerToken,
		Step:         step,
		Escalated:    step > plan.Start,
		Rating:       rating,
		Latency:      took,
	})
}

func verdict(accepted bool) string {
	if accepted {
		return "accepted"
	}
	return "escalated"
}

func (f *cascadeSteps) logPlan(r *Request, plan cascade.Plan, steps int) {
	f.log.Info().
		Str("event", "cascade-plan").
		Str("request", r.ID).
		Str("cascade", r.Cascade.Name).
		Int("start", plan.Start).
		Int("steps", steps).
		Str("reason", string(plan.Reason)).
		Float64("expected_cost", plan.Cost).
		Dur("expected_delay_ms", plan.Delay).
		Msg("")
}

func (f *cascadeSteps) logStep(r *Request, step int, verdict string, score float64, err error) {
	event := f.log.Info().
		Str("event", "cascade").
		Str("request", r.ID).
		Str("cascade", r.Cascade.Name).
		Int("step", step).
		Str("model", r.Model).
		Str("version", r.Version.Name).
		Str("verdict", verdict).
		Float64("score", score)
	if err != nil {
		event = event.AnErr("error", err)
	}
	event.Msg("")
}
