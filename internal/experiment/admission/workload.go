package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// places is the capacity in concurrent requests.
	places = 48
	// runTime is the virtual time of one run; the first warmUp isn't counted.
	runTime = 90 * time.Second
	warmUp  = 10 * time.Second
	// estimateSigma and serviceSigma are of the lognormal spreads of the
	// estimates around the class's mean, and of the service around estimates.
	estimateSigma = 0.5
	serviceSigma  = 0.3
)

// classLoad is the traffic of one class.
type classLoad struct {
	name     string
	minShare float64
	// part is the class's part of the offered work.
	part     float64
	mean     time.Duration
	deadline time.Duration
}

var loads = []classLoad{
	{name: "report", minShare: 0.10, part: 0.2, mean: time.Second, deadline: 4 * time.Second},
	{name: "question", minShare: 0.10, part: 0.3, mean: 600 * time.Millisecond, deadline: 3 * time.Second},
	{name: "narration", minShare: 0.10, part: 0.5, mean: 300 * time.Millisecond, deadline: time.Second},
}

// accountLoad is one client account's part of the requests.
type accountLoad struct {
	name string
	part float64
}

// scenario is a workload over time.
type scenario struct {
	name string
	// load is the offered work over the capacity.
	load float64
	// lossFrom and lossUntil bound the time in which a third of the capacity
	// is lost; both zero means never.
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
	flood := []accountLoad{{"large-1", 0.9}}
	for i := range 8 {
		flood = append(flood, accountLoad{fmt.Sprint("small-", i+1), 0.1 / 8})
	}
	return append(all, scenario{name: "load 2.0, nine tenths of it from one account", load: 2.0, accounts: flood})
}

// request is one arrival and its fate.
type request struct {
	arrival  time.Duration
	class    int
	account  string
	estimate time.Duration
	service  time.Duration
	deadline time.Duration

	// refused, finished and refusedAt are filled by the run.
	refused   bool
	refusedAt time.Duration
	// freeAtRefusal says that a place was free when it was refused although
	// its estimate alone was within the deadline.
	freeAtRefusal bool
	finished      time.Duration
}

// arrivals draws the requests of a scenario, in order of time.
func arrivals(s scenario, rng *rand.Rand) []*request {
	var rates [3]float64
	total := 0.0
	for i, l := range loads {
		// The lognormal mean is exp(sigma²/2) of its median.
		mean := l.mean.Seconds() * math.Exp((estimateSigma*estimateSigma+serviceSigma*serviceSigma)/2)
		rates[i] = s.load * places * l.part / mean
		total += rates[i]
	}
	var all []*request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / total
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= runTime {
			return all
		}
		all = append(all, draw(s, rng, arrival, rates, total))
	}
}

func draw(s scenario, rng *rand.Rand, arrival time.Duration, rates [3]float64, total float64) *request {
	u := rng.Float64() * total
	class := 0
	for class < len(rates)-1 && u >= rates[class] {
		u -= rates[class]
		class++
	}
	estimate := float64(loads[class].mean) * math.Exp(estimateSigma*rng.NormFloat64())
	service := estimate * math.Exp(serviceSigma*rng.NormFloat64())
	return &request{
		arrival:  arrival,
		class:    class,
		account:  account(s.accounts, rng.Float64()),
		estimate: time.Duration(estimate),
		service:  time.Duration(service),
		deadline: arrival + loads[class].deadline,
	}
}

func account(accounts []accountLoad, u float64) string {
	for _, a := range accounts {
		if u < a.part {
			return a.name
		}
		u -= a.part
	}
	return accounts[len(accounts)-1].name
}
