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

// TestFaultSequences runs random sequences of work and faults, and compares
// the ledger with what was recorded once the faults are over.
func TestFaultSequences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			s := &sequence{
				cluster: newCluster(4, Options{FlushEvery: 2 * time.Second}),
				must:    make(map[string]Bill),
				may:     make(map[string]Bill),
			}
			defer s.cluster.stopAll()
			rt.Repeat(map[string]func(*rapid.T){
				"record":  s.record,
				"outage":  s.outage,
				"answers": s.answers,
				"pause":   s.pause,
				"kill":    s.kill,
				"stop":    s.stop,
				"compact": s.compact,
				"time":    func(rt *rapid.T) { time.Sleep(duration(rt)) },
			})
			s.check(rt)
		})
	})
}

// noDeadline hides the test's deadline, which can't be asked for in virtual
// time.
type noDeadline struct{ rapid.TB }

// sequence is one sequence's cluster and what its ledger has to be.
type sequence struct {
	cluster *testCluster
	gone    int
	next    int
	mu      sync.Mutex
	// must are the bills that Record called safe, or whose host lived on; may
	// are those that it called at risk on a host that was then killed.
	must, may map[string]Bill
}

func duration(rt *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, 90_000).Draw(rt, "ms")) * time.Millisecond
}

// liveHost draws a host that wasn't killed.
func (s *sequence) liveHost(rt *rapid.T) *testHost {
	var live []*testHost
	for _, h := range s.cluster.hosts {
		if !h.Killed() {
			live = append(live, h)
		}
	}
	return rapid.SampledFrom(live).Draw(rt, "host")
}

// record records some bills at once; one of them may be a repeat elsewhere.
func (s *sequence) record(rt *rapid.T) {
	h := s.liveHost(rt)
	if h.Paused() {
		return
	}
	var group sync.WaitGroup
	for range rapid.IntRange(1, 30).Draw(rt, "bills") {
		s.next++
		b := testBill(fmt.Sprint(s.next))
		group.Go(func() {
			err := h.ledger.Record(context.Background(), b)
			s.mu.Lock()
			defer s.mu.Unlock()
			if errors.Is(err, ErrAtRisk) {
				s.may[h.name+b.ID] = b
				return
			}
			s.must[b.ID] = b
		})
	}
	group.Wait()
}

func (s *sequence) outage(rt *rapid.T) {
	s.cluster.table.SetDown(rapid.Bool().Draw(rt, "down"))
}

func (s *sequence) answers(rt *rapid.T) {
	s.cluster.table.LoseNext(rapid.IntRange(0, 3).Draw(rt, "lost"))
	s.cluster.table.DropNext(rapid.IntRange(0, 3).Draw(rt, "dropped"))
	s.cluster.table.DelayNext(rapid.IntRange(0, 3).Draw(rt, "late"), duration(rt))
}

// pause stops a host for a while; its peers think it down.
func (s *sequence) pause(rt *rapid.T) {
	h := s.liveHost(rt)
	h.Pause()
	time.Sleep(duration(rt))
	s.cluster.hostDown(s.index(h))
	time.Sleep(duration(rt))
	h.Resume()
}

// kill ends a host. The next is killed only when the copies are made again.
func (s *sequence) kill(rt *rapid.T) {
	if s.gone == 2 {
		return
	}
	s.gone++
	i := s.index(s.liveHost(rt))
	s.cluster.killHost(i)
	s.cluster.hostDown(i)
	time.Sleep(5 * time.Second)
}

// stop is a planned stop with time to drain.
func (s *sequence) stop(rt *rapid.T) {
	if s.gone == 2 {
		return
	}
	h := s.liveHost(rt)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.ledger.Drain(ctx); err != nil {
		return
	}
	s.gone++
	s.cluster.killHost(s.index(h))
	s.cluster.hostDown(s.index(h))
	time.Sleep(5 * time.Second)
}

func (s *sequence) compact(rt *rapid.T) {
	before := time.Now().Add(-duration(rt))
	err := Compact(context.Background(), s.cluster.table, s.cluster.objects, before)
	if err != nil && !errors.Is(err, storage.ErrUnavailable) {
		rt.Fatal(err)
	}
}

func (s *sequence) index(h *testHost) int {
	for i := range s.cluster.hosts {
		if s.cluster.hosts[i] == h {
			return i
		}
	}
	return -1
}

// check ends the faults and compares.
func (s *sequence) check(rt *rapid.T) {
	s.cluster.table.Heal()
	time.Sleep(5 * time.Minute)
	if err := Compact(context.Background(), s.cluster.table, s.cluster.objects, time.Now()); err != nil {
		rt.Fatal(err)
	}
	for _, h := range s.cluster.hosts {
		for key, b := range s.may {
			if !h.Killed() && key == h.name+b.ID {
				s.must[b.ID] = b
			}
		}
	}
	got := s.cluster.all(rt)
	for id, b := range s.must {
		if stored, found := got[id]; !found || !equalBills(stored, b) {
			rt.Fatalf("%s: bill is missing or differs", id)
		}
		delete(got, id)
	}
	for _, b := range s.may {
		delete(got, b.ID)
	}
	if len(got) != 0 {
		rt.Fatalf("%d bills that nobody recorded", len(got))
	}
}

// TestPreferLaws checks that the bill that stands doesn't depend on the order
// or the number of times that bills are read in.
func TestPreferLaws(t *testing.T) {
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
