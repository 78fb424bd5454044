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

// twoHosts has one account; the first host holds all of it and spends what it
// has saved up on each call of drain.
func twoHosts(t *testing.T) (s *sim, m *meter, drain func(l *Limiter)) {
	limit := Limit{Account: "acme", Rate: 100, Burst: 100}
	s = newSim(1, []Limit{limit})
	m = newMeter(limit.Rate*(1+clockError), limit.Burst)
	drain = func(l *Limiter) {
		for range 1000 {
			if ok, _ := l.Take("acme", 1); ok {
				m.spend(s.now, 1)
			}
		}
	}
	drain(s.hosts[0])
	is.New(t).NoErr(s.hosts[0].pass(t.Context()))
	s.hosts = append(s.hosts, s.newHost(1))
	return s, m, drain
}

func TestLeaseCountsFromTheStartOfARenewal(t *testing.T) {
	is := is.New(t)
	s, m, drain := twoHosts(t)
	first, second := s.hosts[0], s.hosts[1]
	s.now = s.now.Add(simTTL / 2)
	s.table.SetHooks(nil, func() {
		s.table.SetHooks(nil, nil)
		is.NoErr(second.pass(t.Context()))
		s.now = s.now.Add(simTTL - simInterval)
	})
	// The first host is stopped between the renewal's effect and its answer.
	is.NoErr(first.renew(t.Context()))
	for range 40 {
		s.now = s.now.Add(2 * time.Second)
		drain(first)
		drain(second)
		is.NoErr(second.pass(t.Context()))
		drain(second)
	}
	is.True(m.overshoot < 1e-6)
	is.Equal(second.all()["acme"].own, Slots) // it did take over
}

func TestLateReleaseIsNotSpent(t *testing.T) {
	is := is.New(t)
	s, m, drain := twoHosts(t)
	first, second := s.hosts[0], s.hosts[1]
	bucket := first.all()["acme"]
	for range 20 {
		if bucket.control.open != nil {
			break
		}
		s.now = s.now.Add(simInterval)
		s.table.HoldNext(1)
		_ = first.pass(t.Context())
	}
	is.True(bucket.control.open != nil) // gives back half, or not yet
	s.table.HoldNext(0)
	s.now = s.now.Add(time.Second)
	drain(first)
	s.table.DropNext(1)
	_ = first.pass(t.Context()) // would now rather keep all
	is.Equal(bucket.control.held, Slots)
	s.table.Heal()
	s.table.Deliver()
	for range 10 {
		s.now = s.now.Add(time.Second)
		drain(second)
		is.NoErr(second.pass(t.Context()))
		drain(second)
		drain(first)
	}
	is.True(m.overshoot < 1e-6)
	is.True(second.all()["acme"].own > 0) // it did take what was given back
}

func TestLoanHasOneSpenderAtATime(t *testing.T) {
	is := is.New(t)
	limit := Limit{Account: "acme", Rate: 10, Burst: 10}
	at := func(d time.Duration) time.Time { return simStart.Add(d) }
	for _, delay := range []time.Duration{0, time.Second, DefaultLoanTerm, 10 * time.Second} {
		lender, borrower := newBucket(limit, 0, at(0)), newBucket(limit, 0, at(0))
		leaseEnd := at(time.Minute)
		lender.hold(at(0), leaseEnd, Slots, 0)
		// The request and the answer each take the delay.
		loan, err := lender.lend(at(delay), leaseEnd, Slots/2, DefaultLoanTerm)
		is.NoErr(err)
		borrower.borrow(at(0), at(2*delay), leaseEnd, loan)
		for now := 2 * delay; now < time.Minute; now += 100 * time.Millisecond {
			lent := lender.spendable(at(now), leaseEnd)
			borrowed := borrower.spendable(at(now), time.Time{})
			is.True(lent+borrowed <= Slots)
			is.True(now < DefaultLoanTerm || borrowed == 0) // ends by when it was asked for
		}
		is.Equal(lender.spendable(at(withMargin(delay+DefaultLoanTerm)), leaseEnd), float64(Slots))
	}
}

