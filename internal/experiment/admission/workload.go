package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slotCount is the number of requests that can run concurrently.
	slotCount = 48
	// runDuration is the virtual time of one run; requests that arrive in the
	// first warmUp of it aren't counted.
	runDuration = 90 * time.Second
	warmUp      = 10 * time.Second
	// estimateSigma and serviceSigma are the standard deviations of the
	// logarithms of two ratios: the estimate to the median of the class, and the
	// service time to the estimate. Both ratios are log-normally distributed.
	estimateSigma = 0.5
	serviceSigma  = 0.3
)

// classLoad is the traffic of one class.
type classLoad struct {
	name     string
	minShare float64
	// workShare is the class's fraction of the offered work.
	workShare     float64
	medianService time.Duration
	deadline      time.Duration
}

var loads = []classLoad{
	{name: "report", minShare: 0.10, workShare: 0.2, medianService: time.Second, deadline: 4 * time.Second},
	{name: "question", minShare: 0.10, workShare: 0.3, medianService: 600 * time.Millisecond, deadline: 3 * time.Second},
	{name: "narration", minShare: 0.10, workShare: 0.5, medianService: 300 * time.Millisecond, deadline: time.Second},
}

// accountLoad is one client account's fraction of the requests.
type accountLoad struct {
	name         string
	requestShare float64
}

// scenario is a workload over time.
type scenario struct {
	name string
	// load is the offered work as a multiple of the capacity.
	load float64
	// lossFrom and lossUntil bound the period in which a third of the capacity
	// is missing; if both are zero, there is no such period.
	lossFrom, lossUntil time.Duration
	accounts            []accountLoad
}

func usualAccounts() []accountLoad {
	accounts := []accountLoad{{"large-1", 0.40}, {"large-2", 0.28}}
	for i := range 8 {
		accounts = append(accounts, accountLoad{fmt.Sprint("small-", i+1), 0.04})
	}
	return accounts
}

func scenarios() []scenario {
	var all []scenario
	for _, load := range []float64{0.8, 1.0, 1.3, 2.0} {
		all = append(all, scenario{name: fmt.Sprintf("load %.1f", load), load: load, accounts: usualAccounts()})
	}
	all = append(all, scenario{
		name:      "load 1.0, a third of the capacity lost from 30 s to 60 s",
		load:      1.0,
		lossFrom:  30 * time.Second,
		lossUntil: 60 * time.Second,
		accounts:  usualAccounts(),
	})
	skewedAccounts := []accountLoad{{"large-1", 0.9}}
	for i := range 8 {
		skewedAccounts = append(skewedAccounts, accountLoad{fmt.Sprint("small-", i+1), 0.1 / 8})
	}
	return append(all, scenario{name: "load 2.0, nine tenths of it from one account", load: 2.0, accounts: skewedAccounts})
}

// request is one request and its outcome.
type request struct {
	arrival  time.Duration
	class    int
	account  string
	estimate time.Duration
	service  time.Duration
	deadline time.Duration

	// The run sets the fields below. refusedAt and finished are virtual times;
	// finished is 0 if the request never ended.
	refused   bool
	refusedAt time.Duration
	// hadFreeSlot is true if the request was refused on arrival although a slot
	// was free and its estimate alone would have met the deadline.
	hadFreeSlot bool
	finished    time.Duration
}

// arrivals draws the requests of a scenario in order of arrival.
func arrivals(s scenario, rng *rand.Rand) []*request {
	var rates [3]float64
	total := 0.0
	for i, l := range loads {
		// The mean of a log-normal distribution is its median times
		// exp(sigma²/2).
		mean := l.medianService.Seconds() * math.Exp((estimateSigma*estimateSigma+serviceSigma*serviceSigma)/2)
		rates[i] = s.load * slotCount * l.workShare / mean
		total += rates[i]
	}
	var all []*request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / total
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= runDuration {
			return all
		}
		all = append(all, drawRequest(s, rng, arrival, rates, total))
	}
}

func drawRequest(s scenario, rng *rand.Rand, arrival time.Duration, rates [3]float64, total float64) *request {
	u := rng.Float64() * total
	class := 0
	for class < len(rates)-1 && u >= rates[class] {
		u -= rates[class]
		class++
	}
	estimate := float64(loads[class].medianService) * math.Exp(estimateSigma*rng.NormFloat64())
	service := estimate * math.Exp(serviceSigma*rng.NormFloat64())
	return &request{
		arrival:  arrival,
		class:    class,
		account:  drawAccount(s.accounts, rng.Float64()),
		estimate: time.Duration(estimate),
		service:  time.Duration(service),
		deadline: arrival + loads[class].deadline,
	}
}

func drawAccount(accounts []accountLoad, u float64) string {
	for _, a := range accounts {
		if u < a.requestShare {
			return a.name
		}
		u -= a.requestShare
	}
	return accounts[len(accounts)-1].name
}
