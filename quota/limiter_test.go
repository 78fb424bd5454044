package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// twoHosts returns a simulation of two hosts with one account. The first host holds
// all slots. takeMany sends 1000 requests to a limiter and records in checker those
// that it allows.
func twoHosts(t *testing.T) (s *sim, checker *limitChecker, takeMany func(l *Limiter)) {
	limit := Limit{Account: "acme", Rate: 100, Burst: 100}
	s = newSim(1, []Limit{limit})
	checker = newLimitChecker(limit.Rate*(1+clockError), limit.Burst)
	takeMany = func(l *Limiter) {
		for range 1000 {
			if ok, _ := l.Take("acme", 1); ok {
				checker.spend(s.now, 1)
			}
		}
	}
	takeMany(s.hosts[0])
	is.New(t).NoErr(s.hosts[0].reconcile(t.Context()))
	s.hosts = append(s.hosts, s.newHost(1))
	return s, checker, takeMany
}

func TestLeaseCountsFromTheStartOfARenewal(t *testing.T) {
	is := is.New(t)
	s, checker, takeMany := twoHosts(t)
	first, second := s.hosts[0], s.hosts[1]
	s.now = s.now.Add(simTTL / 2)
	s.table.SetHooks(nil, func() {
		s.table.SetHooks(nil, nil)
		is.NoErr(second.reconcile(t.Context()))
		s.now = s.now.Add(simTTL - simInterval)
	})
	// The first host is suspended between the renewal's effect and its response.
	is.NoErr(first.renew(t.Context()))
	for range 40 {
		s.now = s.now.Add(2 * time.Second)
		takeMany(first)
		takeMany(second)
		is.NoErr(second.reconcile(t.Context()))
		takeMany(second)
	}
	is.True(checker.overshoot < 1e-6)
	is.Equal(second.allBuckets()["acme"].ownSlots, Slots) // the second host took over all slots
}

func TestSlotsOfAnUnresolvedReleaseAreNotUsed(t *testing.T) {
	is := is.New(t)
	s, checker, takeMany := twoHosts(t)
	first, second := s.hosts[0], s.hosts[1]
	bucket := first.allBuckets()["acme"]
	for range 20 {
		if bucket.state.unresolved != nil {
			break
		}
		s.now = s.now.Add(simInterval)
		s.table.HoldNextCommits(1)
		_ = first.reconcile(t.Context())
	}
	is.True(bucket.state.unresolved != nil) // a commit that gives back half of the slots and may still take effect
	s.table.HoldNextCommits(0)
	s.now = s.now.Add(time.Second)
	takeMany(first)
	s.table.DropNextCommits(1)
	_ = first.reconcile(t.Context()) // demand has risen, so the host decides to keep all slots
	is.Equal(bucket.state.held, Slots)
	s.table.ClearFaults()
	s.table.ApplyHeldCommits()
	for range 10 {
		s.now = s.now.Add(time.Second)
		takeMany(second)
		is.NoErr(second.reconcile(t.Context()))
		takeMany(second)
		takeMany(first)
	}
	is.True(checker.overshoot < 1e-6)
	is.True(second.allBuckets()["acme"].ownSlots > 0) // the late commit freed slots, and the second host took them
}

func TestLentSlotsAreUsedByOneHostAtATime(t *testing.T) {
	is := is.New(t)
	limit := Limit{Account: "acme", Rate: 10, Burst: 10}
	at := func(d time.Duration) time.Time { return simStart.Add(d) }
	for _, delay := range []time.Duration{0, time.Second, DefaultLoanTerm, 10 * time.Second} {
		lender, borrower := newBucket(limit, 0, at(0)), newBucket(limit, 0, at(0))
		leaseEnd := at(time.Minute)
		lender.setOwnSlots(at(0), leaseEnd, Slots, 0)
		// The request and the response are each delayed by delay.
		loan, err := lender.lend(at(delay), leaseEnd, Slots/2, DefaultLoanTerm)
		is.NoErr(err)
		borrower.addLoan(at(0), at(2*delay), leaseEnd, loan)
		for now := 2 * delay; now < time.Minute; now += 100 * time.Millisecond {
			byLender := lender.usableSlots(at(now), leaseEnd)
			byBorrower := borrower.usableSlots(at(now), time.Time{})
			is.True(byLender+byBorrower <= Slots)
			is.True(now < DefaultLoanTerm || byBorrower == 0) // the term counts from the request
		}
		is.Equal(lender.usableSlots(at(withClockMargin(delay+DefaultLoanTerm)), leaseEnd), float64(Slots))
	}
}

