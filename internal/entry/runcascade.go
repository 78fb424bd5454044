package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// runCascade runs the steps of a cascade in order. It buffers the answer of every
// step but the last until the answer is rated, and sends it to the caller if it is
// accepted. If a later step fails, is ended by a planned stop or wouldn't end before it, the
// buffered answer with the highest rating is sent instead. A request that may run once runs at one step only, which is chosen
// beforehand.
type runCascade struct {
	learner     *cascade.Learner
	rater       storage.Rater
	plannedStop *plannedstop.Stop
	log         zerolog.Logger
}

// Serve implements Filter.
func (f *runCascade) Serve(ctx context.Context, r *Request, next Next) error {
	if r.Cascade == nil {
		return next(ctx, r)
	}
	steps := f.permittedSteps(r)
	if len(steps) == 0 {
		return resultcode.New(resultcode.ModelNotPermitted, "the account may use no model of cascade %q", r.Cascade.Name)
	}
	plan := f.learner.Decide(f.planInput(r, steps))
	f.logPlan(r, plan, len(steps))
	if !r.mayDropAnswer() {
		return f.runOnce(ctx, r, next, steps, plan)
	}
	caller := r.Sink
	defer func() { r.Sink = caller }()
	last := len(steps) - 1
	var best *bufferedAnswer
	for i := plan.Start; i < last; i++ {
		r.Model = steps[i]
		if best != nil && !f.mayEscalate(r) {
			return f.deliverBest(r, caller, best, i, nil)
		}
		answer, accepted, err := f.tryStep(ctx, r, next, plan, i)
		if err != nil && best != nil && plannedstop.HasEnded(ctx) {
			return f.deliverBest(r, caller, best, i, err)
		}
		if err != nil {
			return err
		}
		if accepted {
			return answer.deliver(r, caller)
		}
		best = higherScored(best, answer)
	}
	r.Model = steps[last]
	r.Sink = caller
	if best != nil && !f.mayEscalate(r) {
		return f.deliverBest(r, caller, best, last, nil)
	}
	err := f.runUnbuffered(ctx, r, next, plan, last)
	if err == nil || best == nil || caller.Started() || ctx.Err() != nil && !plannedstop.HasEnded(ctx) {
		return err
	}
	return f.deliverBest(r, caller, best, last, err)
}

// mayEscalate reports whether the request, for which there is an answer, may run at the step of its model, too.
func (f *runCascade) mayEscalate(r *Request) bool {
	now := time.Now()
	return failover.MayEndRun(failover.Confidence, failover.Successor{
		Repeatable:     r.Repeatable,
		AttemptsLeft:   true,
		TimeLeft:       f.plannedStop.TimeLeft(r.Deadline, now),
		EndsBeforeStop: f.plannedStop.Admits(r.poolName(), r.Deadline, now),
	})
}

// deliverBest sends the buffered answer with the highest rating although it wasn't accepted, since the given step
// isn't run or ended with the error.
func (f *runCascade) deliverBest(r *Request, caller Sink, best *bufferedAnswer, step int, err error) error {
	outcome := "failed"
	if err == nil {
		outcome = "omitted"
	}
	f.logStep(r, step, outcome, 0, err)
	caller.Reset()
	r.BelowTarget = true
	return best.deliver(r, caller)
}

// permittedSteps returns the cascade's models that the account may use.
func (f *runCascade) permittedSteps(r *Request) []string {
	steps := make([]string, 0, len(r.Cascade.Steps))
	for _, model := range r.Cascade.Steps {
		if permitsModel(r, model) {
			steps = append(steps, model)
		}
	}
	return steps
}

const (
	// bytesPerToken is the assumed average length of a token, from which the number
	// of tokens in a prompt is estimated.
	bytesPerToken = 4
	// expectedCompletionTokens is the assumed number of tokens in an answer.
	expectedCompletionTokens = 256
)

func (f *runCascade) planInput(r *Request, steps []string) cascade.View {
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
		SingleRun:      !r.mayDropAnswer(),
	}
}

