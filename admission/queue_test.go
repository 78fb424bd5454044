package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestQueueRefusesBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Capacity: 1, Classes: testClasses})
		grant, err := q.Admit(t.Context(), Ticket{Class: "report", Estimate: second})
		is.NoErr(err)
		begin := time.Now()
		var unmeetable *UnmeetableError
		// The running request exceeds its estimate, so the second one waits longer than was
		// predicted on its arrival.
		_, err = q.Admit(t.Context(), Ticket{Class: "report", Estimate: second, Deadline: begin.Add(4 * second)})
		is.True(errors.As(err, &unmeetable))
		is.True(time.Since(begin) < 4*second) // refused before its deadline
		grant.Done()
		grant.Done()
		is.Equal(q.Stats(), Stats{Capacity: 1})
	})
}

func TestCancelledCallersLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New(Options{Capacity: 1, Classes: testClasses})
		grant, err := q.Admit(t.Context(), Ticket{Class: "report", Estimate: second})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), second)
		defer cancel()
		_, err = q.Admit(ctx, Ticket{Class: "report"})
		is.True(errors.Is(err, context.DeadlineExceeded))
		_, err = q.Admit(ctx, Ticket{Class: "report"})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(q.Stats(), Stats{Capacity: 1, Running: 1})
		grant.Done()
	})
}

func TestQueueUnderManyCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const capacity, callers = 3, 60
		q := New(Options{Capacity: capacity, Classes: testClasses})
		var mu sync.Mutex
		running, maxRunning, admitted := 0, 0, 0
		addRunning := func(change int) {
			mu.Lock()
			defer mu.Unlock()
			running += change
			maxRunning = max(maxRunning, running)
			admitted += max(0, change)
		}
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				g, err := q.Admit(t.Context(), Ticket{Account: fmt.Sprint(i % 7), Class: testClasses[i%3].Name})
				if err != nil {
					return
				}
				defer g.Done()
				addRunning(1)
				time.Sleep(50 * time.Millisecond)
				addRunning(-1)
			})
		}
		wg.Wait()
		is.Equal(admitted, callers)    // without deadlines, all run
		is.Equal(maxRunning, capacity) // at most the capacity at once, and all of it used
		is.Equal(q.Stats(), Stats{Capacity: capacity})
	})
}

func benchmarkAdmit(b *testing.B, accounts, waiting int) {
	s := NewScheduler(Options{Capacity: 1, Classes: testClasses, MaxQueue: waiting + 2})
	running := &Entry{Ticket: ticket("holder", "report", time.Millisecond, 0)}
	s.Submit(start, running)
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
	}
	for i := range waiting {
		submit(s, 0, ticket(names[i%accounts], testClasses[i%3].Name, time.Millisecond, 0))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now := start.Add(time.Duration(i) * time.Millisecond)
		e := &Entry{Ticket: ticket(names[i%accounts], testClasses[i%3].Name, time.Millisecond, 0)}
		s.Submit(now, e)
		running = s.Finish(now, running)[0]
	}
}

// BenchmarkScheduler measures one submission that waits and one finish that
// starts another entry, with 900 entries waiting.
func BenchmarkScheduler(b *testing.B) {
	for _, accounts := range []int{10, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) { benchmarkAdmit(b, accounts, 900) })
	}
}

// BenchmarkRecheck measures one call of recheck with 900 waiting entries.
func BenchmarkRecheck(b *testing.B) {
	s, _ := newLoadedScheduler(900, 1000)
	b.ReportAllocs()
	for b.Loop() {
		s.recheck(0)
	}
}

func newLoadedScheduler(waiting, accounts int) (*Scheduler, *Entry) {
	s := NewScheduler(Options{Capacity: 1, Classes: testClasses, MaxQueue: waiting + 2})
	running := &Entry{Ticket: ticket("holder", "report", time.Millisecond, 0)}
	s.Submit(start, running)
	for i := range waiting {
		submit(s, 0, ticket(fmt.Sprint(i%accounts), testClasses[i%3].Name, time.Millisecond, 0))
	}
	return s, running
}

// BenchmarkAdmitFree measures Admit and Done with free slots, in parallel.
func BenchmarkAdmitFree(b *testing.B) {
	for _, accounts := range []int{10, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := New(Options{Capacity: 10000, Classes: testClasses})
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				i := 0
				for pb.Next() {
					i++
					tk := Ticket{Account: names[i%accounts], Class: "report", Estimate: second, Deadline: time.Now().Add(time.Minute)}
					g, err := q.Admit(context.Background(), tk)
					if err != nil {
						b.Fatal(err)
					}
					g.Done()
				}
			})
		})
	}
}
