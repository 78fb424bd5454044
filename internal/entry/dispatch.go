package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/intake"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const (
	// maxAttempts is the maximum number of times that one request is sent to
	// upstreams.
	maxAttempts = 3
	// meanRetryDelay is the mean of the jittered delay before another attempt.
	meanRetryDelay = 20 * time.Millisecond
)

// dispatch picks an upstream, sends the request and copies the answer to the sink. It
// retries a request only before the first byte of an answer is sent to the caller, and
// only if the request certainly didn't run or may be repeated.
type dispatch struct {
	watcher *config.Watcher
	pool    *balance.Pool
	engine  upstream.Engine
	service upstream.Service
	retries *admission.RetryBudget
	// guard blocks poison requests, whose runs terminate upstreams.
	guard       *guard.Guard
	plannedStop *plannedstop.Stop
	metrics     *requestMetrics
	log         zerolog.Logger
	zone        string
}

// Serve implements Filter.
func (f *dispatch) Serve(ctx context.Context, r *Request, _ Next) error {
	f.retries.Deposit()
	r.digest = r.quarantineContent().Digest()
	began := time.Now()
	var exclude []string
	for attempt := 1; ; attempt++ {
		choice, err := f.tryAttempt(ctx, r, exclude)
		var refused notAttemptedError
		switch {
		case err == nil:
			f.plannedStop.ObserveRequest(r.poolName(), time.Since(began))
			return nil
		case errors.As(err, &refused) && f.awaitUpstream(ctx, r, refused, exclude):
			attempt-- // nothing was sent
			continue
		case errors.As(err, &refused):
			return refused.error
		}
		if !f.mayRetry(ctx, r, attempt, err) {
			return attemptError(ctx, r, err)
		}
		f.log.Warn().Str("event", "retry").Str("request", r.ID).Str("upstream", choice.Upstream.ID).
			Str("run_state", r.state.State().String()).Err(err).Msg("")
		exclude = append(exclude, choice.Upstream.ID)
		r.Sink.Reset()
		if !waitBeforeRetry(ctx) {
			return attemptError(ctx, r, err)
		}
	}
}

// notAttemptedError wraps an error that refuses the request before an attempt has
// begun.
type notAttemptedError struct{ error }

// Unwrap returns the wrapped error.
func (e notAttemptedError) Unwrap() error { return e.error }

// tryAttempt chooses an upstream and makes one attempt. It returns an error without an
// attempt if the request is quarantined or no upstream can be chosen.
func (f *dispatch) tryAttempt(ctx context.Context, r *Request, exclude []string) (balance.Choice, error) {
	if err := f.checkQuarantine(ctx, r); err != nil {
		return balance.Choice{}, notAttemptedError{err}
	}
	defer f.guard.Leave(r.digest)
	choice, err := f.chooseUpstream(r, exclude)
	if err != nil {
		return choice, notAttemptedError{err}
	}
	return choice, f.attempt(ctx, r, choice)
}

// chooseUpstream picks the upstream of one attempt under the manifest in force now.
func (f *dispatch) chooseUpstream(r *Request, exclude []string) (balance.Choice, error) {
	if err := f.checkPermitted(r); err != nil {
		return balance.Choice{}, err
	}
	if err := f.lateRefusal(r); err != nil {
		return balance.Choice{}, err
	}
	choice, ok := f.pool.Choose(f.balanceRequest(r, exclude))
	f.logUpstreamChoice(r, choice, ok)
	if !ok {
		return choice, f.noUpstreamError(r)
	}
	return choice, nil
}

// lateRefusal returns the refusal of a request that isn't expected to end before a planned stop does; nil otherwise, and for
// requests that have begun.
func (f *dispatch) lateRefusal(r *Request) error {
	if !r.progress().MayRefuse() || f.plannedStop.Admits(r.poolName(), r.Deadline, time.Now()) {
		return nil
	}
	return resultcode.New(resultcode.HostStopping, "this host is stopping, and the request usually takes longer")
}

// noUpstreamError returns the refusal of a request for which no upstream can be chosen.
func (f *dispatch) noUpstreamError(r *Request) error {
	wait, ok := f.pool.BackoffWait(f.balanceRequest(r, nil))
	if !ok {
		return resultcode.New(resultcode.NoUpstream, "no upstream in service for %s", r.Route)
	}
	e := resultcode.New(resultcode.UpstreamsBackingOff, "all upstreams for %s accept no requests for some time", r.Route)
	e.RetryAfter = notice.RetryAfterRefusal(wait)
	return e
}

