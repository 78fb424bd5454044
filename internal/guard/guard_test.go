package guard

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func digest(n uint64) quarantine.Digest {
	var d quarantine.Digest
	binary.BigEndian.PutUint64(d[:], n)
	return d
}

// testGuard is a guard with a table, whose Options.Clock returns the time that the test sets.
type testGuard struct {
	*Guard
	table storage.Table
	mu    sync.Mutex
	now   time.Duration
}

func newTestGuard(host string, table storage.Table) *testGuard {
	g := &testGuard{table: table, now: time.Hour}
	g.Guard = New(Options{
		Host: host, Table: table, Prefix: "quarantine/", Log: zerolog.Nop(), OnEvent: func(CountedEvent, string) {},
		Clock: func() time.Duration {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.now
		},
	})
	return g
}

// advance advances the time that the guard's Options.Clock returns.
func (g *testGuard) advance(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now += d
}

// currentStatus returns the status for followers without the cache.
func (g *testGuard) currentStatus() exchange.QuarantineStatus {
	return g.buildStatus(boottime.Elapsed())
}

// syncRows applies the table's rows as a watcher would.
func (g *testGuard) syncRows(t *testing.T) {
	t.Helper()
	rows, err := g.table.List(t.Context(), "quarantine/", "", 100)
	if err != nil {
		t.Fatal(err)
	}
	keys := make(map[string]bool)
	for _, row := range rows {
		keys[row.Key] = true
		if err := g.ApplyRow(row.Key, row.Value, storage.Revision(row.Version)); err != nil {
			t.Fatal(err)
		}
	}
	g.DropMissingVerdicts(keys)
}

// terminateWith records that the given number of upstreams terminated with the request, 200 ms
// apart and the last one longer than SettleDelay ago.
func (g *testGuard) terminateWith(d quarantine.Digest, firstIncarnation, count int) {
	for i := range count {
		g.recordTermination(Upstream{ID: "u", Service: "svc", Incarnation: quarantine.Incarnation(firstIncarnation + i)}, time.Duration(count-i)*200*time.Millisecond+quarantine.SettleDelay, []candidateRun{{digest: d, ran: 40 * time.Millisecond}})
	}
}

// guardWithVerdict returns a guard with a verdict on the request.
func guardWithVerdict(t *testing.T, host string, table storage.Table, d quarantine.Digest) *testGuard {
	t.Helper()
	g := newTestGuard(host, table)
	g.terminateWith(d, 1, 3)
	g.makeVerdicts()
	if g.VerdictCount() != 1 {
		t.Fatal("no verdict was made")
	}
	return g
}

// listener returns an upstream whose address accepts connections until the listener is closed.
func listener(t *testing.T) (Upstream, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return Upstream{ID: "u", Service: "svc", Address: l.Addr().String(), Incarnation: 1}, l
}

// recordingTracker is a run tracker that records the digests that its callbacks are given.
type recordingTracker struct {
	*runTracker
	lostDigests     chan []quarantine.Digest
	survivedDigests []quarantine.Digest
}

func newRecordingTracker() *recordingTracker {
	r := &recordingTracker{runTracker: newRunTracker(zerolog.Nop()), lostDigests: make(chan []quarantine.Digest, 10)}
	r.onSurvival = func(d quarantine.Digest) { r.survivedDigests = append(r.survivedDigests, d) }
	r.onTermination = func(_ Upstream, _ time.Duration, runs []candidateRun) {
		var digests []quarantine.Digest
		for _, run := range runs {
			digests = append(digests, run.digest)
		}
		r.lostDigests <- digests
	}
	return r
}

func (r *recordingTracker) nextLostDigests(t *testing.T) []quarantine.Digest {
	t.Helper()
	select {
	case digests := <-r.lostDigests:
		slices.SortFunc(digests, func(a, b quarantine.Digest) int { return slices.Compare(a[:], b[:]) })
		return digests
	case <-time.After(5 * time.Second):
		t.Fatal("no termination was reported")
		return nil
	}
}

