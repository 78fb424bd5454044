package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Periodic tasks must visit only the upstreams that the host uses or that are cold or rate-limited.
// An earlier version visited all: with 10,000 engines about 40 times a second, although the host
// had requests in flight at one or two of them.
func TestPeriodicTasksVisitUpstreamsInUseOnly(t *testing.T) {
	is := is.New(t)
	f := largeFleet(12_000, 5)
	s := f.shard("svc")
	is.Equal(len(s.inUse)+len(s.coldOrLimited), 0)

	c, ok := f.choose(sharedPrefixCriteria("p"))
	is.True(ok)
	is.Equal(len(s.inUse), 1)
	is.Equal(len(f.workInFlight()), 1)
	f.release(c, attemptResult{outcome: outcomeDone})
	is.Equal(len(s.inUse), 0)

	m := f.memberOf("svc", c.upstream.ID)
	s.coldBound = ratelease.ColdBound{Rate: 10, Overrun: 1.5}
	m.markCold(time.Minute, coldReasonEntry, f.log)
	is.Equal(len(s.coldOrLimited), 1)
	f.logEndedRestrictions()
	is.Equal(len(s.coldOrLimited), 1)
	is.Equal(len(f.LeaseGrants(1)), 1)
	m.coldState.until = boottime.Now()
	f.logEndedRestrictions()
	is.Equal(len(s.coldOrLimited), 0)

	f.observeLimit(&c, limitHeader{values: []string{"5"}})
	is.Equal(len(s.coldOrLimited), 1)
	is.Equal(len(f.currentLimits()), 1)
	f.RemoveEntry(c.upstream.ID, 2, false)
	f.DeleteOldRecords(boottime.Now().Add(2 * recordRetention))
	is.Equal(len(s.coldOrLimited), 0)
	is.Equal(s.startCounts, startCounts{total: 11_999})
}

// maxUpstreamBytes bounds the memory that a host keeps for an upstream that it doesn't use, in
// bytes. 12,000 upstreams may use a quarter of the 32 MB that a host may use for the control plane.
// Another quarter is needed because the garbage collector lets the heap double, and the rest is for
// memory that doesn't grow with the number of upstreams.
const maxUpstreamBytes = 32 << 20 / 4 / 12_000

