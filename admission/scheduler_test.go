package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
)

var (
	start       = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	testClasses = []ClassOptions{{Name: "report", MinShare: 0.1}, {Name: "question", MinShare: 0.1}, {Name: "narration", MinShare: 0.1}}
)

const second = time.Second

func ticket(account, class string, estimate, deadline time.Duration) Ticket {
	t := Ticket{Account: account, Weight: 1, Class: class, Estimate: estimate}
	if deadline > 0 {
		t.Deadline = start.Add(deadline)
	}
	return t
}

// newBusyScheduler returns a scheduler with one slot, and the entry that has held
// it since start.
func newBusyScheduler(t *testing.T, options Options) (*Scheduler, *Entry) {
	t.Helper()
	options.Capacity = 1
	s := NewScheduler(options)
	holder := &Entry{Ticket: ticket("holder", "report", second, 0)}
	s.Submit(start, holder)
	is.New(t).Equal(holder.State(), Running)
	return s, holder
}

func submit(s *Scheduler, at time.Duration, t Ticket) *Entry {
	e := &Entry{Ticket: t}
	s.Submit(start.Add(at), e)
	return e
}

// runInOrder finishes n entries, each a second after it started, beginning with
// running, and returns the accounts of the entries started, in order.
func runInOrder(s *Scheduler, running *Entry, n int) []string {
	var order []string
	now := start
	for range n {
		now = now.Add(second)
		startedOrRefused := s.Finish(now, running)
		for _, e := range startedOrRefused {
			if e.State() == Running {
				running = e
				order = append(order, e.Ticket.Account)
			}
		}
	}
	return order
}

func TestOrder(t *testing.T) {
	heavy := ticket("heavy", "question", second, 0)
	heavy.Weight = 2
	urgent := ticket("urgent", "question", second, 0)
	urgent.Priority = -1
	cases := []struct {
		desc    string
		classes []ClassOptions
		tickets []Ticket
		want    string
	}{
		{
			desc:    "classes in strict order without shares",
			classes: []ClassOptions{{Name: "report"}, {Name: "question"}, {Name: "narration"}},
			tickets: []Ticket{ticket("n", "narration", second, 0), ticket("q", "question", second, 0), ticket("r", "report", second, 0)},
			want:    "[r q n]",
		},
		{
			desc:    "the lowest class gets its share under the load of a higher one",
			classes: []ClassOptions{{Name: "report"}, {Name: "narration", MinShare: 0.25}},
			tickets: []Ticket{
				ticket("r1", "report", second, 0), ticket("r2", "report", second, 0), ticket("r3", "report", second, 0),
				ticket("r4", "report", second, 0), ticket("r5", "report", second, 0), ticket("n1", "narration", second, 0),
			},
			want: "[r1 r2 r3 n1 r4 r5]",
		},
		{
			desc:    "accounts of one class alternate",
			classes: testClasses,
			tickets: []Ticket{ticket("a", "question", second, 0), ticket("a", "question", second, 0), ticket("a", "question", second, 0), ticket("b", "question", second, 0)},
			want:    "[a b a a]",
		},
		{
			desc:    "an account of double weight is served twice as often",
			classes: testClasses,
			tickets: []Ticket{heavy, heavy, heavy, heavy, ticket("b", "question", second, 0), ticket("b", "question", second, 0)},
			want:    "[heavy b heavy heavy b heavy]",
		},
		{
			desc:    "lower priority number first within an account",
			classes: testClasses,
			tickets: []Ticket{
				func() Ticket { t := ticket("late", "question", second, 0); t.Account = "a"; t.Priority = 2; return t }(),
				ticket("a", "question", second, 0), urgent,
			},
			want: "[a urgent a]",
		},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			s, holder := newBusyScheduler(t, Options{Classes: tc.classes})
			for _, tk := range tc.tickets {
				submit(s, 0, tk)
			}
			is.New(t).Equal(fmt.Sprint(runInOrder(s, holder, len(tc.tickets)+1)), tc.want)
		})
	}
}

