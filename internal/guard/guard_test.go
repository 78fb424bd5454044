package guard

import (
	"context"
	"encoding/binary"
	"errors"
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

// bench is a guard before a table of the test's.
type bench struct {
	*Guard
	table storage.Table
	mu    sync.Mutex
	now   time.Duration
}

func newBench(host string, table storage.Table) *bench {
	b := &bench{table: table, now: time.Hour}
	b.Guard = New(Options{
		Host: host, Table: table, Prefix: "quarantine/", Log: zerolog.Nop(), Count: func(Counted, string) {},
		Clock: func() time.Duration {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.now
		},
	})
	return b
}

// pass moves the clock on that all hosts share.
func (b *bench) pass(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now += d
}

// fresh is what followers are told, not what they were told just before.
func (b *bench) fresh() exchange.Standing { return b.standingNow(boottime.Elapsed()) }

// follow takes the table's rows, as a watcher would hand them on.
func (b *bench) follow(t *testing.T) {
	t.Helper()
	rows, err := b.table.List(t.Context(), "quarantine/", "", 100)
	if err != nil {
		t.Fatal(err)
	}
	keys := make(map[string]bool)
	for _, row := range rows {
		keys[row.Key] = true
		if err := b.TakeRow(row.Key, row.Value, storage.Revision(row.Version)); err != nil {
			t.Fatal(err)
		}
	}
	b.KeepRows(keys)
}

// spoil has upstreams end with the request, some time apart.
func (b *bench) spoil(d quarantine.Digest, from, ends int) {
	for i := range ends {
		b.lose(Upstream{ID: "u", Service: "svc", Incarnation: quarantine.Incarnation(from + i)}, time.Duration(ends-i)*200*time.Millisecond+quarantine.Settle, []endedRun{{digest: d, ran: 40 * time.Millisecond}})
	}
}

// judged is a guard with a verdict on the request.
func judged(t *testing.T, host string, table storage.Table, d quarantine.Digest) *bench {
	t.Helper()
	b := newBench(host, table)
	b.spoil(d, 1, 3)
	b.judge()
	if b.Len() != 1 {
		t.Fatal("not judged")
	}
	return b
}

// listener is an upstream's address, where something listens until it is closed.
func listener(t *testing.T) (Upstream, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return Upstream{ID: "u", Service: "svc", Address: l.Addr().String(), Incarnation: 1}, l
}

// endings gathers what exposures tell.
type endings struct {
	*exposures
	told     chan []quarantine.Digest
	outlived []quarantine.Digest
}

func newEndings() *endings {
	e := &endings{exposures: newExposures(zerolog.Nop()), told: make(chan []quarantine.Digest, 10)}
	e.survived = func(d quarantine.Digest) { e.outlived = append(e.outlived, d) }
	e.ended = func(_ Upstream, _ time.Duration, runs []endedRun) {
		var digests []quarantine.Digest
		for _, run := range runs {
			digests = append(digests, run.digest)
		}
		e.told <- digests
	}
	return e
}

func (e *endings) next(t *testing.T) []quarantine.Digest {
	t.Helper()
	select {
	case digests := <-e.told:
		slices.SortFunc(digests, func(a, b quarantine.Digest) int { return slices.Compare(a[:], b[:]) })
		return digests
	case <-time.After(5 * time.Second):
		t.Fatal("no upstream ended")
		return nil
	}
}

// An upstream that broke an answer off and refuses connections has ended: with what broke
// off, and with what this host itself had given up there just before.
func TestEndOfAnUpstreamTellsWhatRanThere(t *testing.T) {
	is := is.New(t)
	e := newEndings()
	u, l := listener(t)
	for n := range uint64(5) {
		e.begin(u, digest(n))
	}
	e.end(u, digest(0), Answered)
	undo := boottime.Simulate(aftermath + time.Millisecond)
	t.Cleanup(undo)
	e.end(u, digest(1), NotRun)
	e.end(u, digest(2), GivenUp)
	l.Close()
	e.end(u, digest(3), Broken)
	e.end(u, digest(4), Broken)
	is.Equal(e.next(t), []quarantine.Digest{digest(2), digest(3), digest(4)})
	is.True(e.hasEnded(u))
	e.settle()
	is.Equal(len(e.outlived), 0) // of an upstream that ended nothing is known to be sound
	// What is noticed later is told, too.
	e.begin(u, digest(5))
	e.end(u, digest(5), Broken)
	is.Equal(e.next(t), []quarantine.Digest{digest(5)})
}

// A short run may be answered before it ends its upstream: an answer shows that the request is
// sound only if the upstream is there some time later.
func TestAnswersCountOnceTheUpstreamOutlivedThem(t *testing.T) {
	is := is.New(t)
	e := newEndings()
	u, l := listener(t)
	e.begin(u, digest(1))
	e.end(u, digest(1), Answered)
	e.settle()
	is.Equal(len(e.outlived), 0)
	undo := boottime.Simulate(survivalWait)
	e.settle()
	is.Equal(e.outlived, []quarantine.Digest{digest(1)})
	e.settle()
	is.Equal(len(e.outlived), 1)
	undo()

	// One that an upstream ended with before has to be outlived for sure.
	e.suspected = func(d quarantine.Digest) bool { return d == digest(2) }
	u.Incarnation = 3
	e.begin(u, digest(2))
	e.end(u, digest(2), Answered)
	l.Close()
	t.Cleanup(boottime.Simulate(survivalWait))
	e.settle()
	is.Equal(e.next(t), []quarantine.Digest{digest(2)})
	is.Equal(len(e.outlived), 1)

	// What broke off tells as well.
	v, m := listener(t)
	v.Incarnation = 2
	e.begin(v, digest(4))
	e.begin(v, digest(5))
	e.end(v, digest(4), Answered)
	m.Close()
	e.end(v, digest(5), Broken)
	is.Equal(e.next(t), []quarantine.Digest{digest(4), digest(5)})
}

// An upstream that listens lives, whatever broke off; and so does one at which others go on.
func TestBrokenAnswersAreNoEnd(t *testing.T) {
	is := is.New(t)
	e := newEndings()
	u, l := listener(t)
	e.begin(u, digest(1))
	e.end(u, digest(1), Broken)
	time.Sleep(20 * breakGather)
	l.Close()
	other := Upstream{ID: "o", Service: "svc", Address: u.Address, Incarnation: 2}
	e.begin(other, digest(2))
	e.begin(other, digest(3))
	e.end(other, digest(2), Broken)
	time.Sleep(20 * breakGather)
	is.Equal(len(e.told), 0)
	// A connection that is refused shows it after all.
	e.end(other, digest(3), GivenUp)
	e.begin(other, digest(4))
	e.end(other, digest(4), Unreachable)
	is.Equal(e.next(t), []quarantine.Digest{digest(2), digest(3)})
}

// What this host gave up at an upstream that another host saw end is told, if it was shortly
// before.
func TestEndSeenElsewhere(t *testing.T) {
	is := is.New(t)
	e := newEndings()
	u, _ := listener(t)
	e.begin(u, digest(1))
	e.end(u, digest(1), GivenUp)
	t.Cleanup(boottime.Simulate(lingering + 200*time.Millisecond))
	e.begin(u, digest(2))
	e.end(u, digest(2), GivenUp)
	e.endedElsewhere(u.Incarnation, 100*time.Millisecond)
	is.Equal(e.next(t), []quarantine.Digest{digest(2)})
	e.endedElsewhere(99, 0) // nothing of this host's ran there
	is.Equal(len(e.told), 0)
}

// What is kept of upstreams is forgotten when nothing runs there any more.
func TestExposuresAreTidied(t *testing.T) {
	is := is.New(t)
	e := newEndings()
	u, _ := listener(t)
	e.begin(u, digest(1))
	e.end(u, digest(1), GivenUp)
	e.sweep()
	is.Equal(len(e.upstreams), 1)
	t.Cleanup(boottime.Simulate(recentKept + time.Second))
	e.sweep()
	is.Equal(len(e.upstreams), 0)
}

// A request that nothing is held against never waits; a suspect is at one upstream at a
// time, and one that is to be judged waits for that.
func TestSuspectsGoOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		b := newBench("h", memory.New())
		start := time.Now()
		for range 100 {
			is.NoErr(b.Admit(ctx, digest(1), "svc"))
		}
		is.Equal(time.Since(start), time.Duration(0))

		// One that an upstream ended with isn't sent to a second one beside it, unless it was
		// answered just before: then it is a popular one.
		once, popular := digest(8), digest(9)
		b.spoil(once, 100, 1)
		b.survive(popular)
		b.spoil(popular, 101, 1)
		is.NoErr(b.Admit(ctx, popular, "svc"))
		is.NoErr(b.Admit(ctx, popular, "svc"))
		is.NoErr(b.Admit(ctx, once, "svc"))
		is.Equal(time.Since(start), time.Duration(0))
		is.NoErr(b.Admit(ctx, once, "svc"))
		is.Equal(time.Since(start), longestHold)
		start = time.Now()

		d := digest(2)
		b.spoil(d, 1, 2)
		is.NoErr(b.Admit(ctx, d, "svc"))
		entered := make(chan time.Duration, 2)
		go func() {
			is.NoErr(b.Admit(ctx, d, "svc"))
			entered <- time.Since(start)
		}()
		time.Sleep(300 * time.Millisecond)
		is.Equal(len(entered), 0)
		b.Leave(d)
		is.Equal(<-entered, 300*time.Millisecond)

		// Answered, it waits for nothing more.
		b.survive(d)
		b.Leave(d)
		is.NoErr(b.Admit(ctx, d, "svc"))
		is.NoErr(b.Admit(ctx, d, "svc"))

		// One that isn't judged after all goes on.
		d = digest(3)
		b.spoil(d, 10, 3)
		is.True(b.NearlyJudged(d))
		before := time.Now()
		is.NoErr(b.Admit(ctx, d, "svc"))
		is.Equal(time.Since(before), longestHold)

		// One that is judged meanwhile doesn't.
		b.Leave(d)
		go func() {
			time.Sleep(200 * time.Millisecond)
			b.judge()
		}()
		is.True(errors.Is(b.Admit(ctx, d, "svc"), ErrQuarantined))

		// Whose time is over doesn't either.
		d = digest(4)
		b.spoil(d, 20, 2)
		is.NoErr(b.Admit(ctx, d, "svc"))
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		is.True(errors.Is(b.Admit(short, d, "svc"), context.DeadlineExceeded))
	})
}