// An upstream that interrupts a response and refuses connections has terminated. It is reported
// with the interrupted runs and with those that this host abandoned there just before.
func TestTerminationReportsRuns(t *testing.T) {
	is := is.New(t)
	tracker := newRecordingTracker()
	u, l := listener(t)
	for n := range uint64(5) {
		tracker.begin(u, digest(n))
	}
	tracker.end(u, digest(0), Answered)
	undo := boottime.SimulateSuspension(answeredCauseWindow + time.Millisecond)
	t.Cleanup(undo)
	tracker.end(u, digest(1), NotRun)
	tracker.end(u, digest(2), Abandoned)
	l.Close()
	tracker.end(u, digest(3), Interrupted)
	tracker.end(u, digest(4), Interrupted)
	is.Equal(tracker.nextLostDigests(t), []quarantine.Digest{digest(2), digest(3), digest(4)})
	is.True(tracker.hasTerminated(u))
	tracker.reportSurvivals()
	is.Equal(len(tracker.survivedDigests), 0) // no request counts as survived by a terminated upstream
	// Interruptions that are detected later are reported, too.
	tracker.begin(u, digest(5))
	tracker.end(u, digest(5), Interrupted)
	is.Equal(tracker.nextLostDigests(t), []quarantine.Digest{digest(5)})
}

// A short run may be answered before it terminates its upstream. Its request counts as survived
// only if the upstream is still alive survivalDelay later.
func TestAnswersCountOnceTheUpstreamSurvives(t *testing.T) {
	is := is.New(t)
	tracker := newRecordingTracker()
	u, l := listener(t)
	tracker.begin(u, digest(1))
	tracker.end(u, digest(1), Answered)
	tracker.reportSurvivals()
	is.Equal(len(tracker.survivedDigests), 0)
	undo := boottime.SimulateSuspension(survivalDelay)
	tracker.reportSurvivals()
	is.Equal(tracker.survivedDigests, []quarantine.Digest{digest(1)})
	tracker.reportSurvivals()
	is.Equal(len(tracker.survivedDigests), 1)
	undo()

	// If the request is a suspect, the upstream is checked by a connection.
	tracker.isSuspect = func(d quarantine.Digest) bool { return d == digest(2) }
	u.Incarnation = 3
	tracker.begin(u, digest(2))
	tracker.end(u, digest(2), Answered)
	l.Close()
	t.Cleanup(boottime.SimulateSuspension(survivalDelay))
	tracker.reportSurvivals()
	is.Equal(tracker.nextLostDigests(t), []quarantine.Digest{digest(2)})
	is.Equal(len(tracker.survivedDigests), 1)

	// After an interruption, the check reports the runs that were answered just before, too.
	otherUpstream, otherListener := listener(t)
	otherUpstream.Incarnation = 2
	tracker.begin(otherUpstream, digest(4))
	tracker.begin(otherUpstream, digest(5))
	tracker.end(otherUpstream, digest(4), Answered)
	otherListener.Close()
	tracker.end(otherUpstream, digest(5), Interrupted)
	is.Equal(tracker.nextLostDigests(t), []quarantine.Digest{digest(4), digest(5)})
}

// Hosts must not report a termination for an interrupted response alone: an upstream that accepts
// connections is alive, and one where other requests still run counts as alive.
func TestInterruptedResponseIsNoTermination(t *testing.T) {
	is := is.New(t)
	tracker := newRecordingTracker()
	u, l := listener(t)
	tracker.begin(u, digest(1))
	tracker.end(u, digest(1), Interrupted)
	time.Sleep(20 * checkDelay)
	l.Close()
	other := Upstream{ID: "o", Service: "svc", Address: u.Address, Incarnation: 2}
	tracker.begin(other, digest(2))
	tracker.begin(other, digest(3))
	tracker.end(other, digest(2), Interrupted)
	time.Sleep(20 * checkDelay)
	is.Equal(len(tracker.lostDigests), 0)
	// Once no request runs there, a refused connection shows that the upstream has terminated.
	tracker.end(other, digest(3), Abandoned)
	tracker.begin(other, digest(4))
	tracker.end(other, digest(4), Unreachable)
	is.Equal(tracker.nextLostDigests(t), []quarantine.Digest{digest(2), digest(3)})
}

