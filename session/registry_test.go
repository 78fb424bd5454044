package session

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

const testTTL = time.Hour

func newTestRegistry(table storage.Table) *Registry {
	return NewRegistry(Options{Table: table, TTL: testTTL})
}

// withTable runs a test with an empty table in its own synctest bubble.
func withTable(t *testing.T, test func(t *testing.T, is *is.I, table *faulty.Table)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), faulty.NewTable(memory.NewTable())) })
}

func newProposal(version string) Binding {
	b := testBinding
	b.Version = version
	b.IssuedAt = time.Time{}
	return b
}

func mustBind(t *testing.T, r *Registry, version string) (string, bool) {
	t.Helper()
	b, durable, err := r.Bind(t.Context(), newProposal(version))
	is.New(t).NoErr(err)
	return b.Version, durable
}

func TestConcurrentBindsAgree(t *testing.T) {
	cases := []struct {
		desc  string
		fault func(*faulty.Table)
	}{
		{desc: "no fault", fault: func(*faulty.Table) {}},
		{desc: "responses lost after commit", fault: func(f *faulty.Table) { f.LoseNextResponses(4) }},
		{desc: "delayed commit", fault: func(f *faulty.Table) { f.DelayNextCommits(1, time.Second) }},
		{desc: "commits dropped without response", fault: func(f *faulty.Table) { f.DropNextCommits(2) }},
		{desc: "slow calls", fault: func(f *faulty.Table) { f.SetDelay(100 * time.Millisecond) }},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const hosts = 8
				table := faulty.NewTable(memory.NewTable())
				tc.fault(table)
				var got [hosts]Binding
				var durable [hosts]bool
				var wg sync.WaitGroup
				for i := range hosts {
					wg.Go(func() {
						got[i], durable[i], _ = newTestRegistry(table).Bind(t.Context(), newProposal(fmt.Sprint("v", i)))
					})
				}
				wg.Wait()
				for i := range hosts {
					is.True(durable[i])
					is.Equal(got[i], got[0]) // all concurrent first requests get the same version
				}
				time.Sleep(2 * time.Second) // the delayed commit has been applied
				later, _ := mustBind(t, newTestRegistry(table), "later")
				is.Equal(later, got[0].Version) // a new proposal doesn't move the session
			})
		})
	}
}

func TestBindWithoutTable(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *faulty.Table) {
		hostA, hostB := newTestRegistry(table), newTestRegistry(table)
		table.SetDown(true)
		v, durable := mustBind(t, hostA, "v1")
		is.Equal(v, "v1")
		is.True(!durable) // the table is unreachable
		v, durable = mustBind(t, hostA, "v2")
		is.Equal(v, "v1") // the host keeps its local binding
		is.True(!durable)
		is.Equal(table.Counts().Gets, 1) // no table call during the backoff
		table.ClearFaults()
		time.Sleep(2 * defaultBackoff)
		v, durable = mustBind(t, hostA, "v2")
		is.Equal(v, "v1")
		is.True(durable) // written after the outage
		v, _ = mustBind(t, hostB, "v2")
		is.Equal(v, "v1")
		table.SetDown(true)
		v, durable = mustBind(t, hostB, "v2")
		is.Equal(v, "v1")
		is.True(durable) // read from the table before the outage
	})
}

func TestBindEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := newTestRegistry(memory.NewTable()).Bind(ctx, newProposal("v1"))
	is.True(errors.Is(err, context.Canceled))
	_, _, err = newTestRegistry(memory.NewTable()).Bind(t.Context(), Binding{})
	is.True(errors.Is(err, ErrInvalidBinding))
}

func TestRowLastsTTLAfterUse(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *faulty.Table) {
		mustBind(t, newTestRegistry(table), "v1")
		for range 50 {
			time.Sleep(testTTL / 5)
			v, _ := mustBind(t, newTestRegistry(table), "v2")
			is.Equal(v, "v1") // the row hasn't expired
		}
		is.True(table.Counts().Commits <= 12) // not every use writes the row
		_, deleted, err := newTestRegistry(table).Sweep(t.Context(), "")
		is.NoErr(err)
		is.Equal(deleted, 0)
		time.Sleep(testTTL)
		v, _ := mustBind(t, newTestRegistry(table), "v2")
		is.Equal(v, "v1") // the row still exists one TTL after the last use
		time.Sleep(rowTTLFactor * testTTL)
		_, deleted, err = newTestRegistry(table).Sweep(t.Context(), "")
		is.NoErr(err)
		is.Equal(deleted, 1)
		v, _ = mustBind(t, newTestRegistry(table), "v2")
		is.Equal(v, "v2") // the expired row was deleted
	})
}