// A verdict is in the store, where hosts that weren't there find it, and it is lifted by
// the removal of its row.
func TestVerdictsOutliveTheirHosts(t *testing.T) {
	is := is.New(t)
	table, d := memory.New(), digest(1)
	b := judged(t, "h1", table, d)
	is.True(errors.Is(b.Admit(t.Context(), d, "svc"), ErrQuarantined))
	b.rows.write(t.Context(), true)

	later := newBench("h2", table)
	is.NoErr(later.Admit(t.Context(), d, "svc")) // it doesn't know yet, and doesn't wait
	later.follow(t)
	is.True(errors.Is(later.Admit(t.Context(), d, "svc"), ErrQuarantined))
	is.NoErr(later.Admit(t.Context(), digest(2), "svc"))

	row, err := table.Get(t.Context(), "quarantine/"+d.String())
	is.NoErr(err)
	_, err = table.Commit(t.Context(), storage.Txn{Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key}})
	is.NoErr(err)
	later.follow(t)
	is.NoErr(later.Admit(t.Context(), d, "svc"))
	// Another host that hasn't heard yet doesn't bring it back.
	later.TakeStanding(b.fresh())
	is.NoErr(later.Admit(t.Context(), d, "svc"))
}

// A verdict that the store couldn't take is told by hosts as long as that, and written by
// another judging host if the one that made it is gone.
func TestVerdictWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	table, d := memory.New(), digest(1)
	b := judged(t, "h1", table, d)
	undo := boottime.Simulate(time.Minute)
	t.Cleanup(undo)
	standing := b.fresh()
	is.Equal(len(standing.Verdicts), 1) // not stored, so told on
	other := newBench("h2", table)
	other.TakeStanding(standing)
	is.True(errors.Is(other.Admit(t.Context(), d, "svc"), ErrQuarantined))
	other.rows.write(t.Context(), true)
	_, err := table.Get(t.Context(), "quarantine/"+d.String())
	is.True(errors.Is(err, storage.ErrNotFound)) // the first host may still write it
	t.Cleanup(boottime.Simulate(writeForOthers + time.Second))
	other.rows.write(t.Context(), false) // it doesn't judge
	other.rows.write(t.Context(), true)
	_, err = table.Get(t.Context(), "quarantine/"+d.String())
	is.NoErr(err)
	t.Cleanup(boottime.Simulate(verdictFor + time.Second))
	is.Equal(len(other.fresh().Verdicts), 0) // the store tells it now
}