func TestRefillStopsSlotsAtTheirExpiry(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return simStart.Add(time.Duration(s) * time.Second) }
	b := newBucket(Limit{Account: "acme", Rate: 8, Burst: 8000}, 0, at(0))
	b.setOwnSlots(at(0), at(10), Slots/2, 0)
	b.addLoan(at(0), at(0), at(10), Loan{Slots: Slots / 4, Term: 20 * time.Second})
	b.addLoan(at(0), at(0), at(10), Loan{Slots: Slots / 8, Term: 5 * time.Second})
	b.refill(at(15), at(10))
	// Own slots for ten seconds at 4/s, the loans for fifteen at 2/s and five at 1/s.
	is.Equal(b.tokens, 40.0+30+5)
	b.refill(at(25), at(10))
	is.Equal(b.tokens, 0.0) // without slots there are no tokens
}

func TestUnleasedShareBoundsSpending(t *testing.T) {
	is := is.New(t)
	const hosts, share = 4, 0.05
	limit := Limit{Account: "acme", Rate: 100, Burst: 40}
	s := newSim(0, []Limit{limit})
	s.unleasedShare = share
	s.table.SetDown(true)
	for i := range hosts {
		s.hosts = append(s.hosts, s.newHost(i))
	}
	checker := newLimitChecker(limit.Rate*hosts*share*(1+clockError), limit.Burst*hosts*share)
	for range 600 {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, l := range s.hosts {
			_ = l.reconcile(t.Context())
			for range 3 {
				if ok, _ := l.Take("acme", 1); ok {
					checker.spend(s.now, 1)
				}
			}
		}
	}
	is.True(checker.overshoot < 1e-6)
	is.True(checker.spent > 0.9*60*limit.Rate*hosts*share) // the share is usable without a lease
}

func TestTakeWithoutSlots(t *testing.T) {
	is := is.New(t)
	s := newSim(1, []Limit{{Account: "acme", Rate: 10, Burst: 5}, {Account: "free"}})
	l := s.hosts[0]
	ok, retryAfter := l.Take("acme", 1)
	is.True(!ok) // nothing is allowed before the host holds slots
	is.Equal(retryAfter, defaultRetryAfter)
	ok, _ = l.Take("free", 1000)
	is.True(ok) // no limit
	is.NoErr(l.reconcile(t.Context()))
	for range 2 {
		ok, _ = l.Take("acme", 1)
		is.True(ok) // the only host holds half of the limit as its reserve
	}
	ok, retryAfter = l.Take("acme", 1)
	is.True(!ok)
	s.now = s.now.Add(retryAfter + 20*time.Millisecond)
	ok, _ = l.Take("acme", 1)
	is.True(ok) // allowed after retryAfter
}

func TestSetLimits(t *testing.T) {
	is := is.New(t)
	s := newSim(1, []Limit{{Account: "acme", Rate: 1000, Burst: 1000}})
	l := s.hosts[0]
	is.NoErr(l.reconcile(t.Context()))
	l.SetLimits(3, []Limit{{Account: "acme", Rate: 10, Burst: 10}})
	l.SetLimits(2, []Limit{{Account: "acme", Rate: 500, Burst: 500}})
	granted := 0
	for range 100 {
		if ok, _ := l.Take("acme", 1); ok {
			granted++
		}
	}
	is.Equal(granted, 5) // tokens above the new depth are dropped; the older epoch is ignored
	l.SetLimits(4, nil)
	ok, _ := l.Take("acme", 1000)
	is.True(ok)
}

func TestRunAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := memory.NewTable()
		newLimiter := func(host string) *Limiter {
			l := New(Options{Table: table, Host: host})
			l.SetLimits(1, []Limit{{Account: "acme", Rate: 100, Burst: 100}})
			return l
		}
		first, second := newLimiter("a"), newLimiter("b")
		ctx, cancel := context.WithCancel(t.Context())
		firstCtx, stopFirst := context.WithCancel(ctx)
		go first.Run(firstCtx)
		go second.Run(ctx)
		time.Sleep(time.Minute)
		stopFirst()
		synctest.Wait()
		is.NoErr(first.Leave(t.Context()))
		ok, _ := first.Take("acme", 1)
		is.True(!ok) // a host that left allows nothing
		// Refusals wake Run on the second host, which takes over all slots at once.
		granted := 0
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if ok, _ := second.Take("acme", 1); ok {
				granted++
			}
		}
		is.True(granted > 250) // of 300 requested at 100 a second; before, the host held about half of the slots
		cancel()
		synctest.Wait()
	})
}

func BenchmarkTake(b *testing.B) {
	s := newSim(1, []Limit{{Account: "acme", Rate: 1e12, Burst: 1e12}})
	l := s.hosts[0]
	if err := l.reconcile(b.Context()); err != nil {
		b.Fatal(err)
	}
	l.opts.Clock = time.Now
	l.lease.Store(&lease{id: "x", start: time.Now(), ttl: time.Hour})
	b.ReportAllocs()
	for b.Loop() {
		l.Take("acme", 1)
	}
}