// The records of upstreams must stay small: with 10,000 engines, hosts once used 57 MB, which made
// memory their scarcest resource.
func TestMemoryOfAnUpstream(t *testing.T) {
	if testing.CoverMode() != "" || raceEnabled {
		t.Skip("the instrumentation distorts the heap size")
	}
	is := is.New(t)
	const upstreams = 12_000
	rows := entryRows(upstreams)
	before := heapInUse()
	f := NewFleet(time.Second, zerolog.Nop())
	for i, row := range rows {
		f.ApplyEntry(decodeEntry(t, row), storage.Revision(i+1))
	}
	f.shard("svc").refreshIndex(boottime.Now().Add(indexMaxAge))
	bytesPerUpstream := int(heapInUse()-before) / upstreams
	t.Logf("%d B per upstream", bytesPerUpstream)
	is.True(bytesPerUpstream <= maxUpstreamBytes)
	is.Equal(len(f.shard("svc").members), upstreams)
	runtime.KeepAlive(rows)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// entryRows returns rows with entries as upstreams write them. No two rows share memory.
func entryRows(n int) []feed.Row {
	rows := make([]feed.Row, n)
	for i := range rows {
		data := fmt.Sprintf(`{"Service":"svc","Address":"10.%d.%d.%d:8000","Zone":"zone-%d","Version":"v1","Slots":16}`, i>>16, i>>8&255, i&255, i%5)
		rows[i] = feed.Row{Key: fmt.Sprintf("i-%08x", i), Data: []byte(data), Revision: storage.Revision(i + 1)}
	}
	return rows
}

func decodeEntry(t testing.TB, row feed.Row) Upstream {
	var u Upstream
	if err := json.Unmarshal(row.Data, &u); err != nil {
		t.Fatal(err)
	}
	u.ID = strings.Clone(row.Key)
	return u
}

// The number of log lines must not grow with the number of upstreams. An earlier version logged a
// line for each upstream at the start of a host and for each change of an entry: with 10,000
// upstreams, 985 hosts together wrote ten million lines in a second.
func TestLogLinesDontGrowWithUpstreams(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.log = zerolog.New(&log).Level(zerolog.InfoLevel)
	f := tg.gateway.fleet
	const upstreams = 1000
	change := func(do func(i int, id string)) {
		for i := range upstreams {
			do(i, fmt.Sprintf("i-%05d", i))
		}
		f.logEntryChanges()
	}
	entry := func(id string, start Incarnation, leaving bool) Upstream {
		return Upstream{ID: id, Service: "svc", Incarnation: start, Address: "127.0.0.1:9", Version: "v1", Leaving: leaving}
	}
	change(func(_ int, id string) { f.ApplyEntry(entry(id, firstStart, false), 1) })
	change(func(_ int, id string) { f.ApplyEntry(entry(id, secondStart, false), 2) })
	used, ok := f.choose(criteria{service: "svc", admitsVersion: anyVersion})
	is.True(ok)
	change(func(_ int, id string) { f.ApplyEntry(entry(id, secondStart, true), 3) })
	change(func(_ int, id string) { f.RemoveEntry(id, 4, false) })
	f.logEntryChanges() // nothing changed

	lines := bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n"))
	changeLines := 0
	for _, line := range lines {
		if bytes.Contains(line, []byte("upstreams-changed")) {
			changeLines++
		} else {
			is.True(bytes.Contains(line, []byte(used.upstream.ID))) // the upstream with a request in flight
		}
	}
	is.Equal(changeLines, 4)
	is.Equal(len(lines), changeLines+2)
}

// When a host receives the whole table, it decodes only the rows whose revision it hasn't applied
// yet.
func TestKnownEntriesAreNotDecodedAgain(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	decoded := 0
	decode := tg.gateway.settings.Codec.Upstream
	tg.gateway.settings.Codec.Upstream = func(id string, data []byte) (Upstream, error) {
		decoded++
		return decode(id, data)
	}
	rows := newUpstreamTableHandler(tg.gateway)
	table := make([]feed.Row, 100)
	for i := range table {
		table[i] = feed.Row{Key: fmt.Sprint("i-", i), Revision: storage.Revision(i + 1), Data: []byte(`{"Service":"svc","Incarnation":5,"Address":"127.0.0.1:9"}`)}
	}
	rows.Replace(table, 100)
	is.Equal(decoded, 100)
	table[3].Revision, table[3].Data = 101, []byte(`{"Service":"svc","Incarnation":5,"Address":"127.0.0.1:9","Leaving":true}`)
	rows.Change(feed.Row{Key: table[4].Key, Revision: 102, Deleted: true})
	rows.Replace(table, 102)
	is.Equal(decoded, 102) // the changed row, and the one that was removed in the meantime
	is.True(tg.gateway.fleet.memberOf("svc", "i-3").Leaving)
	is.True(tg.gateway.fleet.memberOf("svc", "i-4").removedAt.IsZero())
}

// The number of recorded prefixes that other hosts sent is bounded, and recording them creates no
// usage record for an engine that this host doesn't use.
func TestRemotePrefixesAreBounded(t *testing.T) {
	is := is.New(t)
	f := largeFleet(12_000, 5)
	prefixes := make(exchange.SentPrefixes)
	key := placement.PrefixKey(0)
	for i := range 12_000 {
		for range 4 {
			key++
			name := exchange.HashID(fmt.Sprintf("i-%05d", i))
			prefixes[name] = append(prefixes[name], key)
		}
	}
	f.addRemotePrefixes(prefixes)
	s := f.shard("svc")
	is.Equal(s.cachedPrompts.Len(), placement.MaxCachedPrefixes)
	for _, m := range s.members {
		is.True(m.usage == nil)
	}
}
