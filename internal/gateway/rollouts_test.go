package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
)

// rolloutHosts are hosts that follow the tables of one store.
type rolloutHosts struct {
	store *fakeStore
	hosts []*Gateway
}

func newRolloutHosts(t *testing.T, n int) *rolloutHosts {
	t.Helper()
	h := &rolloutHosts{store: newFakeStore()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h.store.put("upstreams", "old", Upstream{Service: "svc", Version: "v1", Address: "127.0.0.1:1", Slots: 4})
	h.store.put("upstreams", "new", Upstream{Service: "svc", Version: "v2", Address: "127.0.0.1:2", Slots: 4})
	for i := range n {
		g := New(Settings{
			Host: fmt.Sprint("h", i), TableSource: h.store, StatusTable: statusTable{h.store}, Tables: testTables(), Codec: testCodec(),
			Headers: testHeaders(), CanaryShare: 0.3, DrainTime: 2 * time.Second,
		}, zerolog.Nop())
		group := g.startWatchers(ctx)
		t.Cleanup(func() { cancel(); group.Wait() })
		h.hosts = append(h.hosts, g)
	}
	// A host that knows the new version's upstream alone takes that version for the base version.
	for _, g := range h.hosts {
		eventually(t, "both upstreams known", func() bool { return g.fleet.countAllUpstreams().inService == 2 })
	}
	return h
}

func (h *rolloutHosts) order(version string, duration time.Duration) {
	h.store.put("operator", "order/svc", RolloutOrder{Service: "svc", Version: version, Duration: duration})
}

// shorten reduces the duration of the roll-out. A test that begins with a long duration and calls
// shorten after its first checks doesn't depend on how long these take.
func (h *rolloutHosts) shorten(duration time.Duration) {
	for _, g := range h.hosts {
		g.rollouts.mu.Lock()
		g.rollouts.byService["svc"].order.Duration = duration
		g.rollouts.mu.Unlock()
	}
}

func (h *rolloutHosts) state() (RolloutState, bool) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	row, ok := h.store.rows["status"]["order/svc"]
	if !ok {
		return 0, false
	}
	status, err := testCodec().Status(row.Data, row.Revision)
	return status.State, err == nil
}

func (h *rolloutHosts) stateIs(state RolloutState) func() bool {
	return func() bool {
		got, ok := h.state()
		return ok && got == state
	}
}

// runsNew reports whether the host would run a request on the new version.
func runsNew(g *Gateway, id, session string) bool {
	r := &Request{ID: id, Session: session, Service: "svc"}
	return g.rollouts.versionFilter(r)("v2")
}

func (h *rolloutHosts) share(sessions bool) float64 {
	const draws = 2000
	n := 0
	for i := range draws {
		id, session := fmt.Sprint("r", i), ""
		if sessions {
			session = fmt.Sprint("s", i)
		}
		if runsNew(h.hosts[i%len(h.hosts)], id, session) {
			n++
		}
	}
	return float64(n) / draws
}

// observeBadVersion records good answers of the old version and failures of the new one on the
// host.
func observeBadVersion(g *Gateway) {
	for range 50 {
		g.rollouts.observeResult(newRoutedRequest(), choiceOf("old", "v1"), attemptResult{outcome: outcomeDone}, false)
	}
	for range 2 * minBadAnswers {
		g.rollouts.observeResult(newRoutedRequest(), choiceOf("new", "v2"), attemptResult{outcome: outcomeFailed}, false)
	}
}

// observeGoodVersion records enough good answers of both versions on each host.
func (h *rolloutHosts) observeGoodVersion() {
	for _, g := range h.hosts {
		for range 50 {
			g.rollouts.observeResult(newRoutedRequest(), choiceOf("old", "v1"), attemptResult{outcome: outcomeDone}, false)
			g.rollouts.observeResult(newRoutedRequest(), choiceOf("new", "v2"), attemptResult{outcome: outcomeDone}, false)
		}
	}
}

func TestGoodVersionIsCompleted(t *testing.T) {
	is := is.New(t)
	h := newRolloutHosts(t, 3)
	is.Equal(h.share(false), 0.0) // no roll-out of the version was ordered
	h.order("v2", time.Minute)
	eventually(t, "reported as running", h.stateIs(RolloutRunning))
	eventually(t, "canaries", func() bool { return h.share(false) > 0.05 })
	is.True(h.share(false) < 0.2) // below the permitted share
	is.Equal(h.share(true), 0.0)  // no session changes its version in the first half
	h.observeGoodVersion()
	h.shorten(time.Second)
	eventually(t, "reported as completed", h.stateIs(RolloutCompleted))
	eventually(t, "all requests", func() bool { return h.share(true) == 1 && h.share(false) == 1 })
}