func TestRowsKeepTheirTTL(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *faulty.Table) {
		long, short := newTestRegistry(table), newTestRegistry(table)
		long.SetTTL(24 * time.Hour)
		mustBind(t, long, "v1")
		time.Sleep(5 * testTTL)
		_, deleted, err := short.Sweep(t.Context(), "")
		is.NoErr(err)
		is.Equal(deleted, 0) // a host with a shorter TTL doesn't delete the row
		v, durable := mustBind(t, short, "v2")
		is.Equal(v, "v1")
		is.True(durable)
	})
}

func TestSweepsCoverAllPages(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *faulty.Table) {
		r := newTestRegistry(table)
		const sessions = 2*sweepPage + 10
		for i := range sessions {
			b := newProposal("v1")
			b.SessionID = fmt.Sprint(i, "/%2F")
			_, _, err := r.Bind(t.Context(), b)
			is.NoErr(err)
		}
		time.Sleep(rowTTLFactor * testTTL)
		mustBind(t, r, "v1")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		r.Run(ctx, time.Second)
		rows, err := table.List(t.Context(), rowPrefix, "", sessions)
		is.NoErr(err)
		is.Equal(len(rows), 1) // only the row of the session in use
	})
}

func TestRebind(t *testing.T) {
	withTable(t, func(t *testing.T, is *is.I, table *faulty.Table) {
		hostA, hostB := newTestRegistry(table), newTestRegistry(table)
		mustBind(t, hostA, "v1")
		mustBind(t, hostB, "v1")
		b, durable, err := hostA.Rebind(t.Context(), newProposal("v1"), newProposal("v2"))
		is.NoErr(err)
		is.True(durable)
		is.Equal(b.Version, "v2")
		b, _, err = hostB.Rebind(t.Context(), newProposal("v1"), newProposal("v3"))
		is.NoErr(err)
		is.Equal(b.Version, "v2") // the first host to move the session determines the version
		third := newTestRegistry(table)
		mustBind(t, third, "v1")
		table.LoseNextResponses(1)
		b, durable, err = third.Rebind(t.Context(), newProposal("v2"), newProposal("v4"))
		is.NoErr(err)
		is.True(durable)
		is.Equal(b.Version, "v4")
		v, _ := mustBind(t, hostA, "v1")
		is.Equal(v, "v2") // host A still has the binding in its cache
		hostA.Evict(testBinding.Model, "v2")
		v, _ = mustBind(t, hostA, "v1")
		is.Equal(v, "v4")
		table.SetDown(true)
		b, durable, err = hostA.Rebind(t.Context(), newProposal("v4"), newProposal("v5"))
		is.NoErr(err)
		is.True(!durable)
		is.Equal(b.Version, "v5") // a withdrawn version isn't used, even without the table
		other := newProposal("v1")
		other.SessionID = "another"
		_, _, err = hostA.Rebind(t.Context(), newProposal("v1"), other)
		is.True(errors.Is(err, ErrInvalidBinding))
	})
}

// TestDurableBindingsNeverDiffer runs hosts with random table faults. While the
// session is in use and isn't rebound, all durable bindings must be the same.
func TestDurableBindingsNeverDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testTime
		clock := func() time.Time { return now }
		table := faulty.NewTable(memory.NewTable())
		var hosts []*Registry
		for range 3 {
			hosts = append(hosts, NewRegistry(Options{Table: table, TTL: testTTL, Clock: clock, CacheSize: cacheShards}))
		}
		boundVersion := ""
		actions := map[string]func(*rapid.T){
			"bind": func(t *rapid.T) {
				i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
				version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
				b, durable, err := hosts[i].Bind(context.Background(), newProposal(version))
				if err != nil {
					t.Fatal(err)
				}
				if !durable {
					return
				}
				if boundVersion != "" && b.Version != boundVersion {
					t.Fatalf("bound to %s, previously to %s", b.Version, boundVersion)
				}
				boundVersion = b.Version
			},
			"replace host": func(t *rapid.T) {
				i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
				hosts[i] = NewRegistry(Options{Table: table, TTL: testTTL, Clock: clock})
			},
			"sweep": func(t *rapid.T) {
				_, _, _ = hosts[0].Sweep(context.Background(), "")
			},
			"time": func(t *rapid.T) {
				// Each step is followed by a use, so that the session doesn't expire.
				now = now.Add(time.Duration(rapid.IntRange(1, 59).Draw(t, "minutes")) * time.Minute)
				table.ClearFaults()
				b, durable, err := hosts[0].Bind(context.Background(), newProposal("v9"))
				if err != nil || !durable {
					t.Skip("the table is in backoff after a failed call")
				}
				if boundVersion != "" && b.Version != boundVersion {
					t.Fatalf("moved to %s from %s", b.Version, boundVersion)
				}
				boundVersion = b.Version
			},
		}
		maps.Copy(actions, storagetest.FaultActions(table))
		t.Repeat(actions)
	})
}