// When another host observes a termination, this host reports the runs that it abandoned there
// shortly before.
func TestTerminationReportedByAnotherHost(t *testing.T) {
	is := is.New(t)
	tracker := newRecordingTracker()
	u, _ := listener(t)
	tracker.begin(u, digest(1))
	tracker.end(u, digest(1), Abandoned)
	t.Cleanup(boottime.SimulateSuspension(abandonedCauseWindow + 200*time.Millisecond))
	tracker.begin(u, digest(2))
	tracker.end(u, digest(2), Abandoned)
	tracker.recordRemoteTermination(u.Incarnation, 100*time.Millisecond)
	is.Equal(tracker.nextLostDigests(t), []quarantine.Digest{digest(2)})
	tracker.recordRemoteTermination(99, 0) // this host had no runs there
	is.Equal(len(tracker.lostDigests), 0)
}

// The record of an upstream is dropped once no runs remain.
func TestIdleUpstreamsAreDropped(t *testing.T) {
	is := is.New(t)
	tracker := newRecordingTracker()
	u, _ := listener(t)
	tracker.begin(u, digest(1))
	tracker.end(u, digest(1), Abandoned)
	tracker.sweep()
	is.Equal(len(tracker.upstreams), 1)
	t.Cleanup(boottime.SimulateSuspension(recentRunRetention + time.Second))
	tracker.sweep()
	is.Equal(len(tracker.upstreams), 0)
}

// A request without losses never waits. A suspect runs at one upstream at a time, and a suspect
// with enough events for a verdict waits for the verdict.
func TestSuspectsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		g := newTestGuard("h", memory.NewTable())
		start := time.Now()
		for range 100 {
			is.NoErr(g.Admit(ctx, digest(1), "svc"))
		}
		is.Equal(time.Since(start), time.Duration(0))

		// A request with one event isn't sent to a second upstream at the same time, unless it
		// was answered shortly before the event: such a request is a popular one.
		once, popular := digest(8), digest(9)
		g.terminateWith(once, 100, 1)
		g.recordSurvival(popular)
		g.terminateWith(popular, 101, 1)
		is.NoErr(g.Admit(ctx, popular, "svc"))
		is.NoErr(g.Admit(ctx, popular, "svc"))
		is.NoErr(g.Admit(ctx, once, "svc"))
		is.Equal(time.Since(start), time.Duration(0))
		is.NoErr(g.Admit(ctx, once, "svc"))
		is.Equal(time.Since(start), maxSuspectWait)
		start = time.Now()

		d := digest(2)
		g.terminateWith(d, 1, 2)
		is.NoErr(g.Admit(ctx, d, "svc"))
		admittedAfter := make(chan time.Duration, 2)
		go func() {
			is.NoErr(g.Admit(ctx, d, "svc"))
			admittedAfter <- time.Since(start)
		}()
		time.Sleep(300 * time.Millisecond)
		is.Equal(len(admittedAfter), 0)
		g.Leave(d)
		is.Equal(<-admittedAfter, 300*time.Millisecond)

		// Once the request was answered, it doesn't wait any more.
		g.recordSurvival(d)
		g.Leave(d)
		is.NoErr(g.Admit(ctx, d, "svc"))
		is.NoErr(g.Admit(ctx, d, "svc"))

		// If no verdict is made, the request is sent after the maximum wait.
		d = digest(3)
		g.terminateWith(d, 10, 3)
		is.True(g.VerdictDue(d))
		before := time.Now()
		is.NoErr(g.Admit(ctx, d, "svc"))
		is.Equal(time.Since(before), maxSuspectWait)

		// If a verdict is made while the request waits, the request is refused.
		g.Leave(d)
		go func() {
			time.Sleep(200 * time.Millisecond)
			g.makeVerdicts()
		}()
		is.True(errors.Is(g.Admit(ctx, d, "svc"), ErrQuarantined))

		// A request whose deadline expires isn't sent.
		d = digest(4)
		g.terminateWith(d, 20, 2)
		is.NoErr(g.Admit(ctx, d, "svc"))
		shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		is.True(errors.Is(g.Admit(shortCtx, d, "svc"), context.DeadlineExceeded))
	})
}

