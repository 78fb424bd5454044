package entry

import (
	"context"
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

// chooseVersion decides the version of a model request, by the manifest that
// is in force now: the request may have waited since it was identified.
type chooseVersion struct {
	watcher  *config.Watcher
	rollout  *rollout.Tracker
	guard    *guard.Guard
	sampler  *sampler
	registry *session.Registry
	codec    *session.Codec
	log      zerolog.Logger
}

// Serve implements Filter.
func (f *chooseVersion) Serve(ctx context.Context, r *Request, next Next) error {
	if r.Kind == KindService {
		return next(ctx, r)
	}
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
	r.Faulted, r.brokeAt = false, nil
	err = next(ctx, r)
	if exposed(r.Version) {
		f.conclude(ctx, r, started, r.Attempts > attempts, err)
	}
	return err
}

// exposed says whether answers of the version are taken from a budget.
func exposed(v manifest.Version) bool {
	return v.State == manifest.RollingIn && v.Exposure != nil
}

// conclude ends the answer that was taken from the exposure budget, once,
// however many attempts it took. What the caller or the deadline ended isn't
// held against the version, and what was never sent can be taken again.
func (f *chooseVersion) conclude(ctx context.Context, r *Request, started time.Time, sent bool, err error) {
	model, version := r.Model, r.Version.Name
	switch {
	case !sent || r.state.State() == runstate.NotRun:
		f.rollout.Return(model, version)
	case err != nil && ctx.Err() != nil:
		f.rollout.Abandon(model, version)
	default:
		outcome := rollout.Outcome{Failed: r.Faulted}
		if !r.FirstFrame.IsZero() {
			outcome.FirstToken = r.FirstFrame.Sub(started)
		}
		f.observe(r, outcome)
	}
	if err == nil {
		f.sampler.offer(model, version, r.Prompt, r.Sink.Text())
	}
}

// observe holds the answer against its version, or for it. The end of an upstream by a
// request that is to blame says nothing of the version.
func (f *chooseVersion) observe(r *Request, outcome rollout.Outcome) {
	model, version := r.Model, r.Version.Name
	if !outcome.Failed || r.brokeAt == nil {
		f.rollout.Observe(model, version, outcome)
		return
	}
	f.guard.AttributeInterruption(*r.brokeAt, guard.Attribution{
		Version: func() { f.rollout.Observe(model, version, outcome) },
		Request: func() { f.rollout.Abandon(model, version) },
	})
}

// versionReason says in the decision log why a version was taken.
type versionReason string

const (
	reasonShare   versionReason = "share"
	reasonSession versionReason = "session"
	reasonMoved   versionReason = "session-moved"
)

func (f *chooseVersion) choose(ctx context.Context, r *Request) error {
	open := f.open(r)
	if len(open) == 0 {
		return resultcode.New(resultcode.NoPermittedVersion, "no version of %q is open to the account", r.Model)
	}
	reason := reasonShare
	var err error
	if r.Session.ID == "" {
		r.Version, err = f.byShare(r, open, r.ID)
	} else {
		r.Version, reason, err = f.bySession(ctx, r, open)
	}
	if err != nil {
		return err
	}
	f.logChoice(r, reason, len(open))
	return nil
}

// open returns the versions that the account may use, that aren't withdrawn,
// and that the hosts' own evidence hasn't stopped.
func (f *chooseVersion) open(r *Request) []manifest.Version {
	permitted := r.Policy.Permitted(r.Account.Name, r.Model)
	open := make([]manifest.Version, 0, len(permitted))
	for _, v := range permitted {
		if _, stopped := f.rollout.Stopped(r.Model, v.Name); !stopped {
			open = append(open, v)
		}
	}
	return open
}

// byShare picks among the versions that take new sessions.
func (f *chooseVersion) byShare(r *Request, open []manifest.Version, seed string) (manifest.Version, error) {
	point := session.Point(r.Account.Name, seed, r.Model)
	left := open
	for {
		v, ok := session.Choose(left, point)
		if !ok {
			return manifest.Version{}, resultcode.New(resultcode.ExposureSpent, "no version of %q takes new work now", r.Model)
		}
		if !exposed(v) || f.rollout.Take(r.Model, v.Name) {
			return v, nil
		}
		left = without(left, v.Name)
	}
}

// bySession keeps the session's version, or binds the session to one.
func (f *chooseVersion) bySession(ctx context.Context, r *Request, open []manifest.Version) (manifest.Version, versionReason, error) {
	bound, ok := r.Session.Binding(r.Model)
	if !ok {
		return f.bindNew(ctx, r, open)
	}
	return f.keep(ctx, r, open, bound)
}

// bindNew binds a session to a version. A bare id is bound in the table, so
// that first requests on several hosts agree.
func (f *chooseVersion) bindNew(ctx context.Context, r *Request, open []manifest.Version) (manifest.Version, versionReason, error) {
	v, err := f.byShare(r, open, r.Session.ID)
	if err != nil {
		return v, "", err
	}
	proposal := f.binding(r, v)
	if r.Session.Fresh {
		f.setBinding(r, proposal)
		return v, reasonShare, nil
	}
	bound, durable, err := f.registry.Bind(ctx, proposal)
	if err != nil {
		f.giveBack(r.Model, v)
		return v, "", contextError(ctx, err)
	}
	r.Session.Transient = !durable
	if bound.Version == v.Name {
		f.setBinding(r, bound)
		return v, reasonShare, nil
	}
	f.giveBack(r.Model, v)
	return f.keep(ctx, r, open, bound)
}

// giveBack returns the answer that byShare took of a version which the session
// doesn't go to: nothing would ever be observed of it.
func (f *chooseVersion) giveBack(model string, v manifest.Version) {
	if exposed(v) {
		f.rollout.Return(model, v.Name)
	}
}

// keep stays on the bound version while the manifest allows it.
func (f *chooseVersion) keep(ctx context.Context, r *Request, open []manifest.Version, bound session.Binding) (manifest.Version, versionReason, error) {
	i := slices.IndexFunc(open, func(v manifest.Version) bool { return v.Name == bound.Version })
	if i < 0 {
		return f.move(ctx, r, open, bound)
	}
	if exposed(open[i]) && !f.rollout.TakeUnpaced(r.Model, bound.Version) {
		return open[i], "", resultcode.New(resultcode.ExposureSpent, "the session's version has spent its exposure budget")
	}
	f.setBinding(r, bound)
	return open[i], reasonSession, nil
}

// move ends the binding to a version that is withdrawn, stopped or no longer
// permitted, as the manifest says, and tells the caller.
func (f *chooseVersion) move(ctx context.Context, r *Request, open []manifest.Version, bound session.Binding) (manifest.Version, versionReason, error) {
	if r.Policy.Document.Sessions.OnWithdrawn == manifest.Refuse {
		return manifest.Version{}, "", resultcode.New(resultcode.VersionWithdrawn, "the session's version %s of %s is no longer in service", bound.Version, r.Model)
	}
	v, err := f.byShare(r, open, r.Session.ID)
	if err != nil {
		return v, "", err
	}
	r.Session.Moved = r.Model + "@" + bound.Version
	moved := f.binding(r, v)
	if !r.Session.Fresh {
		moved, err = f.rebind(ctx, r, bound, moved)
		if err != nil {
			f.giveBack(r.Model, v)
			return v, "", err
		}
	}
	if moved.Version == v.Name {
		f.setBinding(r, moved)
		return v, reasonMoved, nil
	}
	f.giveBack(r.Model, v)
	i := slices.IndexFunc(open, func(v manifest.Version) bool { return v.Name == moved.Version })
	if i < 0 {
		return v, "", resultcode.New(resultcode.NoPermittedVersion, "the session was moved to %s, which isn't open here", moved.Version)
	}
	if exposed(open[i]) && !f.rollout.TakeUnpaced(r.Model, moved.Version) {
		return open[i], "", resultcode.New(resultcode.ExposureSpent, "the session's version has spent its exposure budget")
	}
	f.setBinding(r, moved)
	return open[i], reasonMoved, nil
}

// rebind moves the stored binding; another host may have moved it first.
func (f *chooseVersion) rebind(ctx context.Context, r *Request, old, moved session.Binding) (session.Binding, error) {
	b, durable, err := f.registry.Rebind(ctx, old, moved)
	if err != nil {
		return b, contextError(ctx, err)
	}
	r.Session.Transient = !durable
	return b, nil
}

func (f *chooseVersion) binding(r *Request, v manifest.Version) session.Binding {
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
	r.SessionTokens = r.Session.tokens(f.codec)
}

func (f *chooseVersion) logChoice(r *Request, reason versionReason, among int) {
	f.log.Info().
		Str("event", "version").
		Str("request", r.ID).
		Str("account", r.Account.Name).
		Uint64("epoch", r.Policy.Epoch).
		Str("model", r.Model).
		Str("version", r.Version.Name).
		Str("reason", string(reason)).
		Int("among", among).
		Str("moved", r.Session.Moved).
		Msg("")
}

func without(list []manifest.Version, name string) []manifest.Version {
	kept := make([]manifest.Version, 0, len(list))
	for _, v := range list {
		if v.Name != name {
			kept = append(kept, v)
		}
	}
	return kept
}

// currentPolicy returns the policy that may decide new work now.
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