// A roll-out must not be completed only because its duration has passed. Until there are enough
// answers, the new version serves all requests, while the old one stays ready.
func TestInconclusiveVersionIsNotCompleted(t *testing.T) {
	is := is.New(t)
	h := newRolloutHosts(t, 1)
	ro := h.hosts[0].rollouts
	h.order("v2", time.Minute)
	eventually(t, "reported as running", h.stateIs(RolloutRunning))
	for range minConclusiveAnswers {
		ro.observeResult(newRoutedRequest(), choiceOf("old", "v1"), attemptResult{outcome: outcomeDone}, false)
	}
	ro.observeResult(newRoutedRequest(), choiceOf("new", "v2"), attemptResult{outcome: outcomeDone}, false)
	h.shorten(time.Second)
	eventually(t, "doubted", func() bool {
		ro.mu.Lock()
		defer ro.mu.Unlock()
		return ro.byService["svc"].inconclusive
	})
	time.Sleep(2 * time.Second)
	is.True(h.stateIs(RolloutRunning)())
	is.Equal(h.share(true), 1.0)
	h.observeGoodVersion()
	eventually(t, "completed after enough answers", h.stateIs(RolloutCompleted))
}

// The roll-out of a service that gets hardly any requests is completed, too.
func TestIdleServiceIsCompleted(t *testing.T) {
	h := newRolloutHosts(t, 1)
	h.order("v2", 2*time.Second)
	eventually(t, "completed", h.stateIs(RolloutCompleted))
}

// The age of the status data must stay below maxStatusAge even if the status table doesn't change.
// Otherwise the share isn't raised in time: the last part of the rise takes only half a second.
func TestStatusIsRecentEnoughToRaise(t *testing.T) {
	is := is.New(t)
	h := newRolloutHosts(t, 1)
	h.order("v2", time.Minute)
	eventually(t, "reported as running", h.stateIs(RolloutRunning))
	for range 60 {
		age, ok := h.hosts[0].rollouts.statuses.Age()
		is.True(ok && age < maxStatusAge)
		time.Sleep(100 * time.Millisecond)
	}
}

func TestSessionsNeverReturnToTheOldVersion(t *testing.T) {
	h := newRolloutHosts(t, 3)
	h.order("v2", 3*time.Second)
	seen := make(map[string]bool)
	for done := h.stateIs(RolloutCompleted); !done(); time.Sleep(5 * time.Millisecond) {
		for i := range 200 {
			session := fmt.Sprint("s", i)
			// The sessions are spread over the hosts.
			isNew := runsNew(h.hosts[i%3], "r", session)
			if seen[session] && !isNew {
				t.Fatal("a session returned to the old version")
			}
			seen[session] = isNew
		}
	}
}

func TestBadVersionIsStoppedOnAllHosts(t *testing.T) {
	is := is.New(t)
	h := newRolloutHosts(t, 3)
	h.order("v2", 20*time.Second)
	eventually(t, "canaries", func() bool { return h.share(false) > 0.05 })
	observeBadVersion(h.hosts[1])
	is.True(!runsNew(h.hosts[1], "any", "")) // the host with the evidence stops the version at once
	eventually(t, "reported as reverted", h.stateIs(RolloutReverted))
	eventually(t, "stopped everywhere", func() bool { return h.share(false) == 0 })
}

func TestBadVersionIsStoppedWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	h := newRolloutHosts(t, 2)
	h.order("v2", 20*time.Second)
	eventually(t, "canaries", func() bool { return h.share(false) > 0.05 })
	h.store.setDown(true)
	observeBadVersion(h.hosts[0])
	is.True(!runsNew(h.hosts[0], "any", ""))
	h.store.setDown(false)
	eventually(t, "reported after the outage", h.stateIs(RolloutReverted))
	eventually(t, "stopped everywhere", func() bool { return h.share(false) == 0 })
}

// While a host can't receive the statuses that show whether other hosts stopped the version, it
// doesn't raise the version's share. It raises the share once the store is available again.
func TestShareIsKeptWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	h := newRolloutHosts(t, 1)
	ro := h.hosts[0].rollouts
	h.order("v2", time.Minute)
	eventually(t, "canaries", func() bool { return h.share(false) > 0.05 })
	h.store.setDown(true)
	h.store.put("other", "wakes", 1) // ends the pending calls
	eventually(t, "the outage is detected", ro.statuses.Unreachable)
	// The duration passes at once, so that the share would be raised to 1 if the store were
	// available.
	h.shorten(time.Millisecond)
	time.Sleep(10 * rolloutInterval)
	is.True(h.share(false) < 0.2)
	is.Equal(h.share(true), 0.0)
	h.store.setDown(false)
	eventually(t, "raised after the outage", func() bool { return h.share(true) == 1 })
}