// A verdict is written to the store, from which hosts that start later receive it. It is withdrawn
// by the removal of its row.
func TestVerdictsAreStored(t *testing.T) {
	is := is.New(t)
	table, d := memory.NewTable(), digest(1)
	g := guardWithVerdict(t, "h1", table, d)
	is.True(errors.Is(g.Admit(t.Context(), d, "svc"), ErrQuarantined))
	g.verdictStore.writeMissing(t.Context(), true)

	laterHost := newTestGuard("h2", table)
	is.NoErr(laterHost.Admit(t.Context(), d, "svc")) // this host has no verdict or losses yet, so the request doesn't wait
	laterHost.syncRows(t)
	is.True(errors.Is(laterHost.Admit(t.Context(), d, "svc"), ErrQuarantined))
	is.NoErr(laterHost.Admit(t.Context(), digest(2), "svc"))

	row, err := table.Get(t.Context(), "quarantine/"+d.String())
	is.NoErr(err)
	_, err = table.Commit(t.Context(), storage.Txn{Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key}})
	is.NoErr(err)
	laterHost.syncRows(t)
	is.NoErr(laterHost.Admit(t.Context(), d, "svc"))
	// The verdict isn't restored by a host that hasn't received the removal and still sends it.
	laterHost.ApplyStatus(g.currentStatus())
	is.NoErr(laterHost.Admit(t.Context(), d, "svc"))
}

// Hosts send each other a verdict until it is stored. If the host that made it doesn't store it
// within takeoverAge, another host that makes verdicts does.
func TestVerdictWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	table, d := memory.NewTable(), digest(1)
	g := guardWithVerdict(t, "h1", table, d)
	undo := boottime.SimulateSuspension(time.Minute)
	t.Cleanup(undo)
	status := g.currentStatus()
	is.Equal(len(status.Verdicts), 1) // the verdict isn't stored, so it is still sent
	other := newTestGuard("h2", table)
	other.ApplyStatus(status)
	is.True(errors.Is(other.Admit(t.Context(), d, "svc"), ErrQuarantined))
	other.verdictStore.writeMissing(t.Context(), true)
	_, err := table.Get(t.Context(), "quarantine/"+d.String())
	is.True(errors.Is(err, storage.ErrNotFound)) // before takeoverAge, the first host may still write it
	t.Cleanup(boottime.SimulateSuspension(takeoverAge + time.Second))
	other.verdictStore.writeMissing(t.Context(), false) // a host that doesn't make verdicts writes no others'
	other.verdictStore.writeMissing(t.Context(), true)
	_, err = table.Get(t.Context(), "quarantine/"+d.String())
	is.NoErr(err)
	t.Cleanup(boottime.SimulateSuspension(storedVerdictTTL + time.Second))
	is.Equal(len(other.currentStatus().Verdicts), 0) // now followers receive it from the store
}

