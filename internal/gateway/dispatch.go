package gateway

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// dispatch sends the request to upstreams until one answered or no further try
// is permitted.
type dispatch struct {
	gateway *Gateway
}

const (
	// leastUrgent is the last urgency that upstreams know.
	leastUrgent = 9
	// urgencyLevels is how many levels each of the operators' ranks is split in.
	urgencyLevels = 3
)

// priority is the urgency that upstreams are told, 0 to 9. Within each of the
// operators' ranks, work on the smaller models goes first and long prompts on the
// largest one last: an engine reads a prompt of thousands of tokens for hundreds
// of milliseconds, in which nothing behind it begins. Whole routes are put last,
// not single requests, so that a route's largest requests aren't the ones that
// are always late.
func (r *Request) priority(largest bool) int {
	rank := r.rank()
	if (r.Table.LowestRank()+1)*urgencyLevels > leastUrgent+1 {
		// There is no room for levels: the operators' order goes first.
		return min(leastUrgent, rank)
	}
	urgency := urgencyLevels * rank
	switch {
	case largest && r.relativePrompt > 1:
		urgency += 2
	case largest:
		urgency++
	}
	return urgency
}

// rank is the operators' urgency of the request, 0 first.
func (r *Request) rank() int {
	rank := r.Route.Priority
	if r.Account != nil && r.Account.Priority != nil {
		rank = *r.Account.Priority
	}
	return max(0, rank) // a document may count from below 0; work is kept by priority
}

func (d *dispatch) serve(ctx context.Context, r *Request, _ next) error {
	g := d.gateway
	g.budgets.of(r.Service).request()
	r.relativePrompt = g.sizes.of(r.Service).observe(r.Route.Name, r.Prompt.TokensIn)
	models := g.startModels(r)
	var result attemptResult
	for {
		before := result
		var err error
		result, err = d.try(ctx, r, models)
		switch {
		case err != nil && r.attempts > 0 && errors.Is(err, errNoneOpen):
			return d.final(ctx, r, before) // its answer, if there is one
		case err != nil:
			return err
		}
		switch {
		case result.outcome == outcomeDone:
			return d.deliver(r, result)
		case errors.Is(result.err, errLowConfidence):
			models.step()
		}
		if again := d.again(ctx, r, result); !again {
			return d.final(ctx, r, result)
		}
	}
}

// try makes one attempt at the upstream that suits best.
func (d *dispatch) try(ctx context.Context, r *Request, models *modelSteps) (attemptResult, error) {
	if err := d.admit(ctx, r); err != nil {
		return attemptResult{}, err
	}
	defer d.gateway.guard.Leave(r.Digest)
	a, err := d.begin(r, models)
	if err != nil {
		return attemptResult{}, err
	}
	target := a.choice.upstream.guarded()
	d.gateway.guard.Begin(target, r.Digest)
	var result attemptResult
	if r.Route.Kind == routing.Stream {
		result = a.stream(ctx, func(head attemptResult) bool {
			d.gateway.rollouts.head(r, &a.choice, head.firstByte)
			a.headSeen = true
			return d.accept(r, a, models, head)
		})
	} else {
		result = a.whole(ctx)
	}
	if result.outcome != outcomeRefused {
		r.state.Raise(a.state.State())
	}
	d.gateway.guard.End(target, r.Digest, result.guardOutcome())
	if result.missed() {
		r.missed++
	}
	d.learn(r, a, result)
	d.record(r, a, result)
	return result, nil
}

// admit lets the request be sent, unless it is kept away from upstreams or its time is up.
func (d *dispatch) admit(ctx context.Context, r *Request) error {
	if boottime.Until(r.Deadline) <= 0 {
		// The host was suspended since the request came: its timers don't know yet.
		return d.refusal(r, resultcode.New(resultcode.DeadlineExpired, "no answer in time"))
	}
	switch err := d.gateway.guard.Admit(ctx, r.Digest, r.Service); {
	case err == nil:
		return nil
	case errors.Is(err, guard.ErrQuarantined):
		return resultcode.Wrap(resultcode.RequestQuarantined, err, "upstreams ended that ran this request")
	default:
		return d.final(ctx, r, attemptResult{outcome: outcomeAbandoned, err: err})
	}
}

// begin chooses the upstream of the next attempt and how long it may stay silent.
func (d *dispatch) begin(r *Request, models *modelSteps) (*attempt, error) {
	g := d.gateway
	r.model = models.current()
	r.homes = g.homes(r)
	w := d.wants(r, r.model, models.best())
	picked, ok := g.fleet.choose(w)
	if !ok {
		reach := g.fleet.reachOf(r.Service, r.homes)
		g.log.Warn().Str("event", "no-upstream").Str("request", r.ID).Str("service", r.Service).Int("attempt", r.attempts+1).
			Int("in_service", reach.inService).Int("cold", reach.cold).Int("evacuated", reach.evacuated).Int("limited", reach.limited).Bool("bound", r.homes.bound()).Msg("")
		return nil, d.refusal(r, d.noUpstream(r, reach))
	}
	r.attempts++
	r.tried = append(r.tried, picked.upstream.ID)
	another := r.Route.Repeatable() && r.triesLeft() && picked.among > 1
	return &attempt{
		gateway:     g,
		request:     r,
		choice:      picked,
		began:       time.Now(),
		largest:     models.best(),
		headTimeout: max(g.responseTimes.of(r.timesKey()).headTimeout(r.Route.Target), expectedFactor*picked.placed.Expected),
		giveUp:      func() bool { return another && g.budgets.of(r.Service).take() },
	}, nil
}

