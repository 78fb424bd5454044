package gateway

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

// A host before 10,000 engines went through all of them about 40 times a second, though it
// had requests at one or two.
func TestPeriodicWorkLooksAtUpstreamsInUseOnly(t *testing.T) {
	is := is.New(t)
	f := largeFleet(12_000, 5)
	s := f.shard("svc")
	is.Equal(len(s.active)+len(s.leased), 0)

	c, ok := f.choose(sharedWants("p"))
	is.True(ok)
	is.Equal(len(s.active), 1)
	is.Equal(len(f.work()), 1)
	f.release(c, attemptResult{outcome: outcomeDone})
	is.Equal(len(s.active), 0)

	m := f.memberOf("svc", c.upstream.ID)
	s.bound = ratelease.Bound{Rate: 10, Overrun: 1.5}
	m.noteCold(time.Minute, coldEntry, f.log)
	is.Equal(len(s.leased), 1)
	f.noteOpen()
	is.Equal(len(s.leased), 1)
	is.Equal(len(f.Leased(1)), 1)
	m.warmth.until = boottime.Now()
	f.noteOpen()
	is.Equal(len(s.leased), 0)

	f.observeLimit(&c, limitHeader{values: []string{"5"}})
	is.Equal(len(s.leased), 1)
	is.Equal(len(f.knownLimits()), 1)
	f.Remove(c.upstream.ID, 2, false)
	f.Sweep(boottime.Now().Add(2 * forgetAfter))
	is.Equal(len(s.leased), 0)
	is.Equal(s.starts, starts{all: 11_999})
}

// upstreamBudget bounds what a host keeps of an upstream that it doesn't use, in bytes: a
// quarter of the 32 MB that control may take, for 12,000 of them; the collector lets the heap
// double, and the rest is for what doesn't grow with them.
const upstreamBudget = 32 << 20 / 4 / 12_000

// Before 10,000 engines hosts had 57 MB, and were more likely to be short of memory than of
// anything else.
func TestMemoryOfAnUpstream(t *testing.T) {
	if testing.CoverMode() != "" || underRace {
		t.Skip("the heap is the instrumentation's")
	}
	is := is.New(t)
	const upstreams = 12_000
	rows := entryRows(upstreams)
	before := heapInUse()
	f := NewFleet(time.Second, zerolog.Nop())
	for i, row := range rows {
		f.Set(decodeEntry(t, row), storage.Revision(i+1))
	}
	f.shard("svc").rosterOf(boottime.Now().Add(rosterAge))
	each := int(heapInUse()-before) / upstreams
	t.Logf("%d B an upstream", each)
	is.True(each <= upstreamBudget)
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

// entryRows are rows with entries as upstreams write them, each text a string of its own.
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