// After a verdict's expiry, one host sends the request once more, as a trial. If an upstream
// terminates with it, the verdict is renewed with a longer term; if it is answered, the verdict
// is withdrawn.
func TestTrial(t *testing.T) {
	is := is.New(t)
	table, d := memory.NewTable(), digest(1)
	a := guardWithVerdict(t, "h1", table, d)
	a.verdictStore.writeMissing(t.Context(), true)
	b := newTestGuard("h2", table)
	b.syncRows(t)
	u := Upstream{ID: "u", Service: "svc", Incarnation: 77}
	advance := func(by time.Duration) {
		a.advance(by)
		b.advance(by)
	}
	admitted := func(g *testGuard) bool { return g.Admit(t.Context(), d, "svc") == nil }
	eventually := func(what string, holds func() bool) {
		t.Helper()
		for range 500 {
			if holds() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal(what)
	}
	until := func() time.Duration {
		e, _ := a.register.Get(d)
		return e.ExpiresAt
	}

	advance(11 * time.Minute)
	is.True(!admitted(a)) // this request only claims the trial
	eventually("a may try", func() bool { return admitted(a) })
	b.syncRows(t)
	is.True(!admitted(b)) // no other host may send the request
	is.True(!admitted(a)) // and a only once
	previousExpiry := until()
	a.recordTermination(u, 0, []candidateRun{{digest: d, ran: time.Second}})
	eventually("the verdict holds again", func() bool { return until() > previousExpiry })
	is.Equal(until()-a.options.Clock(), time.Hour)
	is.True(!admitted(a))

	advance(61 * time.Minute)
	b.syncRows(t)
	is.True(!admitted(b))
	eventually("b may try", func() bool { return admitted(b) })
	b.recordSurvival(d)
	eventually("the row is gone", func() bool {
		_, err := table.Get(t.Context(), "quarantine/"+d.String())
		return errors.Is(err, storage.ErrNotFound)
	})
	a.syncRows(t)
	is.True(admitted(a) && admitted(b))
}

// The row of a verdict is removed if its request wasn't received for a week after the expiry.
func TestUnusedVerdictsAreRemoved(t *testing.T) {
	is := is.New(t)
	table := memory.NewTable()
	g := guardWithVerdict(t, "h1", table, digest(1))
	g.verdictStore.writeMissing(t.Context(), true)
	g.advance(8 * 24 * time.Hour)
	t.Cleanup(boottime.SimulateSuspension(2 * cleanupInterval))
	g.verdictStore.writeMissing(t.Context(), true)
	is.Equal(g.VerdictCount(), 0)
	_, err := table.Get(t.Context(), "quarantine/"+digest(1).String())
	is.True(errors.Is(err, storage.ErrNotFound))
}

// A row that isn't a verdict, or whose key names another request, is refused and quarantines
// nothing.
func TestUnreadableRows(t *testing.T) {
	is := is.New(t)
	g := newTestGuard("h", memory.NewTable())
	is.True(g.ApplyRow("quarantine/zz", []byte("{}"), 1) != nil)
	is.True(g.ApplyRow("quarantine/"+digest(1).String(), []byte("["), 1) != nil)
	is.True(g.ApplyRow("quarantine/"+digest(1).String(), []byte(`{"digest":"`+digest(2).String()+`","until_ms":1}`), 1) != nil)
	is.True(g.ApplyRowRemoval("quarantine/zz") != nil)
	is.Equal(g.VerdictCount(), 0)
}

// A suspect that the hub sent isn't one for a host that answered the request after the suspect's
// first event. The host reports the answer to the hub, where the request stops being a suspect.
func TestLocallyAnsweredSuspect(t *testing.T) {
	is := is.New(t)
	hub, host := newTestGuard("hub", memory.NewTable()), newTestGuard("host", memory.NewTable())
	d := digest(1)
	hub.terminateWith(d, 1, 2)
	host.recordSurvival(d)
	host.ApplyStatus(hub.currentStatus())
	is.Equal(host.eventCount(d, boottime.Elapsed()), 0)
	hub.AddSightings(host.Sightings())
	is.Equal(hub.eventCount(d, boottime.Elapsed()), 0)
	is.Equal(len(hub.currentStatus().Suspects), 0)

	// A suspect that the host answered only before the first event counts for as long as the hub
	// sends it.
	d = digest(2)
	host.recordSurvival(d)
	t.Cleanup(boottime.SimulateSuspension(10 * time.Second))
	hub.terminateWith(d, 10, 2)
	host.ApplyStatus(hub.currentStatus())
	is.Equal(host.eventCount(d, boottime.Elapsed()), 2)
	t.Cleanup(boottime.SimulateSuspension(hubSuspectTTL + time.Second))
	is.Equal(host.eventCount(d, boottime.Elapsed()), 0)
}

// A suspect expires although two hosts send it to each other. Guards against hosts that refresh
// the suspect's age with every message, so that both keep it forever.
func TestExchangedSuspectsExpire(t *testing.T) {
	is := is.New(t)
	a, b := newTestGuard("a", memory.NewTable()), newTestGuard("b", memory.NewTable())
	d := digest(1)
	a.terminateWith(d, 1, 2)
	for range 10 {
		b.ApplyStatus(a.currentStatus())
		a.ApplyStatus(b.currentStatus())
	}
	for range 2 + (suspectTTL+2*hubSuspectTTL)/(hubSuspectTTL/5) {
		t.Cleanup(boottime.SimulateSuspension(hubSuspectTTL / 5))
		b.ApplyStatus(a.currentStatus())
		a.ApplyStatus(b.currentStatus())
	}
	is.Equal(len(a.currentStatus().Suspects)+len(b.currentStatus().Suspects), 0)
}

// The status for followers is cached, and built again after statusCacheTTL.
func TestStatusIsCached(t *testing.T) {
	is := is.New(t)
	g := newTestGuard("h", memory.NewTable())
	is.True(g.Status().IsZero())
	g.terminateWith(digest(1), 1, 2)
	is.True(g.Status().IsZero())
	t.Cleanup(boottime.SimulateSuspension(statusCacheTTL))
	is.Equal(len(g.Status().Suspects), 1)
}

// A request in transit to an upstream that terminated isn't reported as lost with it, since it
// never ran there.
func TestRequestsInTransitAreNotReportedAsLost(t *testing.T) {
	is := is.New(t)
	tracker := newRecordingTracker()
	u, l := listener(t)
	tracker.begin(u, digest(1))
	l.Close()
	tracker.end(u, digest(1), Interrupted)
	is.Equal(tracker.nextLostDigests(t), []quarantine.Digest{digest(1)})
	tracker.begin(u, digest(2)) // the connection for it will be refused
	tracker.begin(u, digest(3))
	tracker.end(u, digest(3), Interrupted) // it ran there before; its interruption is detected late
	is.Equal(tracker.nextLostDigests(t), []quarantine.Digest{digest(3)})
	tracker.end(u, digest(2), Unreachable)
	is.Equal(len(tracker.lostDigests), 0)
	// A request sent later than lateResponseWindow shows that the upstream may have restarted
	// under the same name: it no longer counts as terminated.
	t.Cleanup(boottime.SimulateSuspension(lateResponseWindow + time.Millisecond))
	tracker.begin(u, digest(4))
	is.True(!tracker.hasTerminated(u))
}

// Losses are sent to a hub once; a new hub is sent the recent ones again. Losses from another
// host that are recorded already aren't forwarded.
func TestRecentSightings(t *testing.T) {
	is := is.New(t)
	g := newTestGuard("h", memory.NewTable())
	g.terminateWith(digest(1), 1, 2)
	is.Equal(len(g.Sightings().Losses), 2)
	is.Equal(len(g.Sightings().Losses), 0)
	is.Equal(len(g.RecentSightings().Losses), 2)
	fresh := g.AddSightings(exchange.Sightings{Losses: exchange.Losses{{Digest: digest(1), Incarnation: 1, Age: 2*200*time.Millisecond + quarantine.SettleDelay}, {Digest: digest(1), Incarnation: 50}}})
	is.Equal(len(fresh.Losses), 1)
	t.Cleanup(boottime.SimulateSuspension(recentRetention + time.Second))
	is.Equal(len(g.RecentSightings().Losses), 0)
}

// An interrupted response is attributed to its upstream's version, unless a poison request
// terminated the upstream.
func TestAttributeInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGuard("h", memory.NewTable())
		attributed := make(chan string, 10)
		alive := Upstream{ID: "lives", Incarnation: 100}
		g.AttributeInterruption(alive, Attribution{OnVersionCause: func() { attributed <- "lives" }})
		time.Sleep(checkDelay + checkTimeout + time.Millisecond)
		is.Equal(<-attributed, "lives") // the response was interrupted, but the upstream is alive

		d := digest(1)
		for incarnation := range quarantine.Incarnation(4) {
			u := Upstream{ID: "ended", Service: "svc", Address: "", Incarnation: incarnation}
			g.Begin(u, d)
			g.runs.upstreams[incarnation].terminatedAt = boottime.Now()
			g.recordTermination(u, 0, []candidateRun{{digest: d, ran: time.Second}})
			g.AttributeInterruption(u, Attribution{OnVersionCause: func() { attributed <- "ended" }})
			time.Sleep(100 * time.Millisecond)
		}
		other := Upstream{ID: "other", Service: "svc", Incarnation: 200}
		g.Begin(other, digest(2))
		g.runs.upstreams[200].terminatedAt = boottime.Now()
		g.recordTermination(other, 0, []candidateRun{{digest: digest(2), ran: time.Second}})
		g.AttributeInterruption(other, Attribution{OnVersionCause: func() { attributed <- "other" }})
		time.Sleep(quarantine.SettleDelay + time.Millisecond)
		g.makeVerdicts()
		time.Sleep(2 * verdictWait)
		is.Equal(g.VerdictCount(), 1)
		is.Equal(len(attributed), 1)
		is.Equal(<-attributed, "other")
	})
}

