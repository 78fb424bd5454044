package session

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/groupcommit"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// TestTableCost logs how many commits and reads per second new sessions without a
// token cause, with and without group commit, in virtual time. Each session is
// bound on two hosts.
func TestTableCost(t *testing.T) {
	const (
		hosts      = 7
		perSecond  = 1400
		seconds    = 3
		tableDelay = 4 * time.Millisecond
	)
	cases := []struct {
		desc          string
		grouped       bool
		maxCommitRate float64
	}{
		{desc: "one commit per session", maxCommitRate: perSecond},
		{desc: "group commit", grouped: true, maxCommitRate: hosts * (groupcommit.DefaultCommitsPerSecond + 2)},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := faulty.NewTable(memory.NewTable())
				table.SetDelay(tableDelay)
				var registries []*Registry
				for range hosts {
					registries = append(registries, newTestRegistry(withGroupCommit(t, table, tc.grouped)))
				}
				stats := new(bindStats)
				var wg sync.WaitGroup
				for i := range perSecond * seconds {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / perSecond)
						for visit := range 2 {
							stats.measureBind(t, registries[(i+visit)%hosts], fmt.Sprint(i))
						}
					})
				}
				wg.Wait()
				counts := table.Counts()
				commits := float64(counts.Commits) / seconds
				t.Logf("commits/s %.0f reads/s %.0f longest bind %v, bindings not durable %d", commits, float64(counts.Gets)/seconds, stats.maxLatency, stats.notDurableCount)
				is.New(t).Equal(stats.notDurableCount, 0)
				is.New(t).True(commits <= tc.maxCommitRate)
			})
		})
	}
}

// bindStats collects statistics of concurrent Bind calls.
type bindStats struct {
	mu              sync.Mutex
	maxLatency      time.Duration
	notDurableCount int
}

func (s *bindStats) measureBind(t *testing.T, r *Registry, session string) {
	begin := time.Now()
	b := newProposal("v1")
	b.SessionID = session
	_, durable, _ := r.Bind(t.Context(), b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxLatency = max(s.maxLatency, time.Since(begin))
	if !durable {
		s.notDurableCount++
	}
}

func withGroupCommit(t *testing.T, table storage.Table, on bool) storage.Table {
	if !on {
		return table
	}
	c := groupcommit.New(table, groupcommit.Options{})
	t.Cleanup(func() { _ = c.Close() })
	return c
}
