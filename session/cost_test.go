package session

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/platform"
	"github.com/quetzalweir/quetzalweir/platform/faulty"
	"github.com/quetzalweir/quetzalweir/platform/groupcommit"
	"github.com/quetzalweir/quetzalweir/platform/memory"
)

// TestTableCost prints what new sessions without a token cost the table, with
// and without group commit, in virtual time. Each session comes to two hosts.
func TestTableCost(t *testing.T) {
	const (
		hosts      = 7
		perSecond  = 1400
		seconds    = 3
		tableDelay = 4 * time.Millisecond
	)
	cases := []struct {
		desc       string
		grouped    bool
		mostCommit float64
	}{
		{desc: "a commit for each session", mostCommit: perSecond},
		{desc: "group commit", grouped: true, mostCommit: hosts * (groupcommit.DefaultCommitsPerSecond + 2)},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := faulty.New(memory.New())
				table.SetDelay(tableDelay)
				var registries [hosts]*Registry
				for i := range registries {
					registries[i] = testRegistry(grouped(t, table, tc.grouped))
				}
				var wg sync.WaitGroup
				var mu sync.Mutex
				notDurable := 0
				var longest time.Duration
				for i := range perSecond * seconds {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / perSecond)
						for visit := range 2 {
							begin := time.Now()
							b := proposal("v1")
							b.SessionID = fmt.Sprint(i)
							_, durable, _ := registries[(i+visit)%hosts].Bind(t.Context(), b)
							mu.Lock()
							longest = max(longest, time.Since(begin))
							if !durable {
								notDurable++
							}
							mu.Unlock()
						}
					})
				}
				wg.Wait()
				counts := table.Counts()
				commits := float64(counts.Commits) / seconds
				t.Logf("commits/s %.0f reads/s %.0f longest bind %v not durable %d", commits, float64(counts.Gets)/seconds, longest, notDurable)
				is.New(t).Equal(notDurable, 0)
				is.New(t).True(commits <= tc.mostCommit)
			})
		})
	}
}

func grouped(t *testing.T, table platform.Table, on bool) platform.Table {
	if !on {
		return table
	}
	c := groupcommit.New(table, groupcommit.Options{})
	t.Cleanup(func() { _ = c.Close() })
	return c
}
