package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/session"
)

// chooseVersion picks the version for a model request. It uses the manifest in
// force now, since the request may have waited in a queue since it was
// authenticated.
type chooseVersion struct {
	watcher  *config.Watcher
	rollout  *rollout.Tracker
	guard    *guard.Guard
	sampler  *sampler
	sessions *session.Registry
	codec    *session.Codec
	log      zerolog.Logger
}

// Serve implements Filter.
func (f *chooseVersion) Serve(ctx context.Context, r *Request, next Next) error {
	if r.Kind == KindService {
		return next(ctx, r)
	}
	err := f.serveVersion(ctx, r, next)
	if errors.Is(err, errVersionWithdrawn) && r.mayRunAgain() {
		// The manifest that withdrew the version may permit another one. A request whose second version is withdrawn, too, is
		// refused, so that the number of its attempts is bounded.
		err = f.serveVersion(ctx, r, next)
	}
	return err
}

// serveVersion chooses the request's version by the manifest in force now and runs the request.
func (f *chooseVersion) serveVersion(ctx context.Context, r *Request, next Next) error {
	policy, err := currentPolicy(f.watcher)
	if err != nil {
		return err
	}
	r.Policy = policy
	if err := f.choose(ctx, r); err != nil {
		return err
	}
	started := time.Now()
	attempts := r.Attempts
	r.Faulted, r.brokenUpstream = false, nil
	err = next(ctx, r)
	if hasExposureBudget(r.Version) {
		f.settleExposure(ctx, r, started, r.Attempts > attempts, err)
	}
	return err
}

// hasExposureBudget reports whether answers of the version count against an
// exposure budget.
func hasExposureBudget(v manifest.Version) bool {
	return v.State == manifest.RollingIn && v.Exposure != nil
}

// settleExposure records the result of a request that took an answer from its
// version's exposure budget. It must be called once per request, after the last
// attempt. If nothing was sent to an upstream, the answer is returned to the budget. If
// the caller or the deadline ended the request, the answer doesn't count against the
// version. A successful answer is queued for rating.
func (f *chooseVersion) settleExposure(ctx context.Context, r *Request, started time.Time, sent bool, err error) {
	model, version := r.Model, r.Version.Name
	switch {
	case !sent || r.state.State() == runstate.NotRun:
		f.rollout.Refund(model, version)
	case err != nil && ctx.Err() != nil:
		f.rollout.Abandon(model, version)
	default:
		outcome := rollout.Outcome{Failed: r.Faulted}
		if !r.FirstFrame.IsZero() {
			outcome.FirstToken = r.FirstFrame.Sub(started)
		}
		f.recordOutcome(r, outcome)
	}
	if err == nil {
		f.sampler.enqueue(model, version, r.Prompt, r.Sink.Text())
	}
}

// recordOutcome records the answer's success or failure for its version. If the
// answer broke off, the guard first attributes the interruption to the version or to
// the request. An interruption that is attributed to the request doesn't count against
// the version.
func (f *chooseVersion) recordOutcome(r *Request, outcome rollout.Outcome) {
	model, version := r.Model, r.Version.Name
	if !outcome.Failed || r.brokenUpstream == nil {
		f.rollout.Observe(model, version, outcome)
		return
	}
	f.guard.AttributeInterruption(*r.brokenUpstream, guard.Attribution{
		OnVersionCause: func() { f.rollout.Observe(model, version, outcome) },
		OnRequestCause: func() { f.rollout.Abandon(model, version) },
	})
}

// versionReason is the reason for which a version was chosen. It is logged.
type versionReason string

const (
	reasonShare   versionReason = "share"
	reasonSession versionReason = "session"
	reasonMoved   versionReason = "session-moved"
)

func (f *chooseVersion) choose(ctx context.Context, r *Request) error {
	eligible := f.eligibleVersions(r)
	if len(eligible) == 0 {
		return resultcode.New(resultcode.NoPermittedVersion, "no version of %q is open to the account", r.Model)
	}
	reason := reasonShare
	var err error
	if r.Session.ID == "" {
		r.Version, err = f.chooseByShare(r, eligible, r.ID)
	} else {
		r.Version, reason, err = f.chooseBySession(ctx, r, eligible)
	}
	if err != nil {
		return err
	}
	f.logVersion(r, reason, len(eligible))
	return nil
}

