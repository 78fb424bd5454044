package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/session"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// rollingInPolicy returns a policy in which v2 rolls in and gets all new sessions.
// Sessions bound to v1 stay there.
func rollingInPolicy() *manifest.Policy {
	doc := &manifest.Document{
		Models: []manifest.Model{{Name: "small", Versions: []manifest.Version{
			{Name: "v1", State: manifest.Serving},
			{Name: "v2", State: manifest.RollingIn, Share: 100, Exposure: &manifest.Exposure{Round: 1, Answers: 100, MaxErrorRate: 0.05}},
		}}},
		Accounts: []manifest.Account{{Name: "a", Models: []manifest.Permission{{Model: "small"}}}},
	}
	return manifest.Compile(doc, 1, "")
}

// Guards against answers that are taken from an exposure budget and never returned:
// chooseByShare may select another version than the one that the session is bound to.
// The request must not use up the budget of the selected version, since a few such
// requests would block its roll-out permanently.
func TestBoundSessionReturnsExposure(t *testing.T) {
	is := is.New(t)
	policy := rollingInPolicy()
	tracker := rollout.New(rollout.Options{Host: "h"})
	tracker.SetVersions(versionRules(policy))
	f := &chooseVersion{
		rollout:  tracker,
		sessions: session.NewRegistry(session.Options{Table: memory.NewTable()}),
		codec:    session.NewCodec([]session.Key{{ID: "k", Secret: make([]byte, 32)}}, time.Hour, nil),
		log:      zerolog.Nop(),
	}
	_, _, err := f.sessions.Bind(t.Context(), session.Binding{Account: "a", SessionID: "s", Model: "small", Version: "v1", Epoch: 1, IssuedAt: time.Now()})
	is.NoErr(err)
	account, _ := policy.Account("a")
	for range 50 {
		r := &Request{Model: "small", Account: account, Policy: policy, Arrived: time.Now(), Session: SessionState{ID: "s"}}
		is.NoErr(f.choose(t.Context(), r))
		is.Equal(r.Version.Name, "v1")
	}
	e := tracker.Export()[0]
	is.Equal(e.Taken, e.Returned) // no answer remains open
	is.True(tracker.Take("small", "v2"))
}