// awaitUpstream waits until an upstream that the request wasn't sent to is expected to accept it, if the request has begun and was
// refused since all of these back off. It returns false if none is expected in time.
func (f *dispatch) awaitUpstream(ctx context.Context, r *Request, refusal error, exclude []string) bool {
	if code := resultcode.FromError(refusal).Code; code != resultcode.NoUpstream && code != resultcode.UpstreamsBackingOff {
		return false
	}
	expected, ok := f.pool.BackoffWait(f.balanceRequest(r, exclude))
	if !ok || !r.progress().ShouldWait(expected, f.plannedStop.TimeLeft(r.Deadline, time.Now())) {
		return false
	}
	return wait.For(ctx, max(expected, failover.MinWait)) == nil
}

// checkPermitted returns an error if a manifest that came into force after the
// version was chosen no longer permits it.
func (f *dispatch) checkPermitted(r *Request) error {
	policy, err := currentPolicy(f.watcher)
	if err != nil {
		return err
	}
	if policy == r.Policy || r.Kind == KindService {
		return nil
	}
	for _, v := range policy.PermittedVersions(r.Account.Name, r.Model) {
		if v.Name == r.Version.Name {
			r.Policy = policy
			return nil
		}
	}
	return resultcode.Wrap(resultcode.NoPermittedVersion, errVersionWithdrawn, "version %s of %s was withdrawn meanwhile", r.Version.Name, r.Model)
}

// errVersionWithdrawn means that the version of a request was withdrawn between its choice and an attempt.
var errVersionWithdrawn = errors.New("the version was withdrawn")

func (f *dispatch) balanceRequest(r *Request, exclude []string) *balance.Request {
	req := &balance.Request{Zone: f.zone, SessionID: r.Session.ID, Exclude: exclude}
	if r.Kind == KindService {
		req.Service = r.Route
		return req
	}
	req.Model = r.Model
	req.Version = r.Version.Name
	if r.prefixHashes == nil {
		r.prefixHashes = balance.PrefixHashes(r.Prompt)
	}
	req.PrefixHashes = r.prefixHashes
	return req
}

// attempt sends the request once.
func (f *dispatch) attempt(ctx context.Context, r *Request, choice balance.Choice) error {
	id := choice.Upstream.ID
	if !f.pool.Begin(id) {
		return errUpstreamLeft
	}
	f.pool.Index().RecordSent(id, r.prefixHashes)
	r.Target = upstream.Target{ID: id, Address: choice.Upstream.Address}
	r.Attempts++
	started := time.Now()
	target := guardUpstream(choice.Upstream)
	f.guard.Begin(target, r.digest)
	err := f.run(ctx, r)
	f.observeBrokenAnswer(ctx, r, err)
	result := guardOutcome(ctx, err)
	f.guard.End(target, r.digest, result)
	if result == guard.Interrupted {
		r.brokenUpstream = &target
	}
	r.Faulted = r.Faulted || countsAgainstVersion(ctx, err)
	if f.pool.End(id, f.balanceOutcome(ctx, r, started, err)) {
		f.log.Info().Str("event", "upstream-backoff-ended").Str("upstream", id).Str("request", r.ID).Msg("")
	}
	return err
}

// observeBrokenAnswer logs and counts an answer that isn't whole or not valid.
func (f *dispatch) observeBrokenAnswer(ctx context.Context, r *Request, err error) {
	fault := answerFault(err)
	if fault == "" || ctx.Err() != nil {
		return
	}
	f.metrics.countBrokenAnswer(fault)
	f.log.Warn().Str("event", "broken-answer").Str("request", r.ID).Str("upstream", r.Target.ID).Int("attempt", r.Attempts).
		Str("fault", string(fault)).Str("run_state", r.state.State().String()).Err(err).Msg("")
}

// errUpstreamLeft means that the upstream stopped accepting requests between the choice
// and the sending of the request.
var errUpstreamLeft = errors.New("the upstream accepts no requests by now")

// errNotTaken means that the sink didn't take a part of the answer, which is no fault of the upstream's.
var errNotTaken = errors.New("the answer wasn't taken")

// run sends the request and records how far it may have progressed.
func (f *dispatch) run(ctx context.Context, r *Request) (err error) {
	var attempt runstate.Tracker
	err = errPanicked
	defer func() {
		r.state.Raise(attempt.State())
		if !statesNotRun(err) {
			r.effect.Raise(attempt.State())
		}
	}()
	if r.Kind == KindService {
		err = f.runService(ctx, r, &attempt)
	} else {
		err = f.runModel(ctx, r, &attempt)
	}
	return err
}

