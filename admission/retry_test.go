package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// storm simulates callers that retry every failure a second later, up to
// maxTries times, against a service that loses useful work as load rises past
// its capacity. An outage from 10 s to 20 s sets the storm off.
type storm struct {
	budget *RetryBudget
	rng    *rand.Rand
	now    time.Time
	// due counts the attempts of each coming step by their number of tries.
	due [][maxTries]int
}

const (
	stepsPerSecond = 10
	stormCapacity  = 100.0
	stormOffered   = 80
	maxTries       = 20
	stormSeconds   = 90
)

// run returns the attempts and successes of each second.
func (s *storm) run() (attempts, successes [stormSeconds]int) {
	s.due = make([][maxTries]int, (stormSeconds+2)*stepsPerSecond)
	for step := range stormSeconds * stepsPerSecond {
		s.now = start.Add(time.Duration(step) * time.Second / stepsPerSecond)
		s.due[step][0] = stormOffered / stepsPerSecond
		load := 0
		for try, n := range s.due[step] {
			load += n
			if try == 0 && s.budget != nil {
				for range n {
					s.budget.Deposit()
				}
			}
		}
		chance := s.successRate(step/stepsPerSecond, float64(load*stepsPerSecond))
		second := step / stepsPerSecond
		attempts[second] += load
		successes[second] += s.play(step, chance)
	}
	return attempts, successes
}

func (s *storm) play(step int, chance float64) (successes int) {
	for try, n := range s.due[step] {
		for range n {
			if s.rng.Float64() < chance {
				successes++
				continue
			}
			if try+1 < maxTries && (s.budget == nil || s.budget.Withdraw()) {
				s.due[step+stepsPerSecond][try+1]++
			}
		}
	}
	return successes
}

// successRate is 1 up to the capacity. Past it, useful work falls as load
// rises, since attempts that fail take places too.
func (s *storm) successRate(second int, load float64) float64 {
	if second >= 10 && second < 20 {
		return 0
	}
	if load <= stormCapacity {
		return 1
	}
	return (stormCapacity / load) * (stormCapacity / load)
}

func TestRetryStormDiesOut(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		without := &storm{rng: rand.New(rand.NewPCG(seed, 0))}
		attempts, successes := without.run()
		t.Logf("seed %d without budget: attempts/s at 15 s %d, at 30 s %d, at 89 s %d; successes/s at 89 s %d",
			seed, attempts[15], attempts[30], attempts[89], successes[89])
		is.True(successes[89] < stormOffered/2) // the storm feeds itself long after the outage

		with := &storm{rng: rand.New(rand.NewPCG(seed, 0))}
		with.budget = NewRetryBudget(0.1, 1, func() time.Time { return with.now })
		attempts, successes = with.run()
		t.Logf("seed %d with budget 0.1: attempts/s at 15 s %d, at 30 s %d, at 89 s %d; successes/s at 89 s %d",
			seed, attempts[15], attempts[30], attempts[89], successes[89])
		is.Equal(attempts[30], stormOffered)
		is.Equal(successes[30], stormOffered) // all is well ten seconds after the outage
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	now := start
	b := NewRetryBudget(0.5, 0, func() time.Time { return now })
	is.True(!b.Withdraw()) // nothing is given in advance
	b.Deposit()
	is.True(!b.Withdraw())
	b.Deposit()
	is.True(b.Withdraw())
	is.True(!b.Withdraw())
	for range 100 {
		b.Deposit()
	}
	now = now.Add(10 * budgetWindow)
	is.True(!b.Withdraw()) // old deposits are forgotten
	slow := NewRetryBudget(0, 0.05, func() time.Time { return now })
	now = now.Add(time.Minute)
	is.True(slow.Withdraw()) // a low constant rate pays in the end
	is.True(!slow.Withdraw())
}