// After a verdict's end one host tries the request once. If an upstream ends with it, it is
// kept away for longer; if it is answered, the verdict is gone.
func TestTrial(t *testing.T) {
	is := is.New(t)
	table, d := memory.New(), digest(1)
	a := judged(t, "h1", table, d)
	a.rows.write(t.Context(), true)
	b := newBench("h2", table)
	b.follow(t)
	u := Upstream{ID: "u", Service: "svc", Incarnation: 77}
	pass := func(by time.Duration) {
		a.pass(by)
		b.pass(by)
	}
	admitted := func(g *bench) bool { return g.Admit(t.Context(), d, "svc") == nil }
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
		return e.Until
	}

	pass(11 * time.Minute)
	is.True(!admitted(a)) // it only claims the trial
	eventually("a may try", func() bool { return admitted(a) })
	b.follow(t)
	is.True(!admitted(b)) // nobody else may
	is.True(!admitted(a)) // and a only once
	term := until()
	a.lose(u, 0, []endedRun{{digest: d, ran: time.Second}})
	eventually("the verdict holds again", func() bool { return until() > term })
	is.Equal(until()-a.options.Clock(), time.Hour)
	is.True(!admitted(a))

	pass(61 * time.Minute)
	b.follow(t)
	is.True(!admitted(b))
	eventually("b may try", func() bool { return admitted(b) })
	b.survive(d)
	eventually("the row is gone", func() bool {
		_, err := table.Get(t.Context(), "quarantine/"+d.String())
		return errors.Is(err, storage.ErrNotFound)
	})
	a.follow(t)
	is.True(admitted(a) && admitted(b))
}

