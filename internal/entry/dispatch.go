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
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const (
	// maxAttempts bounds how often one request is sent.
	maxAttempts = 3
	// retryPause is the mean of the jittered pause before another attempt.
	retryPause = 20 * time.Millisecond
)

// dispatch chooses an upstream, sends the request and moves the answer into
// the sink. It sends again only what is known not to have run or may be
// repeated, and only before the caller saw a byte of an answer.
type dispatch struct {
	watcher *config.Watcher
	pool    *balance.Pool
	engine  upstream.Engine
	service upstream.Service
	retries *admission.RetryBudget
	// guard keeps requests that end upstreams away from them.
	guard *guard.Guard
	// leaving tells the other hosts of an upstream that said it is leaving.
	leaving func(upstreamID string)
	log     zerolog.Logger
	zone    string
}

// Serve implements Filter.
func (f *dispatch) Serve(ctx context.Context, r *Request, _ Next) error {
	f.retries.Deposit()
	r.digest = r.content().Digest()
	var exclude []string
	for attempt := 1; ; attempt++ {
		choice, err := f.tryOnce(ctx, r, exclude)
		var refused errNotTried
		switch {
		case err == nil:
			return nil
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
		if !pause(ctx) {
			return attemptError(ctx, r, err)
		}
	}
}

// errNotTried is the error of an attempt that wasn't made: the request is refused.
type errNotTried struct{ error }

// Unwrap returns the refusal.
func (e errNotTried) Unwrap() error { return e.error }

// tryOnce makes one attempt, if the request may be sent at all.
func (f *dispatch) tryOnce(ctx context.Context, r *Request, exclude []string) (balance.Choice, error) {
	if err := f.admitted(ctx, r); err != nil {
		return balance.Choice{}, errNotTried{err}
	}
	defer f.guard.Leave(r.digest)
	choice, err := f.place(r, exclude)
	if err != nil {
		return choice, errNotTried{err}
	}
	return choice, f.attempt(ctx, r, choice)
}

// place chooses the upstream of one attempt, under the manifest in force now.
func (f *dispatch) place(r *Request, exclude []string) (balance.Choice, error) {
	if err := f.stillPermitted(r); err != nil {
		return balance.Choice{}, err
	}
	choice, ok := f.pool.Choose(f.placement(r, exclude))
	f.logPlacement(r, choice, ok)
	if !ok {
		return choice, resultcode.New(resultcode.NoUpstream, "no upstream in service for %s", r.Route)
	}
	return choice, nil
}

// stillPermitted guards each attempt against a manifest that came since the
// version was chosen.
func (f *dispatch) stillPermitted(r *Request) error {
	policy, err := currentPolicy(f.watcher)
	if err != nil {
		return err
	}
	if policy == r.Policy || r.Kind == KindService {
		return nil
	}
	for _, v := range policy.Permitted(r.Account.Name, r.Model) {
		if v.Name == r.Version.Name {
			r.Policy = policy
			return nil
		}
	}
	return resultcode.New(resultcode.NoPermittedVersion, "version %s of %s was withdrawn meanwhile", r.Version.Name, r.Model)
}

func (f *dispatch) placement(r *Request, exclude []string) *balance.Request {
	req := &balance.Request{Zone: f.zone, SessionID: r.Session.ID, Exclude: exclude}
	if r.Kind == KindService {
		req.Service = r.Route
		return req
	}
	req.Model = r.Model
	req.Version = r.Version.Name
	if r.prefix == nil {
		r.prefix = balance.PrefixHashes(r.Prompt)
	}
	req.PrefixHashes = r.prefix
	return req
}

// attempt sends the request once.
func (f *dispatch) attempt(ctx context.Context, r *Request, choice balance.Choice) error {
	id := choice.Upstream.ID
	if !f.pool.Begin(id) {
		return errNotPlaced
	}
	f.pool.Index().Sent(id, r.prefix)
	r.Target = upstream.Target{ID: id, Address: choice.Upstream.Address}
	r.Attempts++
	started := time.Now()
	target := guarded(choice.Upstream)
	f.guard.Begin(target, r.digest)
	var err error
	if r.Kind == KindService {
		err = f.runService(ctx, r)
	} else {
		err = f.runModel(ctx, r)
	}
	how := guardOutcome(ctx, err)
	f.guard.End(target, r.digest, how)
	if how == guard.Interrupted {
		r.brokeAt = &target
	}
	r.Faulted = r.Faulted || faults(ctx, err)
	outcome := f.outcome(ctx, r, started, err)
	if outcome.Leaving {
		f.leaving(id)
	}
	f.pool.End(id, outcome)
	return err
}

// errNotPlaced means that the upstream left between its choice and the send.
var errNotPlaced = errors.New("the upstream has left")

func (f *dispatch) runService(ctx context.Context, r *Request) error {
	call := r.Service
	call.RequestID = attemptID(r)
	call.Body = r.Body
	answer, err := f.service.Do(ctx, r.Target, call, &r.state)
	if err != nil {
		return err
	}
	if answer.Header.Get(upstream.HeaderNotRun) == headerTrue {
		return notBegun(answer)
	}
	r.Sink.Service(r, answer)
	return nil
}

// headerTrue is the value of a header that states something.
const headerTrue = "1"

// notBegun is the error for an answer in which a service states that it didn't
// begin the call. It is no answer to the caller's request, so neither a bill
// nor a claim may take it for one.
func notBegun(answer upstream.ServiceAnswer) error {
	return &upstream.StatusError{
		Status:  answer.Status,
		Leaving: answer.Header.Get(upstream.HeaderLeaving) == headerTrue,
		NotRun:  true,
	}
}

func (f *dispatch) runModel(ctx context.Context, r *Request) error {
	r.FirstFrame = time.Time{}
	err := f.stream(ctx, r)
	if err == nil {
		r.Steps = append(r.Steps, step(r))
	}
	return err
}

func (f *dispatch) stream(ctx context.Context, r *Request) error {
	stream, err := f.engine.Open(ctx, r.Target, f.call(r), &r.state)
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
			return resultcode.Wrap(resultcode.CallerGone, err, "the caller left")
		}
	}
}

