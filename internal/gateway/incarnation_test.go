package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	firstStart  Incarnation = 1_700_000_000_000
	secondStart Incarnation = firstStart + 5_000
)

func engineStartedAt(start Incarnation) Upstream {
	return Upstream{ID: "e", Incarnation: start, Service: "svc", Address: "127.0.0.1:9", Zone: "z1", Version: "v1", Slots: 8}
}

func (f *Fleet) memberOf(service, id string) *member { return f.shard(service).members[id] }

// promptCriteria returns the criteria of a request whose prompt has one shared part.
func promptCriteria() criteria {
	prompt := &placement.Prompt{Parts: []placement.Part{{ID: "p", Tokens: 1000}}, Tokens: 1200, SharedParts: 1}
	return criteria{
		service: "svc", zone: "z1", prompt: prompt, model: "m", keys: placement.PrefixKeys("m", prompt),
		target: time.Second, admitsVersion: func(string) bool { return true },
	}
}

func TestRestartedUpstreamHasNoFormerState(t *testing.T) {
	is := is.New(t)
	f := NewFleet(time.Second, zerolog.Nop())
	f.ApplyEntry(engineStartedAt(firstStart), 1)
	former, ok := f.choose(promptCriteria())
	is.True(ok)
	m := f.memberOf("svc", "e")
	m.eject(time.Now())
	m.ensureUsage().failureRate, m.ensureUsage().failureRateAt = 1, time.Now()
	formerCopy := former
	leaving := engineStartedAt(firstStart)
	leaving.Leaving = true
	f.ApplyEntry(leaving, 2)
	is.True(!f.hasInService("svc", regionConstraint{}, func(string) bool { return true }))

	f.ApplyEntry(engineStartedAt(secondStart), 3)
	now := time.Now()
	m = f.memberOf("svc", "e")
	is.True(m.inService(now))                                             // it isn't leaving
	is.Equal(m.inFlight, 0)                                               // it has no requests in flight
	is.Equal(m.cachedPartCount(former.criteria.keys), 0)                  // it has nothing cached
	is.Equal(m.currentFailureRate(now), 0.0)                              // it has no failures
	is.True(!m.ejected(now))                                              // it isn't ejected
	is.True(m.idHash != exchange.HashID(former.upstream.incarnationID())) // its id in messages between hosts is another one

	// The result of a request to the former incarnation doesn't affect the new one.
	f.headReceived(&formerCopy, 100*time.Millisecond)
	f.release(former, attemptResult{outcome: outcomeUnsent})
	is.Equal(m.inFlight, 0)
	is.Equal(m.currentFailureRate(now), 0.0)
	is.True(!m.ejected(now))
	is.Equal(m.cachedPartCount(former.criteria.keys), 0)
}

// Work and prefixes that other hosts reported for a former incarnation aren't applied to the new
// one.
func TestRemoteDataOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	f := NewFleet(time.Second, zerolog.Nop())
	f.ApplyEntry(engineStartedAt(firstStart), 1)
	formerName := f.memberOf("svc", "e").idHash
	f.ApplyEntry(engineStartedAt(secondStart), 2)
	keys := promptCriteria().keys
	f.setRemoteWork(exchange.Work{formerName: 900}, time.Now())
	f.addRemotePrefixes(exchange.SentPrefixes{formerName: keys})
	m := f.memberOf("svc", "e")
	is.Equal(m.remainingRemoteWork(time.Now()), time.Duration(0))
	is.Equal(m.cachedPartCount(keys), 0)
}

func TestLateEntryOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	f := NewFleet(time.Second, zerolog.Nop())
	f.ApplyEntry(engineStartedAt(secondStart), 1)
	late := engineStartedAt(firstStart)
	late.Leaving = true
	late.Address = "127.0.0.1:10"
	f.ApplyEntry(late, 2)
	m := f.memberOf("svc", "e")
	is.True(m.inService(time.Now()))
	is.Equal(m.Upstream, engineStartedAt(secondStart))
}

func TestUpstreamThatChangedItsService(t *testing.T) {
	is := is.New(t)
	f := NewFleet(time.Second, zerolog.Nop())
	f.ApplyEntry(engineStartedAt(firstStart), 1)
	moved := engineStartedAt(firstStart)
	moved.Service = "other"
	f.ApplyEntry(moved, 2)
	any := func(string) bool { return true }
	is.True(!f.hasInService("svc", regionConstraint{}, any))
	is.True(f.hasInService("other", regionConstraint{}, any))
}