// The row of a verdict that nobody asked for in a week after its end is removed.
func TestUnusedVerdictsAreRemoved(t *testing.T) {
	is := is.New(t)
	table := memory.New()
	b := judged(t, "h1", table, digest(1))
	b.rows.write(t.Context(), true)
	b.pass(8 * 24 * time.Hour)
	t.Cleanup(boottime.Simulate(2 * tidyGap))
	b.rows.write(t.Context(), true)
	is.Equal(b.Len(), 0)
	_, err := table.Get(t.Context(), "quarantine/"+digest(1).String())
	is.True(errors.Is(err, storage.ErrNotFound))
}

// Rows that aren't verdicts keep nothing away.
func TestUnreadableRows(t *testing.T) {
	is := is.New(t)
	b := newBench("h", memory.New())
	is.True(b.TakeRow("quarantine/zz", []byte("{}"), 1) != nil)
	is.True(b.TakeRow("quarantine/"+digest(1).String(), []byte("["), 1) != nil)
	is.True(b.TakeRow("quarantine/"+digest(1).String(), []byte(`{"digest":"`+digest(2).String()+`","until_ms":1}`), 1) != nil)
	is.True(b.RowRemoved("quarantine/zz") != nil)
	is.Equal(b.Len(), 0)
}

// A suspect that the hub tells and that this host saw answered since is cleared; the hub hears
// that.
func TestSuspectThatWasAnsweredHere(t *testing.T) {
	is := is.New(t)
	hub, host := newBench("hub", memory.New()), newBench("host", memory.New())
	d := digest(1)
	hub.spoil(d, 1, 2)
	host.survive(d)
	host.TakeStanding(hub.fresh())
	is.Equal(host.events(d, boottime.Elapsed()), 0)
	hub.Take(host.Sightings())
	is.Equal(hub.events(d, boottime.Elapsed()), 0)
	is.Equal(len(hub.fresh().Suspects), 0)

	// One that it didn't see answered since is a suspect here, too, for as long as it is told.
	d = digest(2)
	host.survive(d)
	t.Cleanup(boottime.Simulate(10 * time.Second))
	hub.spoil(d, 10, 2)
	host.TakeStanding(hub.fresh())
	is.Equal(host.events(d, boottime.Elapsed()), 2)
	t.Cleanup(boottime.Simulate(toldFor + time.Second))
	is.Equal(host.events(d, boottime.Elapsed()), 0)
}

