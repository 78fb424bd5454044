package quota

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

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
		s := &spending{
			sim:   newSim(rapid.IntRange(1, 4).Draw(t, "hosts"), []Limit{limit}),
			meter: newMeter(limit.Rate*(1+clockError), limit.Burst),
			limit: limit,
		}
		actions := s.actions()
		maps.Copy(actions, s.networkFaults())
		maps.Copy(actions, storagetest.FaultActions(s.table))
		t.Repeat(actions)
		if err := s.checkRows(); err != nil {
			t.Fatal(err)
		}
	})
}

// spending is a sim whose hosts spend one account's limit.
type spending struct {
	*sim
	meter *meter
	limit Limit
}

func (s *spending) actions() map[string]func(*rapid.T) {
	ctx := context.Background()
	return map[string]func(*rapid.T){
		"": s.check,
		"spend": func(t *rapid.T) {
			s.spend(s.hosts[s.drawHost(t)], rapid.SampledFrom([]int{1, 10, 300}).Draw(t, "tries"))
		},
		"spend on all": func(*rapid.T) { s.spendOnAll(100) },
		"pass":         func(t *rapid.T) { _ = s.hosts[s.drawHost(t)].pass(ctx) },
		"urgent":       func(t *rapid.T) { _ = s.hosts[s.drawHost(t)].urgentPass(ctx) },
		"passes": func(*rapid.T) {
			for _, l := range s.hosts {
				s.now = s.now.Add(time.Second)
				_ = l.pass(ctx)
			}
		},
		"short time":       func(t *rapid.T) { s.now = s.now.Add(drawTime(t, time.Millisecond, 1, 3000)) },
		"long time":        func(t *rapid.T) { s.now = s.now.Add(drawTime(t, time.Second, 5, 75)) },
		"replace":          func(t *rapid.T) { i := s.drawHost(t); s.hosts[i] = s.newHost(i) },
		"leave":            s.leave,
		"freeze in a pass": s.freezeInPass,
	}
}

func (s *spending) networkFaults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"late commits": func(t *rapid.T) { s.table.HoldNext(rapid.IntRange(1, 3).Draw(t, "n")) },
		"deliver":      func(*rapid.T) { s.table.Deliver() },
		"cut":          func(t *rapid.T) { s.cut = rapid.Bool().Draw(t, "cut") },
		"slow loans":   func(t *rapid.T) { s.loanDelay = drawTime(t, time.Second, 0, 6) },
		"lose loans":   func(t *rapid.T) { s.loseLoans = rapid.Bool().Draw(t, "lose") },
	}
}

func drawTime(t *rapid.T, unit time.Duration, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, "time")) * unit
}

func (s *spending) drawHost(t *rapid.T) int {
	return rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
}

func (s *spending) spend(l *Limiter, tries int) {
	for range tries {
		if ok, _ := l.Take(s.limit.Account, 1); ok {
			s.meter.spend(s.now, 1)
		}
	}
}

func (s *spending) spendOnAll(tries int) {
	for _, l := range s.hosts {
		s.spend(l, tries)
	}
}

func (s *spending) check(t *rapid.T) {
	if s.meter.overshoot > 1e-6 {
		t.Fatalf("%.3f over the limit %+v", s.meter.overshoot, s.limit)
	}
}

// leave has a host give up its slots and try to spend after that.
func (s *spending) leave(t *rapid.T) {
	i := s.drawHost(t)
	l := s.hosts[i]
	l.leaving.Store(true)
	for l.lastLoan(l.opts.Clock()).After(l.opts.Clock()) {
		s.now = s.now.Add(time.Second)
	}
	_ = l.endLease(context.Background())
	s.spend(l, 10)
	s.hosts[i] = s.newHost(i)
}

// freezeInPass stops a host within a pass, before or after the effect of a
// call of the table, while the others go on.
func (s *spending) freezeInPass(t *rapid.T) {
	d := drawTime(t, time.Second, 1, 80)
	left := rapid.IntRange(0, 3).Draw(t, "calls before")
	i := s.drawHost(t)
	stopped := s.hosts[i]
	others := func() {
		if left--; left != -1 {
			return
		}
		s.table.SetHooks(nil, nil)
		s.goOnWithout(stopped, d)
	}
	if rapid.Bool().Draw(t, "before the effect") {
		s.table.SetHooks(others, nil)
	} else {
		s.table.SetHooks(nil, others)
	}
	// Another stands in, so that no pass of a host is inside another.
	s.hosts[i] = s.newHost(i)
	_ = stopped.pass(context.Background())
	s.table.SetHooks(nil, nil)
	s.spend(stopped, 100)
	s.hosts[i] = stopped
}

// goOnWithout lets time pass twice; the stopped host's other goroutines spend.
func (s *spending) goOnWithout(stopped *Limiter, d time.Duration) {
	s.spend(stopped, 100)
	for range 2 {
		s.now = s.now.Add(d)
		s.spend(stopped, 100)
		for _, l := range s.hosts {
			_ = l.pass(context.Background())
			s.spend(l, 100)
		}
	}
}