func (f *dispatch) runService(ctx context.Context, r *Request, attempt *runstate.Tracker) error {
	call := r.Service
	call.Reserve = func(bytes int64) bool { return r.Conn.Reserve(intake.ForAnswer, bytes) }
	call.RequestID = attemptID(r)
	call.Body = r.Body
	answer, err := f.service.Do(ctx, r.Target, call, attempt)
	if err != nil {
		return err
	}
	// An answer that states, or by its status guarantees, that the service didn't run the call isn't the result of the
	// request, so it must not be billed or stored in the claim.
	if e := answer.StatusError(); e.NotRun || !attempt.State().PermitsStatus(e.Status) {
		return e
	}
	r.Sink.Service(r, answer)
	return nil
}

func (f *dispatch) runModel(ctx context.Context, r *Request, attempt *runstate.Tracker) error {
	r.FirstFrame = time.Time{}
	err := f.stream(ctx, r, attempt)
	if err == nil {
		r.Steps = append(r.Steps, newStep(r))
	}
	return err
}

func (f *dispatch) stream(ctx context.Context, r *Request, attempt *runstate.Tracker) error {
	stream, err := f.engine.Open(ctx, r.Target, f.modelCall(r), attempt)
	if err != nil {
		return err
	}
	defer stream.Close()
	if load, ok := stream.Load(); ok {
		f.pool.Report(r.Target.ID, load, time.Now())
	}
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) {
			r.Usage = stream.Usage()
			return nil
		}
		if err != nil {
			return err
		}
		if r.FirstFrame.IsZero() {
			r.FirstFrame = time.Now()
		}
		if err := r.Sink.Frame(r, frame); err != nil {
			return resultcode.Wrap(resultcode.CallerGone, errors.Join(errNotTaken, err), "the caller left")
		}
	}
}

func (f *dispatch) modelCall(r *Request) upstream.Call {
	return upstream.Call{
		RequestID:  attemptID(r),
		Model:      r.Model,
		Version:    r.Version.Name,
		Body:       r.Body,
		Priority:   r.Priority,
		Deadline:   r.Deadline,
		Idempotent: r.Repeatable,
	}
}

// attemptID returns the request ID that the current attempt sends to its upstream. It
// is different for each attempt, so that late frames of an earlier attempt aren't
// taken for frames of the current attempt.
func attemptID(r *Request) string {
	return r.ID + "." + strconv.Itoa(r.Attempts)
}

func (f *dispatch) balanceOutcome(ctx context.Context, r *Request, started time.Time, err error) balance.Outcome {
	var status *upstream.StatusError
	o := balance.Outcome{Failed: err != nil && ctx.Err() == nil && !errors.Is(err, errNotTaken), SentAt: started, Withheld: errors.Is(err, upstream.ErrWithheld)}
	if errors.As(err, &status) {
		o.Leaving = status.Leaving
		o.Refused = true
	}
	if !r.FirstFrame.IsZero() {
		o.TimeToFirstToken = r.FirstFrame.Sub(started)
	}
	return o
}

// mayRetry reports whether the request may be sent again, and charges the retry to the
// retry budget if necessary. An attempt that couldn't connect put no load on an upstream,
// so a retry after such an attempt isn't charged. If it were, the budget would run out
// when many upstreams fail at once.
func (f *dispatch) mayRetry(ctx context.Context, r *Request, attempt int, err error) bool {
	switch {
	case ctx.Err() != nil, attempt >= maxAttempts, r.Sink.Started(), f.guard.VerdictDue(r.digest):
		return false
	case !r.mayRunAgain(), errors.Is(err, errNotTaken):
		return false
	case errors.Is(err, upstream.ErrNotSent), errors.Is(err, errUpstreamLeft):
		return true
	default:
		return f.retries.Withdraw()
	}
}

func waitBeforeRetry(ctx context.Context) bool {
	return wait.For(ctx, rand.N(2*meanRetryDelay)) == nil
}

func (f *dispatch) logUpstreamChoice(r *Request, c balance.Choice, ok bool) {
	event := f.log.Info().
		Str("event", "place").
		Str("request", r.ID).
		Str("route", r.Route).
		Str("version", r.Version.Name).
		Bool("found", ok).
		Int("among", c.Eligible).
		Int("attempt", r.Attempts+1)
	if ok {
		event = event.Str("upstream", c.Upstream.ID).Str("zone", c.Upstream.Zone).Float64("score", c.Score)
	}
	for _, d := range c.Dropped {
		event = event.Int("dropped_"+d.Filter, d.Count)
	}
	event.Msg("")
}
