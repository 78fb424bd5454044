package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/storage"
)

// TestFaultSequences runs random sequences of records and faults. It then ends
// the faults and compares the ledger with the recorded bills.
func TestFaultSequences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			s := &faultSequence{
				cluster:  newCluster(4, Options{FlushInterval: 2 * time.Second}),
				required: make(map[string]Bill),
				optional: make(map[string]Bill),
			}
			defer s.cluster.stopAll()
			rt.Repeat(map[string]func(*rapid.T){
				"record":  s.record,
				"outage":  s.outage,
				"answers": s.tableFaults,
				"pause":   s.pause,
				"kill":    s.kill,
				"stop":    s.stop,
				"compact": s.compact,
				"time":    func(rt *rapid.T) { time.Sleep(drawDuration(rt)) },
			})
			s.check(rt)
		})
	})
}

// noDeadline hides the Deadline method of a test, which can't be called in a
// synctest bubble.
type noDeadline struct{ rapid.TB }

// faultSequence is the state of one random sequence: its cluster and the
// expected contents of the ledger.
type faultSequence struct {
	cluster      *testCluster
	removedHosts int
	lastID       int
	mu           sync.Mutex
	// required holds the bills for which Record returned no error. optional holds
	// the bills for which it returned ErrAtRisk, by host and ID; check moves them
	// to required if their host wasn't killed.
	required, optional map[string]Bill
}

func drawDuration(rt *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, 90_000).Draw(rt, "ms")) * time.Millisecond
}

// liveHost draws one of the hosts that weren't killed.
func (s *faultSequence) liveHost(rt *rapid.T) *testHost {
	var live []*testHost
	for _, h := range s.cluster.hosts {
		if !h.Killed() {
			live = append(live, h)
		}
	}
	return rapid.SampledFrom(live).Draw(rt, "host")
}

// record records several bills concurrently on one host.
func (s *faultSequence) record(rt *rapid.T) {
	h := s.liveHost(rt)
	if h.Paused() {
		return
	}
	var group sync.WaitGroup
	for range rapid.IntRange(1, 30).Draw(rt, "bills") {
		s.lastID++
		b := testBill(fmt.Sprint(s.lastID))
		group.Go(func() {
			err := h.ledger.Record(context.Background(), b)
			s.mu.Lock()
			defer s.mu.Unlock()
			if errors.Is(err, ErrAtRisk) {
				s.optional[h.name+b.ID] = b
				return
			}
			s.required[b.ID] = b
		})
	}
	group.Wait()
}

func (s *faultSequence) outage(rt *rapid.T) {
	s.cluster.table.SetDown(rapid.Bool().Draw(rt, "down"))
}

func (s *faultSequence) tableFaults(rt *rapid.T) {
	s.cluster.table.LoseNextResponses(rapid.IntRange(0, 3).Draw(rt, "lost"))
	s.cluster.table.DropNextCommits(rapid.IntRange(0, 3).Draw(rt, "dropped"))
	s.cluster.table.DelayNextCommits(rapid.IntRange(0, 3).Draw(rt, "late"), drawDuration(rt))
}

// pause pauses a host for a while and reports it as down to its peers.
func (s *faultSequence) pause(rt *rapid.T) {
	h := s.liveHost(rt)
	h.Pause()
	time.Sleep(drawDuration(rt))
	s.cluster.reportHostDown(s.index(h))
	time.Sleep(drawDuration(rt))
	h.Resume()
}

// kill kills a host. The pause after it gives the other hosts time to replace
// lost copies before another host is killed.
func (s *faultSequence) kill(rt *rapid.T) {
	if s.removedHosts == 2 {
		return
	}
	s.removedHosts++
	i := s.index(s.liveHost(rt))
	s.cluster.killHost(i)
	s.cluster.reportHostDown(i)
	time.Sleep(5 * time.Second)
}

// stop drains a host and then kills it, as a planned stop does. It does nothing if
// two hosts are gone, and doesn't kill a host whose drain fails.
func (s *faultSequence) stop(rt *rapid.T) {
	if s.removedHosts == 2 {
		return
	}
	h := s.liveHost(rt)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.ledger.Drain(ctx); err != nil {
		return
	}
	s.removedHosts++
	s.cluster.killHost(s.index(h))
	s.cluster.reportHostDown(s.index(h))
	time.Sleep(5 * time.Second)
}

func (s *faultSequence) compact(rt *rapid.T) {
	before := time.Now().Add(-drawDuration(rt))
	err := Compact(context.Background(), s.cluster.table, s.cluster.objects, before)
	if err != nil && !errors.Is(err, storage.ErrUnavailable) {
		rt.Fatal(err)
	}
}

func (s *faultSequence) index(h *testHost) int {
	for i := range s.cluster.hosts {
		if s.cluster.hosts[i] == h {
			return i
		}
	}
	return -1
}

// check ends the faults and compares the ledger with the recorded bills.
func (s *faultSequence) check(rt *rapid.T) {
	s.cluster.table.ClearFaults()
	time.Sleep(5 * time.Minute)
	if err := Compact(context.Background(), s.cluster.table, s.cluster.objects, time.Now()); err != nil {
		rt.Fatal(err)
	}
	for _, h := range s.cluster.hosts {
		for key, b := range s.optional {
			if !h.Killed() && key == h.name+b.ID {
				s.required[b.ID] = b
			}
		}
	}
	got := s.cluster.readAll(rt)
	for id, b := range s.required {
		if stored, found := got[id]; !found || !equalBills(stored, b) {
			rt.Fatalf("%s: bill is missing or differs", id)
		}
		delete(got, id)
	}
	for _, b := range s.optional {
		delete(got, b.ID)
	}
	if len(got) != 0 {
		rt.Fatalf("%d bills in the ledger that were not recorded", len(got))
	}
}

// TestPreferIsOrderIndependent checks that Prefer is commutative, associative and idempotent,
// so that its result doesn't depend on the order in which bills are read or on
// how often.
func TestPreferIsOrderIndependent(t *testing.T) {
	bill := rapid.Custom(func(rt *rapid.T) Bill {
		b := testBill("r1")
		b.At = time.Unix(int64(rapid.IntRange(1, 2).Draw(rt, "at")), 0).UTC()
		b.Epoch = uint64(rapid.IntRange(1, 2).Draw(rt, "epoch"))
		b.Code = rapid.SampledFrom([]int{0, 4002}).Draw(rt, "code")
		b.CostMicro = int64(rapid.IntRange(0, 1).Draw(rt, "cost"))
		return b
	})
	rapid.Check(t, func(rt *rapid.T) {
		a, b, c := bill.Draw(rt, "a"), bill.Draw(rt, "b"), bill.Draw(rt, "c")
		same := equalBills(Prefer(a, b), Prefer(b, a)) &&
			equalBills(Prefer(a, Prefer(b, c)), Prefer(Prefer(a, b), c)) &&
			equalBills(Prefer(a, a), a)
		if !same {
			rt.Fatal("the choice depends on the order")
		}
	})
}