// eligibleVersions returns the versions that the account may use, that aren't
// withdrawn, and that the hosts haven't stopped because of their error rate, latency
// or ratings.
func (f *chooseVersion) eligibleVersions(r *Request) []manifest.Version {
	permitted := r.Policy.PermittedVersions(r.Account.Name, r.Model)
	eligible := make([]manifest.Version, 0, len(permitted))
	for _, v := range permitted {
		if _, stopped := f.rollout.Stopped(r.Model, v.Name); !stopped {
			eligible = append(eligible, v)
		}
	}
	return eligible
}

// chooseByShare picks one of the versions that accept new sessions, by their shares.
// It passes over versions whose exposure budget allows no further answer now.
func (f *chooseVersion) chooseByShare(r *Request, eligible []manifest.Version, seed string) (manifest.Version, error) {
	point := session.SessionHash(r.Account.Name, seed, r.Model)
	remaining := eligible
	for {
		v, ok := session.ChooseVersion(remaining, point)
		if !ok {
			return manifest.Version{}, resultcode.New(resultcode.ExposureSpent, "no version of %q takes new work now", r.Model)
		}
		if !hasExposureBudget(v) || f.rollout.Take(r.Model, v.Name) {
			return v, nil
		}
		remaining = withoutVersion(remaining, v.Name)
	}
}

// chooseBySession returns the version that the session is bound to. If the session
// has no binding for the model, it binds the session first.
func (f *chooseVersion) chooseBySession(ctx context.Context, r *Request, eligible []manifest.Version) (manifest.Version, versionReason, error) {
	bound, ok := r.Session.Binding(r.Model)
	if !ok {
		return f.bindSession(ctx, r, eligible)
	}
	return f.keepVersion(ctx, r, eligible, bound)
}

// bindSession binds a session to a version. The binding of a bare ID is stored in
// the table, so that concurrent first requests on several hosts get the same
// version.
func (f *chooseVersion) bindSession(ctx context.Context, r *Request, eligible []manifest.Version) (manifest.Version, versionReason, error) {
	v, err := f.chooseByShare(r, eligible, r.Session.ID)
	if err != nil {
		return v, "", err
	}
	proposal := f.newBinding(r, v)
	if r.Session.Generated {
		f.setBinding(r, proposal)
		return v, reasonShare, nil
	}
	bound, durable, err := f.sessions.Bind(ctx, proposal)
	if err != nil {
		f.returnExposure(r.Model, v)
		return v, "", contextError(ctx, err)
	}
	r.Session.Transient = !durable
	if bound.Version == v.Name {
		f.setBinding(r, bound)
		return v, reasonShare, nil
	}
	f.returnExposure(r.Model, v)
	return f.keepVersion(ctx, r, eligible, bound)
}

// returnExposure returns an answer that chooseByShare took from the version's exposure
// budget. It must be called if the session uses another version or couldn't be bound:
// no result would ever be recorded for the answer, so it would use up the budget
// permanently.
func (f *chooseVersion) returnExposure(model string, v manifest.Version) {
	if hasExposureBudget(v) {
		f.rollout.Refund(model, v.Name)
	}
}

// keepVersion returns the bound version if it is still eligible. Otherwise it moves
// the session to another version.
func (f *chooseVersion) keepVersion(ctx context.Context, r *Request, eligible []manifest.Version, bound session.Binding) (manifest.Version, versionReason, error) {
	i := slices.IndexFunc(eligible, func(v manifest.Version) bool { return v.Name == bound.Version })
	if i < 0 {
		return f.moveSession(ctx, r, eligible, bound)
	}
	if hasExposureBudget(eligible[i]) && !f.rollout.TakeUnpaced(r.Model, bound.Version) {
		return eligible[i], "", resultcode.New(resultcode.ExposureSpent, "the session's version has spent its exposure budget")
	}
	f.setBinding(r, bound)
	return eligible[i], reasonSession, nil
}