// Until the verdict on a part, requests with it run one at a time and aren't retried; requests without it and
// those with its sound companions don't wait.
func TestRequestsWithASuspectPartWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGuard("h", memory.NewTable())
		part, shared := quarantine.PartDigest("dead"), quarantine.PartDigest("shared")
		for i := range 20 {
			g.tracker.RecordSurvival(quarantine.PartDigest(fmt.Sprint("other-", i)), boottime.Elapsed())
			g.tracker.RecordSurvival(shared, boottime.Elapsed())
		}
		for i := range uint32(2) {
			time.Sleep(time.Second)
			for _, d := range []quarantine.Digest{digest(uint64(i)), part, shared} {
				g.tracker.RecordLoss(quarantine.Loss{Digest: d, Incarnation: quarantine.Incarnation(i + 1), At: boottime.Elapsed(), Ran: time.Second})
			}
		}
		ctx := t.Context()
		is.NoErr(g.Admit(ctx, digest(10), "svc", shared, part))
		for i := range uint64(3) {
			is.NoErr(g.Admit(ctx, digest(20+i), "svc", shared))
		}
		started := time.Now()
		is.NoErr(g.Admit(ctx, digest(11), "svc", part))
		is.Equal(time.Since(started), maxSuspectWait)
		g.Leave(digest(10), shared, part)
		g.Leave(digest(11), part)
		started = time.Now()
		is.NoErr(g.Admit(ctx, digest(12), "svc", part))
		is.Equal(time.Since(started), time.Duration(0))
		is.True(!g.VerdictDue(digest(12), shared, part))
		g.register.Add(quarantine.NewVerdict(quarantine.Finding{Digest: part}, "h", g.options.Clock()), boottime.Elapsed())
		is.True(errors.Is(g.Admit(ctx, digest(13), "svc", shared, part), ErrQuarantined))
		is.NoErr(g.Admit(ctx, digest(14), "svc", shared))
	})
}

// A host that lost its path is refused by all upstreams. It must not conclude that they terminated.
func TestRefusalByAllUpstreamsIsNoTermination(t *testing.T) {
	is := is.New(t)
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refusing := closed.Addr().String()
	closed.Close()
	others := func(list ...string) func() []string { return func() []string { return append(list, refusing) } }
	is.True(refusesAlone(t.Context(), refusing, others(listening.Addr().String())))
	is.True(refusesAlone(t.Context(), refusing, others())) // nothing to compare with
	is.True(!refusesAlone(t.Context(), listening.Addr().String(), others()))
	address := listening.Addr().String()
	listening.Close()
	is.True(!refusesAlone(t.Context(), refusing, others(address)))
}