func TestRefusals(t *testing.T) {
	var unmeetable *UnmeetableError
	var full *FullError
	t.Run("estimate past the deadline with free slots", func(t *testing.T) {
		is := is.New(t)
		s := NewScheduler(Options{Capacity: 1, Classes: testClasses})
		e := submit(s, 0, ticket("a", "report", 2*second, second))
		is.True(errors.As(e.Err(), &unmeetable))
		is.Equal(unmeetable.RetryAfter, time.Duration(0)) // 0 means that a retry can't succeed either
	})
	t.Run("predicted wait past the deadline", func(t *testing.T) {
		is := is.New(t)
		s, _ := newBusyScheduler(t, Options{Classes: testClasses})
		is.Equal(submit(s, 0, ticket("a", "report", second, 0)).State(), Waiting)
		e := submit(s, 0, ticket("a", "report", second, 2500*time.Millisecond))
		is.True(errors.As(e.Err(), &unmeetable))
		is.True(unmeetable.RetryAfter > 0)
	})
	t.Run("latest start passes while it waits", func(t *testing.T) {
		is := is.New(t)
		s, _ := newBusyScheduler(t, Options{Classes: testClasses})
		e := submit(s, 0, ticket("a", "report", second, 3*second))
		s.Advance(start.Add(2 * second))
		is.Equal(e.State(), Waiting)
		for at, ok := s.Next(); ok; at, ok = s.Next() {
			s.Advance(at)
		}
		is.True(errors.As(e.Err(), &unmeetable)) // a second before its deadline
	})
	t.Run("capacity falls while it waits", func(t *testing.T) {
		is := is.New(t)
		s := NewScheduler(Options{Capacity: 4, Classes: testClasses})
		for range 4 {
			submit(s, 0, ticket("a", "report", second, 0))
		}
		var waiting []*Entry
		for range 4 {
			waiting = append(waiting, submit(s, 0, ticket("a", "report", second, 2500*time.Millisecond)))
		}
		startedOrRefused := s.SetCapacity(start, 1)
		is.True(len(startedOrRefused) >= 2) // at least the last two are refused immediately
		is.Equal(waiting[0].State(), Waiting)
		is.True(errors.As(waiting[3].Err(), &unmeetable))
		s.SetCapacity(start, 0)
		is.True(errors.As(waiting[0].Err(), &unmeetable)) // without capacity, no deadline can be met
	})
	t.Run("a request without a deadline keeps waiting without any capacity", func(t *testing.T) {
		is := is.New(t)
		s := NewScheduler(Options{Classes: testClasses})
		e := submit(s, 0, ticket("a", "report", second, 0))
		s.Advance(start.Add(time.Hour))
		is.Equal(e.State(), Waiting)
		s.SetCapacity(start.Add(time.Hour), 1)
		is.Equal(e.State(), Running)
	})
	t.Run("a full queue refuses entries of the lowest class first, then of the largest backlog", func(t *testing.T) {
		is := is.New(t)
		s, _ := newBusyScheduler(t, Options{Classes: testClasses, MaxQueue: 3})
		lowest := submit(s, 0, ticket("a", "narration", second, 0))
		oldest := submit(s, 0, ticket("a", "question", second, 0))
		newest := submit(s, 0, ticket("a", "question", second, 0))
		small := submit(s, 0, ticket("b", "question", second, 0))
		is.True(errors.As(lowest.Err(), &full))
		is.Equal(small.State(), Waiting)
		is.True(errors.As(submit(s, 0, ticket("a", "question", second, 0)).Err(), &full)) // its own backlog is the largest
		submit(s, 0, ticket("c", "question", second, 0))
		is.True(errors.As(newest.Err(), &full)) // the newest entry of the largest backlog
		is.Equal(oldest.State(), Waiting)
		is.True(full.RetryAfter > 0)
	})
	t.Run("unknown class", func(t *testing.T) {
		s := NewScheduler(Options{Capacity: 1, Classes: testClasses})
		is.New(t).True(errors.Is(submit(s, 0, ticket("a", "gone", second, 0)).Err(), ErrUnknownClass))
	})
}

