package ledger

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// record records n bills on a host and returns those for which Record returned
// no error.
func record(t *testing.T, h *testHost, first, n int) map[string]Bill {
	t.Helper()
	safe := make(map[string]Bill)
	for i := range n {
		b := testBill(fmt.Sprintf("%s-%d", h.name, first+i))
		err := h.ledger.Record(t.Context(), b)
		if err != nil && !errors.Is(err, ErrAtRisk) {
			t.Fatal(err)
		}
		if err == nil {
			safe[b.ID] = b
		}
	}
	return safe
}

func TestFailures(t *testing.T) {
	tests := []struct {
		desc string
		// run records bills and returns those that must be in the ledger.
		run func(t *testing.T, c *testCluster) map[string]Bill
	}{
		{"no fault", func(t *testing.T, c *testCluster) map[string]Bill {
			return record(t, c.hosts[0], 0, 20)
		}},
		{"host killed before its flush", func(t *testing.T, c *testCluster) map[string]Bill {
			want := record(t, c.hosts[0], 0, 20)
			c.killHost(0)
			c.reportHostDown(0)
			return want
		}},
		{"host and table lost together, table back after five minutes", func(t *testing.T, c *testCluster) map[string]Bill {
			c.table.SetDown(true)
			want := record(t, c.hosts[0], 0, 20)
			c.killHost(0)
			c.reportHostDown(0)
			time.Sleep(5 * time.Minute)
			c.table.ClearFaults()
			time.Sleep(time.Minute)
			return want
		}},
		{"holder killed, then the owner, in an outage of the table", func(t *testing.T, c *testCluster) map[string]Bill {
			c.table.SetDown(true)
			want := record(t, c.hosts[0], 0, 20)
			c.killHost(1)
			c.reportHostDown(1)
			time.Sleep(time.Second)
			c.killHost(0)
			c.reportHostDown(0)
			time.Sleep(time.Minute)
			c.table.ClearFaults()
			time.Sleep(time.Minute)
			return want
		}},
		{"table down for minutes", func(t *testing.T, c *testCluster) map[string]Bill {
			c.table.SetDown(true)
			want := record(t, c.hosts[0], 0, 20)
			time.Sleep(5 * time.Minute)
			c.table.ClearFaults()
			time.Sleep(time.Minute)
			return want
		}},
		{"answers lost, writes dropped, writes late", func(t *testing.T, c *testCluster) map[string]Bill {
			c.table.LoseNextResponses(2)
			c.table.DropNextCommits(2)
			c.table.DelayNextCommits(2, 3*time.Second)
			want := record(t, c.hosts[0], 0, 20)
			time.Sleep(time.Minute)
			return want
		}},
		{"owner paused, its bills settled, then resumed", func(t *testing.T, c *testCluster) map[string]Bill {
			want := record(t, c.hosts[0], 0, 20)
			c.hosts[0].Pause()
			time.Sleep(10 * time.Second)
			c.reportHostDown(0)
			c.hosts[0].Resume()
			time.Sleep(10 * time.Second)
			return want
		}},
		{"holder paused", func(t *testing.T, c *testCluster) map[string]Bill {
			c.hosts[1].Pause()
			want := record(t, c.hosts[0], 0, 20)
			c.killHost(0)
			c.hosts[1].Resume()
			c.reportHostDown(0)
			return want
		}},
		{"owner restarted without notice, copies swept", func(t *testing.T, c *testCluster) map[string]Bill {
			want := record(t, c.hosts[0], 0, 20)
			c.killHost(0)
			time.Sleep(2 * DefaultMaxAge)
			return want
		}},
		{"planned stop", func(t *testing.T, c *testCluster) map[string]Bill {
			want := record(t, c.hosts[0], 0, 20)
			if err := c.hosts[0].ledger.Drain(t.Context()); err != nil {
				t.Error(err)
			}
			c.killHost(0)
			return want
		}},
		{"planned stop while the table is down", func(t *testing.T, c *testCluster) map[string]Bill {
			c.table.SetDown(true)
			want := record(t, c.hosts[0], 0, 20)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err := c.hosts[0].ledger.Drain(ctx); !errors.Is(err, ErrUnwritten) {
				t.Errorf("Drain: %v", err)
			}
			c.killHost(0)
			c.table.ClearFaults()
			c.reportHostDown(0)
			return want
		}},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(3, Options{FlushInterval: 2 * time.Second})
				defer c.stopAll()
				want := tc.run(t, c)
				is.Equal(len(want), 20) // every call of Record succeeded
				time.Sleep(5 * time.Second)
				is.True(maps.EqualFunc(c.readAll(t), want, equalBills)) // ledger equals what was recorded
			})
		})
	}
}

// TestBillsDuringLongOutage checks that the bills recorded during a long outage of the
// table are written in few segments, and that peers don't take over the bills of
// an owner that is alive, which would make copies of copies.
func TestBillsDuringLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const minutes = 10
		c := newCluster(3, Options{FlushInterval: 10 * time.Second})
		defer c.stopAll()
		c.table.SetDown(true)
		for i := range minutes * 6 {
			is.Equal(len(record(t, c.hosts[0], i, 1)), 1)
			time.Sleep(10 * time.Second)
		}
		time.Sleep(5 * time.Minute)              // without new bills
		is.Equal(c.hosts[1].ledger.Pending(), 0) // the owner is alive, so its bills aren't taken over
		is.Equal(c.hosts[1].copies.Count(), minutes*6)
		before := c.table.Counts().Commits
		c.table.ClearFaults()
		time.Sleep(time.Minute)
		is.Equal(len(c.readAll(t)), minutes*6)
		is.Equal(c.hosts[1].copies.Count(), 0)
		is.True(c.table.Counts().Commits-before <= minutes+2) // about one segment per minute
	})
}

func equalBills(a, b Bill) bool {
	return compareBills(a, b) == 0
}