// What hosts tell each other to and fro ends.
func TestSuspectsDontGoRound(t *testing.T) {
	is := is.New(t)
	a, b := newBench("a", memory.New()), newBench("b", memory.New())
	d := digest(1)
	a.spoil(d, 1, 2)
	for range 10 {
		b.TakeStanding(a.fresh())
		a.TakeStanding(b.fresh())
	}
	for range 2 + (suspectFor+2*toldFor)/(toldFor/5) {
		t.Cleanup(boottime.Simulate(toldFor / 5))
		b.TakeStanding(a.fresh())
		a.TakeStanding(b.fresh())
	}
	is.Equal(len(a.fresh().Suspects)+len(b.fresh().Suspects), 0)
}

// What followers are told is made for all of them at once, and is young.
func TestStandingIsShared(t *testing.T) {
	is := is.New(t)
	b := newBench("h", memory.New())
	is.True(b.Standing().IsZero())
	b.spoil(digest(1), 1, 2)
	is.True(b.Standing().IsZero())
	t.Cleanup(boottime.Simulate(standingEvery))
	is.Equal(len(b.Standing().Suspects), 1)
}

// A request on its way to an upstream that ended isn't held against: it never ran there.
func TestRequestsOnTheirWayArentExposed(t *testing.T) {
	is := is.New(t)
	e := newEndings()
	u, l := listener(t)
	e.begin(u, digest(1))
	l.Close()
	e.end(u, digest(1), Broken)
	is.Equal(e.next(t), []quarantine.Digest{digest(1)})
	e.begin(u, digest(2)) // it meets nobody there
	e.begin(u, digest(3))
	e.end(u, digest(3), Broken) // this one was noticed late
	is.Equal(e.next(t), []quarantine.Digest{digest(3)})
	e.end(u, digest(2), Unreachable)
	is.Equal(len(e.told), 0)
	// Started again under its name, it begins anew.
	t.Cleanup(boottime.Simulate(sameEnd + time.Millisecond))
	e.begin(u, digest(4))
	is.True(!e.hasEnded(u))
}

// A new hub is told what the host saw lately, another time.
func TestRecentSightings(t *testing.T) {
	is := is.New(t)
	b := newBench("h", memory.New())
	b.spoil(digest(1), 1, 2)
	is.Equal(len(b.Sightings().Losses), 2)
	is.Equal(len(b.Sightings().Losses), 0)
	is.Equal(len(b.Recent().Losses), 2)
	fresh := b.Take(exchange.Sightings{Losses: exchange.Losses{{Digest: digest(1), Incarnation: 1, Age: 2*200*time.Millisecond + quarantine.Settle}, {Digest: digest(1), Incarnation: 50}}})
	is.Equal(len(fresh.Losses), 1)
	t.Cleanup(boottime.Simulate(recentFor + time.Second))
	is.Equal(len(b.Recent().Losses), 0)
}

// The end of an upstream is held against its version, unless a request is to blame.
func TestUnexplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench("h", memory.New())
		held := make(chan string, 10)
		lives := Upstream{ID: "lives", Incarnation: 100}
		b.Unexplained(lives, Blame{Version: func() { held <- "lives" }})
		time.Sleep(breakGather + checkTimeout + time.Millisecond)
		is.Equal(<-held, "lives") // its answer broke off, and it answers still

		d := digest(1)
		for incarnation := range quarantine.Incarnation(4) {
			u := Upstream{ID: "ended", Service: "svc", Address: "", Incarnation: incarnation}
			b.Begin(u, d)
			b.exposures.upstreams[incarnation].endedAt = boottime.Now()
			b.lose(u, 0, []endedRun{{digest: d, ran: time.Second}})
			b.Unexplained(u, Blame{Version: func() { held <- "ended" }})
			time.Sleep(100 * time.Millisecond)
		}
		other := Upstream{ID: "other", Service: "svc", Incarnation: 200}
		b.Begin(other, digest(2))
		b.exposures.upstreams[200].endedAt = boottime.Now()
		b.lose(other, 0, []endedRun{{digest: digest(2), ran: time.Second}})
		b.Unexplained(other, Blame{Version: func() { held <- "other" }})
		time.Sleep(quarantine.Settle + time.Millisecond)
		b.judge()
		time.Sleep(2 * blameWait)
		is.Equal(b.Len(), 1)
		is.Equal(len(held), 1)
		is.Equal(<-held, "other")
	})
}