func TestBucketFillsUpToEachEnd(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return simStart.Add(time.Duration(s) * time.Second) }
	b := newBucket(Limit{Account: "acme", Rate: 8, Burst: 8000}, 0, at(0))
	b.hold(at(0), at(10), Slots/2, 0)
	b.borrow(at(0), at(0), at(10), Loan{Slots: Slots / 4, Term: 20 * time.Second})
	b.borrow(at(0), at(0), at(10), Loan{Slots: Slots / 8, Term: 5 * time.Second})
	b.advance(at(15), at(10))
	// Ten seconds at 4/s, fifteen at 2/s, five at 1/s.
	is.Equal(b.tokens, 40.0+30+5)
	b.advance(at(25), at(10))
	is.Equal(b.tokens, 0.0) // no slots, nothing saved up
}

func TestFloorBoundsSpendingWithoutLease(t *testing.T) {
	is := is.New(t)
	const hosts, floor = 4, 0.05
	limit := Limit{Account: "acme", Rate: 100, Burst: 40}
	s := newSim(0, []Limit{limit})
	s.floor = floor
	s.table.SetDown(true)
	for i := range hosts {
		s.hosts = append(s.hosts, s.newHost(i))
	}
	m := newMeter(limit.Rate*hosts*floor*(1+clockError), limit.Burst*hosts*floor)
	for range 600 {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, l := range s.hosts {
			_ = l.pass(t.Context())
			for range 3 {
				if ok, _ := l.Take("acme", 1); ok {
					m.spend(s.now, 1)
				}
			}
		}
	}
	is.True(m.overshoot < 1e-6)
	is.True(m.spent > 0.9*60*limit.Rate*hosts*floor) // the floor is there to be used
}

func TestTakeWithoutSlots(t *testing.T) {
	is := is.New(t)
	s := newSim(1, []Limit{{Account: "acme", Rate: 10, Burst: 5}, {Account: "free"}})
	l := s.hosts[0]
	ok, retryAfter := l.Take("acme", 1)
	is.True(!ok) // nothing is spent before slots are held
	is.Equal(retryAfter, defaultRetryAfter)
	ok, _ = l.Take("free", 1000)
	is.True(ok) // no limit
	is.NoErr(l.pass(t.Context()))
	for range 2 {
		ok, _ = l.Take("acme", 1)
		is.True(ok) // half of the limit stands ready on the only host
	}
	ok, retryAfter = l.Take("acme", 1)
	is.True(!ok)
	s.now = s.now.Add(retryAfter + 20*time.Millisecond)
	ok, _ = l.Take("acme", 1)
	is.True(ok) // the advice was right
}

func TestSetLimits(t *testing.T) {
	is := is.New(t)
	s := newSim(1, []Limit{{Account: "acme", Rate: 1000, Burst: 1000}})
	l := s.hosts[0]
	is.NoErr(l.pass(t.Context()))
	l.SetLimits(3, []Limit{{Account: "acme", Rate: 10, Burst: 10}})
	l.SetLimits(2, []Limit{{Account: "acme", Rate: 500, Burst: 500}})
	granted := 0
	for range 100 {
		if ok, _ := l.Take("acme", 1); ok {
			granted++
		}
	}
	is.Equal(granted, 5) // saved-up requests over the new depth are gone; the older epoch is ignored
	l.SetLimits(4, nil)
	ok, _ := l.Take("acme", 1000)
	is.True(ok)
}

func TestRunAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := memory.New()
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
		is.True(!ok) // a host that left spends nothing
		// Refusals wake the second host, which takes over all slots at once.
		granted := 0
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if ok, _ := second.Take("acme", 1); ok {
				granted++
			}
		}
		is.True(granted > 250) // 100 a second, of which it had about half
		cancel()
		synctest.Wait()
	})
}

func BenchmarkTake(b *testing.B) {
	s := newSim(1, []Limit{{Account: "acme", Rate: 1e12, Burst: 1e12}})
	l := s.hosts[0]
	if err := l.pass(b.Context()); err != nil {
		b.Fatal(err)
	}
	l.opts.Clock = time.Now
	l.lease.Store(&lease{id: "x", start: time.Now(), ttl: time.Hour})
	b.ReportAllocs()
	for b.Loop() {
		l.Take("acme", 1)
	}
}