// errNoneOpen means that no upstream may be sent the request now.
var errNoneOpen = errors.New("gateway: no upstream is open")

// noUpstream is the refusal of a request for which no upstream is open.
func (d *dispatch) noUpstream(r *Request, reach reach) *resultcode.Error {
	if reach.inService == 0 && r.homes.bound() {
		return resultcode.Wrap(resultcode.NoUpstream, errNoneOpen, "no upstream is in service in the regions that the route and the account allow")
	}
	if reach.limited == 0 || reach.limited < reach.inService-reach.cold-reach.evacuated {
		return resultcode.Wrap(resultcode.NoUpstream, errNoneOpen, "no upstream is in service")
	}
	e := resultcode.Wrap(resultcode.UpstreamsLimited, errNoneOpen, "nothing is left of the upstreams' limits")
	e.RetryAfter = d.gateway.fleet.limitWait(r.Service)
	return e
}

// wants is what the choice of an upstream for the request depends on.
func (d *dispatch) wants(r *Request, model string, largest bool) wants {
	g := d.gateway
	w := wants{service: r.Service, zone: g.settings.Zone, exclude: r.tried, rank: r.rank(), homes: r.homes, admits: g.rollouts.admits(r)}
	if r.Prompt.TokensIn > 0 {
		w.prompt = r.Prompt.reading(r.Route.PrefixAffinity)
		w.model = cmp.Or(model, r.Prompt.Model)
		w.keys = placement.Keys(w.model, w.prompt)
		w.price = r.Table.Price(r.Service, w.model)
		w.priority = r.priority(largest)
		w.target = r.Route.Target
		w.bytes = len(r.Body)
	}
	return w
}

// timesKey names the answers whose usual time the request's is compared with.
func (r *Request) timesKey() string { return r.Service + "/" + r.model + "/" + r.Route.Name }

// learn takes in what the attempt tells of its upstream, its model and its
// version.
func (d *dispatch) learn(r *Request, a *attempt, result attemptResult) {
	g := d.gateway
	g.fleet.release(a.choice, result)
	d.hold(r, a, result)
	if result.outcome == outcomeSilent {
		g.responseTimes.of(r.timesKey()).observeSilence(time.Since(a.began))
	}
	if result.outcome != outcomeDone {
		return
	}
	g.responseTimes.of(r.timesKey()).observe(result.firstByte)
}

// hold holds the attempt's end against the upstream's version, or for it. An end of the
// upstream by a request that is to blame says nothing of the version: sound roll-outs
// were stopped by three of them.
func (d *dispatch) hold(r *Request, a *attempt, result attemptResult) {
	g := d.gateway
	if result.outcome != outcomeBroken && result.outcome != outcomeUnknown {
		g.rollouts.observe(r, &a.choice, result, a.headSeen)
		return
	}
	if g.rollouts.judged(r.Service) {
		g.guard.Unexplained(a.choice.upstream.guarded(), guard.Blame{
			Version: func() { g.rollouts.observe(r, &a.choice, result, a.headSeen) },
		})
	}
}

// accept decides by an answer's head whether the caller gets it.
func (d *dispatch) accept(r *Request, a *attempt, models *modelSteps, head attemptResult) bool {
	if r.answer.started || head.confidence < 0 || models.last() || !r.triesLeft() {
		return true
	}
	upgrade, ok := d.gateway.fleet.upgrade(d.wants(r, models.next(), true))
	if !ok {
		return true // no upstream could do better now
	}
	upgrade.Usual = float64(d.gateway.settings.AcceptConfidence)
	upgrade.Expected += boottime.Since(r.Arrived)
	upgrade.Target = r.Route.Target
	a.threshold, a.pressure = int(upgrade.Required()), upgrade.Pressure
	if head.confidence >= a.threshold {
		return true
	}
	return !d.gateway.budgets.of(r.Service).take()
}

// again says whether another attempt is permitted: nothing ran or the request
// may be repeated, and neither the attempts, the time nor the budget are spent.
func (d *dispatch) again(ctx context.Context, r *Request, result attemptResult) bool {
	if ctx.Err() != nil || !r.triesLeft() {
		return false
	}
	if errors.Is(result.err, errLowConfidence) || errors.Is(result.err, errSilent) {
		return true // the budget was taken when the attempt was given up
	}
	if result.outcome == outcomeAbandoned || d.gateway.guard.NearlyJudged(r.Digest) {
		return false
	}
	if r.state.State() != runstate.NotRun && !r.Route.Repeatable() {
		return false
	}
	if r.answer.started && !r.Route.Resumable {
		return false
	}
	if boottime.Until(r.Deadline) < minAttemptTime {
		return false
	}
	if result.outcome == outcomeUnsent {
		return true // no upstream saw it, so it isn't a repeat
	}
	return d.gateway.budgets.of(r.Service).take()
}

// maxMissed bounds the attempts that count for nothing because their upstreams weren't
// there any more. When a quarter of all end at once, a third try finds one in 64 requests
// without an upstream though the others have room.
const maxMissed = 4

// triesLeft says whether the request may be sent to another upstream. Operators bound the
// upstreams that may run it.
func (r *Request) triesLeft() bool {
	return r.attempts-min(r.missed, maxMissed) < r.Route.MaxAttempts
}

// minAttemptTime is the least time that is worth another attempt: a round trip
// and an upstream's shortest work.
const minAttemptTime = 30 * time.Millisecond