func TestRolloutContinuesAfterARestart(t *testing.T) {
	is := is.New(t)
	for _, state := range []RolloutState{RolloutReverted, RolloutCompleted} {
		h := newRolloutHosts(t, 0)
		h.order("v2", time.Minute)
		h.store.put("status", "order/svc", RolloutStatus{Service: "svc", Version: "v2", State: state, OrderRevision: h.store.revision})
		again := &rolloutHosts{store: h.store}
		g := New(Settings{TableSource: h.store, StatusTable: statusTable{h.store}, Tables: testTables(), Codec: testCodec(), Headers: testHeaders()}, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		group := g.startWatchers(ctx)
		again.hosts = []*Gateway{g}
		want := 0.0
		if state == RolloutCompleted {
			want = 1
		}
		eventually(t, "status applied", func() bool { return g.fleet.HasUpstreams() && !g.rollouts.hasUnfinished() && again.share(true) == want })
		cancel()
		group.Wait()
		is.Equal(again.share(false), want)
	}
}

// No host must write that a roll-out began before it has received the store's clock. With a wrong
// start time the share would be raised to all requests at once.
func TestRolloutWaitsForTheStoresClock(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	ro := tg.gateway.rollouts
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5}, false)
	for range 20 {
		ro.processAll(t.Context())
		time.Sleep(firstWriteSpread / 10)
	}
	is.Equal(tg.store.calls["commit"], 0)
}

// If no roll-out was ordered, the only version of a service runs its requests.
func TestNoOrderAdmitsAllVersions(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstreamOf(Upstream{ID: "a", Zone: "z1", Version: "v3"}, respondOK("ok"))
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, 200)
}

// Package rollout tests the statistics. This test checks that the evidence contains all answers.
func TestEvidence(t *testing.T) {
	tests := []struct {
		desc                            string
		oldBad, old, newBad, newAnswers int
		want                            bool
	}{
		{"nothing yet", 0, 0, 0, 0, false},
		{"two failures can be chance", 0, 100, 2, 2, false},
		{"four failures of ten", 0, 100, 4, 10, true},
		{"as bad as the old version", 20, 100, 4, 20, false},
		{"far worse than a poor old version", 14, 100, 11, 16, true},
		{"rare failures", 0, 100, 3, 100, false},
		{"no record of the old version", 0, 0, 3, 3, false},
		{"many failures without a record", 0, 0, 10, 10, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := newEvidence()
			add := func(isNew bool, bad, all int) {
				for i := range all {
					result := attemptResult{outcome: outcomeDone}
					if i < bad {
						result.outcome = outcomeFailed
					}
					e.observeEnd(observation{route: "r", upstream: fmt.Sprint("u", i%2), isNew: isNew}, result, time.Now())
				}
			}
			add(false, test.oldBad, test.old)
			// The good answers come first. The order must not affect the result.
			add(true, 0, test.newAnswers-test.newBad)
			add(true, test.newBad, test.newBad)
			is.New(t).Equal(e.stopReason(2) != "", test.want)
		})
	}
}

func TestEvidenceOfOneRoute(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	add := func(route string, isNew bool, outcome outcome, n int) {
		for i := range n {
			e.observeEnd(observation{route: route, upstream: fmt.Sprint("u", i), isNew: isNew}, attemptResult{outcome: outcome}, time.Now())
		}
	}
	// In the total over both routes, the failures of the old version on route good hide the
	// failures of the new version on route poor.
	add("good", false, outcomeFailed, 40)
	add("good", false, outcomeDone, 160)
	add("good", true, outcomeDone, 200)
	add("poor", false, outcomeDone, 100)
	add("poor", true, outcomeBroken, 2*minBadAnswers)
	is.Equal(e.stopReason(2), "route poor")
}

func TestSlowAnswersAreEvidence(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 50 {
		e.observeEnd(observation{route: "r", upstream: fmt.Sprint("u", i%2)}, attemptResult{outcome: outcomeDone, firstByte: 80 * time.Millisecond}, time.Now())
	}
	for i := range 2 * minBadAnswers {
		e.observeEnd(observation{route: "r", upstream: fmt.Sprint("u", i%2), isNew: true}, attemptResult{outcome: outcomeDone, firstByte: 600 * time.Millisecond}, time.Now())
	}
	is.True(e.stopReason(2) != "")
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	rows := newOperatorTableHandler(tg.gateway)
	store := newFakeStore()
	doc := testDocument()
	doc.Version = 6
	store.put("operator", "document", doc)
	rows.Change(store.rows["operator"]["document"])
	is.Equal(tg.gateway.routingTable.Load().Version, uint64(7))
	doc.Version = 9
	store.put("operator", "document", doc)
	rows.Replace([]feed.Row{store.rows["operator"]["document"]}, 1)
	is.Equal(tg.gateway.routingTable.Load().Version, uint64(9))
	rows.Change(feed.Row{Key: "document", Data: []byte("{"), Revision: 10})
	rows.Change(feed.Row{Key: "document", Deleted: true, Revision: 11})
	is.Equal(tg.gateway.routingTable.Load().Version, uint64(9)) // the document stays in force after an invalid row and a removal
}

// A host that had stopped a version refused all requests after another host had completed it, since the old
// version's upstreams end then.
func TestStoppedVersionThatAnotherHostCompletedIsUsed(t *testing.T) {
	is := is.New(t)
	ro := newRolloutInProgress()
	sr := ro.byService["svc"]
	sr.stopped = true
	ro.fleet.RemoveEntry("a", 2, false)
	r := newRoutedRequest()
	is.True(!ro.versionFilter(r)("v2"))
	ro.setStatus(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: 5, Revision: 6})
	is.True(ro.versionFilter(r)("v2"))
}