func (f *dispatch) call(r *Request) upstream.Call {
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

// attemptID names one attempt towards upstreams, so that frames of an earlier
// attempt are never taken for this one's.
func attemptID(r *Request) string {
	return r.ID + "." + strconv.Itoa(r.Attempts)
}

func (f *dispatch) outcome(ctx context.Context, r *Request, started time.Time, err error) balance.Outcome {
	var status *upstream.StatusError
	o := balance.Outcome{Err: err != nil && ctx.Err() == nil}
	if errors.As(err, &status) {
		o.Leaving = status.Leaving
		o.Refused = true
	}
	if !r.FirstFrame.IsZero() {
		o.FirstToken = r.FirstFrame.Sub(started)
	}
	return o
}

// mayRetry says whether the request may be sent again. An attempt that reached
// no upstream put no load on any, so that another one takes nothing from the
// budget: it would be spent just when many upstreams died at once.
func (f *dispatch) mayRetry(ctx context.Context, r *Request, attempt int, err error) bool {
	switch {
	case ctx.Err() != nil, attempt >= maxAttempts, r.Sink.Started(), f.guard.VerdictDue(r.digest):
		return false
	case r.state.State() != runstate.NotRun && !r.Repeatable:
		return false
	case errors.Is(err, upstream.ErrConnect), errors.Is(err, errNotPlaced):
		return true
	default:
		return f.retries.Withdraw()
	}
}

func pause(ctx context.Context) bool {
	return wait.For(ctx, rand.N(2*retryPause)) == nil
}

func (f *dispatch) logPlacement(r *Request, c balance.Choice, ok bool) {
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
		event = event.Int("dropped_"+d.Filter, d.N)
	}
	event.Msg("")
}
