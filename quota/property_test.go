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

func TestLimitCheckerDetectsOverspending(t *testing.T) {
	cases := []struct {
		desc string
		// spends are numbers of requests, one second apart.
		spends []float64
		want   float64
	}{
		{desc: "within", spends: []float64{5, 2, 2, 0, 0, 5}, want: 0},
		{desc: "over the burst", spends: []float64{6}, want: 1},
		{desc: "over the rate after the burst", spends: []float64{5, 2, 3}, want: 1},
		{desc: "a pause adds no more tokens than the burst", spends: []float64{0, 0, 0, 0, 0, 0, 7}, want: 2},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			checker := newLimitChecker(2, 5)
			for i, n := range tc.spends {
				checker.spend(simStart.Add(time.Duration(i)*time.Second), n)
			}
			is.New(t).Equal(checker.overshoot, tc.want)
		})
	}
}

// TestNeverOverTheLimit subjects hosts to random faults. In any window of time,
// the requests that all hosts together allow are at most the limit's rate times
// the length of the window plus its burst.
func TestNeverOverTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Account: "acme",
			Rate:    rapid.SampledFrom([]float64{5, 200}).Draw(t, "rate"),
			Burst:   rapid.SampledFrom([]float64{1, 8, 100}).Draw(t, "burst"),
		}
		s := &spendingSim{
			sim:     newSim(rapid.IntRange(1, 4).Draw(t, "hosts"), []Limit{limit}),
			checker: newLimitChecker(limit.Rate*(1+clockError), limit.Burst),
			limit:   limit,
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

// spendingSim is a sim whose hosts use one account's limit.
type spendingSim struct {
	*sim
	checker *limitChecker
	limit   Limit
}

func (s *spendingSim) actions() map[string]func(*rapid.T) {
	ctx := context.Background()
	return map[string]func(*rapid.T){
		"": s.check,
		"spend": func(t *rapid.T) {
			s.spend(s.hosts[s.drawHost(t)], rapid.SampledFrom([]int{1, 10, 300}).Draw(t, "tries"))
		},
		"spend on all": func(*rapid.T) { s.spendOnAll(100) },
		"pass":         func(t *rapid.T) { _ = s.hosts[s.drawHost(t)].reconcile(ctx) },
		"urgent":       func(t *rapid.T) { _ = s.hosts[s.drawHost(t)].reconcileUrgent(ctx) },
		"passes": func(*rapid.T) {
			for _, l := range s.hosts {
				s.now = s.now.Add(time.Second)
				_ = l.reconcile(ctx)
			}
		},
		"short time":                func(t *rapid.T) { s.now = s.now.Add(drawDuration(t, time.Millisecond, 1, 3000)) },
		"long time":                 func(t *rapid.T) { s.now = s.now.Add(drawDuration(t, time.Second, 5, 75)) },
		"replace":                   func(t *rapid.T) { i := s.drawHost(t); s.hosts[i] = s.newHost(i) },
		"leave":                     s.leave,
		"suspend while reconciling": s.suspendDuringReconcile,
	}
}

func (s *spendingSim) networkFaults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"late commits": func(t *rapid.T) { s.table.HoldNextCommits(rapid.IntRange(1, 3).Draw(t, "n")) },
		"deliver":      func(*rapid.T) { s.table.ApplyHeldCommits() },
		"cut":          func(t *rapid.T) { s.partitioned = rapid.Bool().Draw(t, "cut") },
		"slow loans":   func(t *rapid.T) { s.loanDelay = drawDuration(t, time.Second, 0, 6) },
		"lose loans":   func(t *rapid.T) { s.loseLoans = rapid.Bool().Draw(t, "lose") },
	}
}

func drawDuration(t *rapid.T, unit time.Duration, minUnits, maxUnits int) time.Duration {
	return time.Duration(rapid.IntRange(minUnits, maxUnits).Draw(t, "time")) * unit
}

func (s *spendingSim) drawHost(t *rapid.T) int {
	return rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
}

func (s *spendingSim) spend(l *Limiter, tries int) {
	for range tries {
		if ok, _ := l.Take(s.limit.Account, 1); ok {
			s.checker.spend(s.now, 1)
		}
	}
}

func (s *spendingSim) spendOnAll(tries int) {
	for _, l := range s.hosts {
		s.spend(l, tries)
	}
}

func (s *spendingSim) check(t *rapid.T) {
	if s.checker.overshoot > 1e-6 {
		t.Fatalf("%.3f over the limit %+v", s.checker.overshoot, s.limit)
	}
}

// leave makes a host release its slots and then try to spend, and replaces it.
func (s *spendingSim) leave(t *rapid.T) {
	i := s.drawHost(t)
	l := s.hosts[i]
	l.leaving.Store(true)
	for l.lastLoanEnd(l.opts.Clock()).After(l.opts.Clock()) {
		s.now = s.now.Add(time.Second)
	}
	_ = l.endLease(context.Background())
	s.spend(l, 10)
	s.hosts[i] = s.newHost(i)
}

// suspendDuringReconcile suspends a host during a reconciliation, before or after the
// effect of a table call, while the other hosts continue.
func (s *spendingSim) suspendDuringReconcile(t *rapid.T) {
	d := drawDuration(t, time.Second, 1, 80)
	callsBefore := rapid.IntRange(0, 3).Draw(t, "calls before")
	i := s.drawHost(t)
	suspended := s.hosts[i]
	runOthersOnce := func() {
		if callsBefore--; callsBefore != -1 {
			return
		}
		s.table.SetHooks(nil, nil)
		s.runOthers(suspended, d)
	}
	if rapid.Bool().Draw(t, "before the effect") {
		s.table.SetHooks(runOthersOnce, nil)
	} else {
		s.table.SetHooks(nil, runOthersOnce)
	}
	// A substitute takes the suspended host's place meanwhile, so that runOthers
	// doesn't call the suspended host's reconcile recursively.
	s.hosts[i] = s.newHost(i)
	_ = suspended.reconcile(context.Background())
	s.table.SetHooks(nil, nil)
	s.spend(suspended, 100)
	s.hosts[i] = suspended
}

// runOthers advances the time twice by d and reconciles the other hosts, while
// other goroutines of the suspended host continue to spend.
func (s *spendingSim) runOthers(suspended *Limiter, d time.Duration) {
	s.spend(suspended, 100)
	for range 2 {
		s.now = s.now.Add(d)
		s.spend(suspended, 100)
		for _, l := range s.hosts {
			_ = l.reconcile(context.Background())
			s.spend(l, 100)
		}
	}
}