func TestRemovedClassIsServedLast(t *testing.T) {
	is := is.New(t)
	s, holder := newBusyScheduler(t, Options{Classes: testClasses})
	submit(s, 0, ticket("old", "report", second, 0))
	submit(s, 0, ticket("n", "narration", second, 0))
	s.SetClasses(start, testClasses[1:])
	submit(s, 0, ticket("q", "question", second, 0))
	is.Equal(fmt.Sprint(runInOrder(s, holder, 4)), "[q n old]")
}

// TestSchedulerInvariants checks the scheduler's invariants after random steps.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxQueue = 8
		capacity := 2
		s := NewScheduler(Options{Capacity: capacity, Classes: testClasses, MaxQueue: maxQueue})
		now := start
		var live []*Entry
		pick := func(t *rapid.T, state State) *Entry {
			var found []*Entry
			for _, e := range live {
				if e.State() == state {
					found = append(found, e)
				}
			}
			if len(found) == 0 {
				t.Skip("no such entry")
			}
			return rapid.SampledFrom(found).Draw(t, "entry")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				e := &Entry{Ticket: Ticket{
					Account:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
					Class:    rapid.SampledFrom(testClasses).Draw(t, "class").Name,
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Estimate: time.Duration(rapid.IntRange(0, 900).Draw(t, "estimate")) * time.Millisecond,
				}}
				if wait := rapid.IntRange(0, 3000).Draw(t, "deadline"); wait > 0 {
					e.Ticket.Deadline = now.Add(time.Duration(wait) * time.Millisecond)
				}
				s.Submit(now, e)
				live = append(live, e)
			},
			"finish":  func(t *rapid.T) { s.Finish(now, pick(t, Running)) },
			"cancel":  func(t *rapid.T) { s.Cancel(now, pick(t, Waiting)) },
			"abandon": func(t *rapid.T) { s.Cancel(now, pick(t, Running)) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
				s.Advance(now)
			},
			"capacity": func(t *rapid.T) {
				capacity = rapid.IntRange(0, 4).Draw(t, "capacity")
				s.SetCapacity(now, capacity)
			},
			"classes": func(t *rapid.T) {
				n := rapid.IntRange(1, len(testClasses)).Draw(t, "n")
				s.SetClasses(now, rapid.Permutation(testClasses).Draw(t, "order")[:n])
			},
			"": func(t *rapid.T) { checkInvariants(t, s, live, now, capacity, maxQueue) },
		})
	})
}

func checkInvariants(t *rapid.T, s *Scheduler, live []*Entry, now time.Time, capacity, maxQueue int) {
	count := map[State]int{}
	for _, e := range live {
		count[e.State()]++
		if (e.State() == Refused) != (e.Err() != nil) {
			t.Fatalf("state %v with error %v", e.State(), e.Err())
		}
		if e.State() == Waiting && !e.Ticket.Deadline.IsZero() && e.Ticket.Deadline.Before(now) {
			t.Fatalf("still waiting after its deadline: %+v", e.Ticket)
		}
	}
	stats := s.Stats()
	if stats.Running != count[Running] || stats.Queued != count[Waiting] {
		t.Fatalf("stats %+v, entries %v", stats, count)
	}
	if stats.Queued > maxQueue {
		t.Fatalf("%d wait, at most %d", stats.Queued, maxQueue)
	}
	if stats.Queued > 0 && stats.Running < capacity {
		t.Fatalf("%d wait while slots are free: %+v", stats.Queued, stats)
	}
	var work time.Duration
	for _, c := range s.classes {
		work += c.waitingWork
	}
	if count[Waiting] == 0 && (work != 0 || s.byLatestStart.len() != 0) {
		t.Fatalf("an empty queue holds work %v", work)
	}
}
