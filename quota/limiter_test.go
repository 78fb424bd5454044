package quota

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/platform/memory"
	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestMeterRejectsOverspending(t *testing.T) {
	cases := []struct {
		desc string
		// spends are numbers of requests, a second apart.
		spends []float64
		want   float64
	}{
		{desc: "within", spends: []float64{5, 2, 2, 0, 0, 5}, want: 0},
		{desc: "over the burst", spends: []float64{6}, want: 1},
		{desc: "over the rate after the burst", spends: []float64{5, 2, 3}, want: 1},
		{desc: "a pause saves up no more than the burst", spends: []float64{0, 0, 0, 0, 0, 0, 7}, want: 2},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			m := newMeter(2, 5)
			for i, n := range tc.spends {
				m.spend(simStart.Add(time.Duration(i)*time.Second), n)
			}
			is.New(t).Equal(m.overshoot, tc.want)
		})
	}
}

// TestNeverOverTheLimit drives hosts through random faults. At each moment,
// all that was spent keeps within rate times time plus burst, over any window.
func TestNeverOverTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Account: "acme",
			Rate:    rapid.SampledFrom([]float64{5, 200}).Draw(t, "rate"),
			Burst:   rapid.SampledFrom([]float64{1, 8, 100}).Draw(t, "burst"),
		}
		s := newSim(rapid.IntRange(1, 4).Draw(t, "hosts"), []Limit{limit})
		m := newMeter(limit.Rate*(1+clockError), limit.Burst)
		ctx := context.Background()
		host := func(t *rapid.T) int { return rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host") }
		spend := func(l *Limiter, tries int) {
			for range tries {
				if ok, _ := l.Take(limit.Account, 1); ok {
					m.spend(s.now, 1)
				}
			}
		}
		actions := map[string]func(*rapid.T){
			"spend": func(t *rapid.T) { spend(s.hosts[host(t)], rapid.SampledFrom([]int{1, 10, 300}).Draw(t, "tries")) },
			"spend on all": func(t *rapid.T) {
				for _, l := range s.hosts {
					spend(l, 100)
				}
			},
			"pass":   func(t *rapid.T) { _ = s.hosts[host(t)].pass(ctx) },
			"urgent": func(t *rapid.T) { _ = s.hosts[host(t)].urgentPass(ctx) },
			"passes": func(t *rapid.T) {
				for _, l := range s.hosts {
					s.now = s.now.Add(time.Second)
					_ = l.pass(ctx)
				}
			},
			"short time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(5, 75).Draw(t, "s")) * time.Second)
			},
			"replace": func(t *rapid.T) { i := host(t); s.hosts[i] = s.newHost(i) },
			"leave": func(t *rapid.T) {
				i := host(t)
				l := s.hosts[i]
				l.leaving.Store(true)
				for l.lastLoan(l.opts.Clock()).After(l.opts.Clock()) {
					s.now = s.now.Add(time.Second)
				}
				_ = l.endLease(ctx)
				spend(l, 10)
				s.hosts[i] = s.newHost(i)
			},
			"freeze in a pass": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 80).Draw(t, "s")) * time.Second
				left := rapid.IntRange(0, 3).Draw(t, "calls before")
				i := host(t)
				stopped := s.hosts[i]
				others := func() {
					if left--; left != -1 {
						return
					}
					s.table.before, s.table.after = nil, nil
					spend(stopped, 100)
					for range 2 {
						s.now = s.now.Add(d)
						spend(stopped, 100)
						for _, l := range s.hosts {
							_ = l.pass(ctx)
							spend(l, 100)
						}
					}
				}
				if rapid.Bool().Draw(t, "before the effect") {
					s.table.before = others
				} else {
					s.table.after = others
				}
				// Another stands in, so that no pass of a host is inside another.
				s.hosts[i] = s.newHost(i)
				_ = stopped.pass(ctx)
				s.table.before, s.table.after = nil, nil
				spend(stopped, 100)
				s.hosts[i] = stopped
			},
			"late commits": func(t *rapid.T) { s.table.lateNext = rapid.IntRange(1, 3).Draw(t, "n") },
			"deliver":      func(t *rapid.T) { s.table.deliver() },
			"cut":          func(t *rapid.T) { s.cut = rapid.Bool().Draw(t, "cut") },
			"slow loans": func(t *rapid.T) {
				s.loanDelay = time.Duration(rapid.IntRange(0, 6).Draw(t, "s")) * time.Second
			},
			"lose loans": func(t *rapid.T) { s.loseLoans = rapid.Bool().Draw(t, "lose") },
			"": func(t *rapid.T) {
				if m.overshoot > 1e-6 {
					t.Fatalf("%.3f over the limit %+v", m.overshoot, limit)
				}
			},
		}
		maps.Copy(actions, platformtest.FaultActions(s.faults))
		t.Repeat(actions)
		if err := s.checkRows(); err != nil {
			t.Fatal(err)
		}
	})
}

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
	s.table.after = func() {
		s.table.after = nil
		is.NoErr(second.pass(t.Context()))
		s.now = s.now.Add(simTTL - simInterval)
	}
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
		s.table.lateNext = 1
		_ = first.pass(t.Context())
	}
	is.True(bucket.control.open != nil) // gives back half, or not yet
	s.table.lateNext = 0
	s.now = s.now.Add(time.Second)
	drain(first)
	s.faults.DropNext(1)
	_ = first.pass(t.Context()) // would now rather keep all
	is.Equal(bucket.control.held, Slots)
	s.faults.Heal()
	s.table.deliver()
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
	s.faults.SetDown(true)
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
