package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// retryStorm simulates callers that retry every failure a second later, up to
// maxTries attempts, against a service whose number of successes falls as load
// rises above its capacity. An outage from 10 s to 20 s starts the retry storm.
type retryStorm struct {
	budget *RetryBudget
	rng    *rand.Rand
	now    time.Time
	// scheduled holds the number of attempts scheduled for each step of time, by
	// the number of attempts that each request made before.
	scheduled [][maxTries]int
}

const (
	stepsPerSecond   = 10
	stormCapacity    = 100.0
	stormOfferedLoad = 80
	maxTries         = 20
	stormSeconds     = 90
)

// run returns the numbers of attempts and successes in each second.
func (s *retryStorm) run() (attempts, successes [stormSeconds]int) {
	s.scheduled = make([][maxTries]int, (stormSeconds+2)*stepsPerSecond)
	for step := range stormSeconds * stepsPerSecond {
		s.now = start.Add(time.Duration(step) * time.Second / stepsPerSecond)
		s.scheduled[step][0] = stormOfferedLoad / stepsPerSecond
		load := 0
		for try, n := range s.scheduled[step] {
			load += n
			if try == 0 && s.budget != nil {
				for range n {
					s.budget.Deposit()
				}
			}
		}
		successRate := s.successRate(step/stepsPerSecond, float64(load*stepsPerSecond))
		second := step / stepsPerSecond
		attempts[second] += load
		successes[second] += s.runAttempts(step, successRate)
	}
	return attempts, successes
}

func (s *retryStorm) runAttempts(step int, successRate float64) (successes int) {
	for try, n := range s.scheduled[step] {
		for range n {
			if s.rng.Float64() < successRate {
				successes++
				continue
			}
			if try+1 < maxTries && (s.budget == nil || s.budget.Withdraw()) {
				s.scheduled[step+stepsPerSecond][try+1]++
			}
		}
	}
	return successes
}

// successRate returns the probability that an attempt succeeds: 0 during the
// outage, and 1 if the load is within the capacity. Above the capacity, even the
// number of successes falls as load rises, since failing attempts use capacity
// too.
func (s *retryStorm) successRate(second int, load float64) float64 {
	if second >= 10 && second < 20 {
		return 0
	}
	if load <= stormCapacity {
		return 1
	}
	return (stormCapacity / load) * (stormCapacity / load)
}

func TestRetryBudgetEndsRetryStorm(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		without := &retryStorm{rng: rand.New(rand.NewPCG(seed, 0))}
		attempts, successes := without.run()
		t.Logf("seed %d without budget: attempts/s at 15 s %d, at 30 s %d, at 89 s %d; successes/s at 89 s %d",
			seed, attempts[15], attempts[30], attempts[89], successes[89])
		is.True(successes[89] < stormOfferedLoad/2) // retries still cause overload long after the outage

		with := &retryStorm{rng: rand.New(rand.NewPCG(seed, 0))}
		with.budget = NewRetryBudget(0.1, 1, func() time.Time { return with.now })
		attempts, successes = with.run()
		t.Logf("seed %d with budget 0.1: attempts/s at 15 s %d, at 30 s %d, at 89 s %d; successes/s at 89 s %d",
			seed, attempts[15], attempts[30], attempts[89], successes[89])
		is.Equal(attempts[30], stormOfferedLoad)
		is.Equal(successes[30], stormOfferedLoad) // recovered ten seconds after the outage
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	now := start
	b := NewRetryBudget(0.5, 0, func() time.Time { return now })
	is.True(!b.Withdraw()) // no initial retries without a constant rate
	b.Deposit()
	is.True(!b.Withdraw())
	b.Deposit()
	is.True(b.Withdraw())
	is.True(!b.Withdraw())
	for range 100 {
		b.Deposit()
	}
	now = now.Add(10 * budgetWindow)
	is.True(!b.Withdraw()) // old deposits have decayed
	slow := NewRetryBudget(0, 0.05, func() time.Time { return now })
	now = now.Add(time.Minute)
	is.True(slow.Withdraw()) // a low constant rate eventually allows a retry
	is.True(!slow.Withdraw())
}