// A connection to a former incarnation isn't used for the new one at the same address.
func TestConnectionsOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	var dialled []string
	dial := tg.gateway.egress.direct.DialContext
	tg.gateway.egress.direct.DialContext = func(ctx context.Context, network, host string) (net.Conn, error) {
		dialled = append(dialled, host)
		return dial(ctx, network, host)
	}
	u := Upstream{ID: "a", Incarnation: firstStart, Zone: "z1", Version: "v1"}
	tg.startUpstreamOf(u, respondOK("hello"))
	for range 2 {
		is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "hello")
	}
	is.Equal(len(dialled), 1)
	again := tg.gateway.fleet.memberOf("svc", "a").Upstream
	again.Incarnation = secondStart
	tg.gateway.fleet.ApplyEntry(again, 2)
	is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).body, "hello")
	is.Equal(len(dialled), 2)
}

// If the row of an upstream can't be decoded, or lacks the start time that all others have, the
// upstream is withdrawn. This is logged once for each change of the row, and other upstreams aren't
// affected.
func TestUnusableEntriesAreWithdrawn(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	tg := newTestGateway(t, testDocument())
	tg.gateway.log = zerolog.New(&log)
	rows := newUpstreamTableHandler(tg.gateway)
	any := func(string) bool { return true }
	good := func(key string, revision storage.Revision) feed.Row {
		return feed.Row{Key: key, Revision: revision, Data: []byte(`{"Service":"svc","Incarnation":5,"Address":"127.0.0.1:9","Zone":"z1","Version":"v1"}`)}
	}
	bad := feed.Row{Key: "a", Revision: 3, Data: []byte("\x00\xff")}
	rows.Replace([]feed.Row{good("a", 1), good("b", 2)}, 2)
	rows.Change(bad)
	f := tg.gateway.fleet
	is.True(!f.memberOf("svc", "a").inService(time.Now()))
	is.True(f.memberOf("svc", "b").inService(time.Now()))
	rows.Replace([]feed.Row{bad, good("b", 2)}, 2)
	is.True(!f.memberOf("svc", "a").inService(time.Now()))
	is.Equal(bytes.Count(log.Bytes(), []byte("row-unreadable")), 1)
	is.Equal(tg.gateway.metrics.unreadableRowCounter("upstreams").Get(), uint64(1))

	rows.Change(feed.Row{Key: "c", Revision: 4, Data: []byte(`{"Service":"svc","Address":"127.0.0.1:9"}`)})
	is.True(f.memberOf("svc", "c") == nil) // all other entries have a start time

	rows.Change(good("a", 5))
	is.True(f.memberOf("svc", "a").inService(time.Now()))
	is.True(f.hasInService("svc", regionConstraint{}, any))
}

// Entries without a start time are applied where no entry has one: some platforms give an upstream
// a new id at each start instead.
func TestEntriesWithoutStartTime(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	rows := newUpstreamTableHandler(tg.gateway)
	for i, key := range []string{"a", "b", "c"} {
		rows.Change(feed.Row{Key: key, Revision: storage.Revision(i + 1), Data: []byte(`{"Service":"svc","Address":"127.0.0.1:9"}`)})
	}
	is.Equal(tg.gateway.fleet.startCounts(), startCounts{withStart: 0, total: 3})
}

// The host must record the revision of a status that can't be decoded. The write that replaces the
// row is conditional on this revision.
func TestUnreadableStatusIsReplaced(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	ro := tg.gateway.rollouts
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 1}, false)
	rows := newStatusTableHandler(tg.gateway)
	for _, data := range []string{"{", `{"Service":"other","Version":"v2"}`} {
		revision := ro.byService["svc"].status.Revision + 3
		rows.Change(feed.Row{Key: "order/svc", Revision: revision, Data: []byte(data)})
		is.Equal(ro.byService["svc"].status.Revision, revision)
		is.True(!ro.byService["svc"].hasStatus())
	}
}

func TestOrderUnderAnotherKey(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	rows := newOperatorTableHandler(tg.gateway)
	rows.Change(feed.Row{Key: "order/other", Revision: 3, Data: []byte(`{"Service":"svc","Version":"v2"}`)})
	is.Equal(len(tg.gateway.rollouts.byService), 0)
	is.Equal(tg.gateway.metrics.unreadableRowCounter("operator").Get(), uint64(1))
}

func TestDialAddress(t *testing.T) {
	is := is.New(t)
	u := Upstream{Address: "10.0.0.1:80"}
	is.Equal(dialAddress(u.connHost()), "10.0.0.1:80")
	u.Incarnation = firstStart
	is.Equal(dialAddress(u.connHost()), "10.0.0.1:80")
	is.True(u.connHost() != u.Address)
	_, err := http.NewRequest(http.MethodGet, "http://"+u.connHost()+"/", io.Reader(nil))
	is.NoErr(err)
}