// expectedCost returns the estimated cost of an answer by the model's first
// permitted version.
func expectedCost(r *Request, model string, promptTokens int) float64 {
	versions := r.Policy.PermittedVersions(r.Account.Name, model)
	if len(versions) == 0 {
		return 0
	}
	usage := upstream.Usage{PromptTokens: promptTokens, CompletionTokens: expectedCompletionTokens}
	return float64(usageCost(versions[0], usage))
}

// runOnce runs the plan's first step for a request whose answer can't be replaced. Later
// steps run only if the earlier ones certainly didn't run the request.
func (f *runCascade) runOnce(ctx context.Context, r *Request, next Next, steps []string, plan cascade.Plan) error {
	for i := plan.Start; ; i++ {
		r.Model = steps[i]
		err := f.runUnbuffered(ctx, r, next, plan, i)
		if err == nil || i == len(steps)-1 || ctx.Err() != nil || r.Sink.Started() || !r.mayRunAgain() {
			return err
		}
		f.logStep(r, i, "failed", 0, err)
		r.Sink.Reset()
	}
}

// runUnbuffered runs a step that writes directly to the request's sink.
func (f *runCascade) runUnbuffered(ctx context.Context, r *Request, next Next, plan cascade.Plan, step int) error {
	started := time.Now()
	err := next(ctx, r)
	if err == nil {
		f.recordSample(r, plan, step, cascade.Unrated, time.Since(started))
	}
	return err
}

// tryStep runs a step before the last one and reports whether its answer is
// accepted. If the step fails and the request may be repeated, it returns no answer
// and no error, so that the next step runs.
func (f *runCascade) tryStep(ctx context.Context, r *Request, next Next, plan cascade.Plan, step int) (*bufferedAnswer, bool, error) {
	buffer := &bufferSink{}
	r.Sink = buffer
	started := time.Now()
	if err := next(ctx, r); err != nil {
		if ctx.Err() != nil || !r.mayRunAgain() {
			return nil, false, err
		}
		f.logStep(r, step, "failed", 0, err)
		return nil, false, nil
	}
	latency := time.Since(started)
	score, err := f.rate(ctx, r, plan, buffer.Text())
	if err != nil {
		score = cascade.Unrated
	}
	f.recordSample(r, plan, step, score, latency)
	accepted := acceptsAnswer(r.Cascade, score, err)
	f.logStep(r, step, stepOutcome(accepted), score, err)
	return newBufferedAnswer(r, buffer, score), accepted, nil
}

// acceptsAnswer reports whether a step's answer is accepted: if its score meets the
// cascade's target or, if the rater failed with err, if the manifest sets
// OnRaterFailure to Accept.
func acceptsAnswer(c *manifest.Cascade, score float64, err error) bool {
	if err != nil {
		return c.OnRaterFailure == manifest.Accept
	}
	return cascade.IsAccepted(score, c.Target)
}

func (f *runCascade) rate(ctx context.Context, r *Request, plan cascade.Plan, answer string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, plan.RaterTimeout)
	defer cancel()
	started := time.Now()
	rating, err := f.rater.Rate(ctx, r.Model, r.Version.Name, r.Prompt, answer)
	f.learner.ObserveRater(time.Since(started), err == nil)
	return rating.Score, err
}

func (f *runCascade) recordSample(r *Request, plan cascade.Plan, step int, rating float64, latency time.Duration) {
	f.learner.Observe(cascade.Sample{
		Cascade:      r.Cascade.Name,
		Account:      r.Account.Name,
		Class:        r.Class.Name,
		PromptTokens: len(r.Prompt) / bytesPerToken,
		Step:         step,
		Escalated:    step > plan.Start,
		Rating:       rating,
		Latency:      latency,
	})
}

func stepOutcome(accepted bool) string {
	if accepted {
		return "accepted"
	}
	return "escalated"
}

func (f *runCascade) logPlan(r *Request, plan cascade.Plan, steps int) {
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

func (f *runCascade) logStep(r *Request, step int, outcome string, score float64, err error) {
	event := f.log.Info().
		Str("event", "cascade").
		Str("request", r.ID).
		Str("cascade", r.Cascade.Name).
		Int("step", step).
		Str("model", r.Model).
		Str("version", r.Version.Name).
		Str("verdict", outcome).
		Float64("score", score)
	if err != nil {
		event = event.AnErr("error", err)
	}
	event.Msg("")
}