// moveSession handles a session whose version is withdrawn, stopped or no longer
// permitted. Depending on the manifest, it refuses the request or binds the session
// to another version, which a response header reports to the caller.
func (f *chooseVersion) moveSession(ctx context.Context, r *Request, eligible []manifest.Version, bound session.Binding) (manifest.Version, versionReason, error) {
	if r.Policy.Document.Sessions.OnWithdrawn == manifest.Refuse {
		return manifest.Version{}, "", resultcode.New(resultcode.VersionWithdrawn, "the session's version %s of %s is no longer in service", bound.Version, r.Model)
	}
	v, err := f.chooseByShare(r, eligible, r.Session.ID)
	if err != nil {
		return v, "", err
	}
	r.Session.MovedFrom = r.Model + "@" + bound.Version
	moved := f.newBinding(r, v)
	if !r.Session.Generated {
		moved, err = f.rebind(ctx, r, bound, moved)
		if err != nil {
			f.returnExposure(r.Model, v)
			return v, "", err
		}
	}
	if moved.Version == v.Name {
		f.setBinding(r, moved)
		return v, reasonMoved, nil
	}
	f.returnExposure(r.Model, v)
	i := slices.IndexFunc(eligible, func(v manifest.Version) bool { return v.Name == moved.Version })
	if i < 0 {
		return v, "", resultcode.New(resultcode.NoPermittedVersion, "the session was moved to %s, which isn't open here", moved.Version)
	}
	if hasExposureBudget(eligible[i]) && !f.rollout.TakeUnpaced(r.Model, moved.Version) {
		return eligible[i], "", resultcode.New(resultcode.ExposureSpent, "the session's version has spent its exposure budget")
	}
	f.setBinding(r, moved)
	return eligible[i], reasonMoved, nil
}

// rebind replaces the stored binding and returns the binding in effect, which differs
// from moved if another host moved the session first.
func (f *chooseVersion) rebind(ctx context.Context, r *Request, old, moved session.Binding) (session.Binding, error) {
	b, durable, err := f.sessions.Rebind(ctx, old, moved)
	if err != nil {
		return b, contextError(ctx, err)
	}
	r.Session.Transient = !durable
	return b, nil
}

func (f *chooseVersion) newBinding(r *Request, v manifest.Version) session.Binding {
	return session.Binding{
		Account:   r.Account.Name,
		SessionID: r.Session.ID,
		Model:     r.Model,
		Version:   v.Name,
		Epoch:     r.Policy.Epoch,
		IssuedAt:  r.Arrived,
	}
}

func (f *chooseVersion) setBinding(r *Request, b session.Binding) {
	r.Session.bind(b)
	r.SessionTokens = r.Session.encodeTokens(f.codec)
}

func (f *chooseVersion) logVersion(r *Request, reason versionReason, candidates int) {
	f.log.Info().
		Str("event", "version").
		Str("request", r.ID).
		Str("account", r.Account.Name).
		Uint64("epoch", r.Policy.Epoch).
		Str("model", r.Model).
		Str("version", r.Version.Name).
		Str("reason", string(reason)).
		Int("among", candidates).
		Str("moved", r.Session.MovedFrom).
		Msg("")
}

func withoutVersion(list []manifest.Version, name string) []manifest.Version {
	kept := make([]manifest.Version, 0, len(list))
	for _, v := range list {
		if v.Name != name {
			kept = append(kept, v)
		}
	}
	return kept
}

// currentPolicy returns the policy in force. It returns an error if there is none or
// if the host can't confirm that the policy is current.
func currentPolicy(w *config.Watcher) (*manifest.Policy, error) {
	policy := w.Current()
	if policy == nil {
		return nil, resultcode.New(resultcode.NoManifest, "no manifest is in force on this host")
	}
	if err := w.Check(); err != nil {
		return nil, resultcode.Wrap(resultcode.ConfigStale, err, "this host can't show that its manifest is in force")
	}
	return policy, nil
}
