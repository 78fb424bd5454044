package quota

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	measureStep   = 50 * time.Millisecond
	measureWarmUp = time.Minute
)

// The figures in the design note were measured with three seeds and ten minutes.
var (
	measureSeeds = flag.Uint64("seeds", 1, "seeds of TestMeasure")
	measureTime  = flag.Duration("time", 30*time.Second, "virtual time of each run")
)

// loadPattern describes how demand is distributed over hosts and time.
type loadPattern struct {
	desc string
	// factor is the ratio of the demand to the limit.
	factor float64
	// share returns the proportion of an account's demand that a host receives.
	share func(account, host, hosts int, at time.Duration) float64
	// downFrom and downUntil bound a table outage, counted from the end of the
	// warm-up.
	downFrom, downUntil time.Duration
	// replaceEvery is the time between crashes. One host after another crashes
	// and is replaced; 0 means that none does.
	replaceEvery time.Duration
}

func evenLoad(_, _, hosts int, _ time.Duration) float64 { return 1 / float64(hosts) }

// movingLoad sends all of an account's demand to one host, another each minute.
func movingLoad(account, host, hosts int, at time.Duration) float64 {
	if (account+int(at/time.Minute))%hosts == host {
		return 1
	}
	return 0
}

// unevenLoad sends half of an account's demand to one host and spreads the rest
// evenly over all hosts.
func unevenLoad(account, host, hosts int, _ time.Duration) float64 {
	p := 0.5 / float64(hosts)
	if account%hosts == host {
		p += 0.5
	}
	return p
}

// result holds the figures of one run. commits, reads and loans are per second.
type result struct {
	requested, granted int
	// grantedBySingleBucket is the number of requests that one bucket with the
	// whole limit grants.
	grantedBySingleBucket int
	overshoot             float64
	commits, reads, loans float64
}

// loadSimulation runs several hosts under a load pattern in virtual time and
// reconciles them at the times at which Run would.
type loadSimulation struct {
	*sim
	rng           *rand.Rand
	load          loadPattern
	checkers      []*limitChecker
	singleBuckets []*limitChecker
	lastReconcile []time.Time
	lastUrgent    []time.Time
	failed        []bool
	result        result
}

func simulateLoad(hosts, accounts int, load loadPattern, seed uint64) result {
	var limits []Limit
	for i := range accounts {
		// The limit grows with the number of hosts, so that each host's part of it
		// is always the same.
		scale := float64(hosts) / 7
		limits = append(limits, Limit{Account: fmt.Sprint("account-", i), Rate: 100 * scale, Burst: 50 * scale})
	}
	m := &loadSimulation{sim: newSim(0, limits), rng: rand.New(rand.NewPCG(seed, 2)), load: load}
	m.ttl = DefaultTTL
	for i := range hosts {
		m.hosts = append(m.hosts, m.newHost(i))
	}
	for _, limit := range limits {
		m.checkers = append(m.checkers, newLimitChecker(limit.Rate*(1+clockError), limit.Burst))
		m.singleBuckets = append(m.singleBuckets, newLimitChecker(limit.Rate, limit.Burst))
	}
	m.lastReconcile = make([]time.Time, hosts)
	m.lastUrgent = make([]time.Time, hosts)
	m.failed = make([]bool, hosts)
	m.run()
	return m.result
}

func (m *loadSimulation) run() {
	counts := m.table.Counts()
	for at := time.Duration(0); at < measureWarmUp+*measureTime; at += measureStep {
		m.now = simStart.Add(at)
		since := at - measureWarmUp
		if since == 0 {
			counts = m.table.Counts()
			m.loansGranted = 0
			m.result = result{}
		}
		m.table.SetDown(since >= m.load.downFrom && since < m.load.downUntil)
		if m.load.replaceEvery > 0 && since > 0 && since%m.load.replaceEvery == 0 {
			i := int(since/m.load.replaceEvery) % len(m.hosts)
			m.hosts[i] = m.newHost(i)
			m.lastReconcile[i] = time.Time{}
		}
		for host := range m.hosts {
			m.step(host, at)
		}
	}
	after := m.table.Counts()
	seconds := measureTime.Seconds()
	m.result.commits = float64(after.Commits-counts.Commits) / seconds
	m.result.reads = float64(after.Gets+after.Lists-counts.Gets-counts.Lists) / seconds
	m.result.loans = float64(m.loansGranted) / seconds
	for _, checker := range m.checkers {
		m.result.overshoot = max(m.result.overshoot, checker.overshoot)
	}
}

func (m *loadSimulation) step(host int, at time.Duration) {
	ctx := context.Background()
	l := m.hosts[host]
	if m.now.Sub(m.lastReconcile[host]) >= DefaultInterval {
		// The first reconciliations of the hosts are spread over an interval.
		if at >= time.Duration(host)*DefaultInterval/time.Duration(len(m.hosts)) {
			m.failed[host] = l.reconcile(ctx) != nil
			m.lastReconcile[host] = m.now
		}
	}
	for account, limit := range m.limits {
		share := m.load.share(account, host, len(m.hosts), at)
		mean := m.load.factor * limit.Rate * share * measureStep.Seconds()
		for range poisson(m.rng, mean) {
			m.request(l, account, limit.Account)
		}
	}
	if len(l.refusalSignal) > 0 && m.now.Sub(m.lastUrgent[host]) >= minUrgentInterval {
		<-l.refusalSignal
		m.lastUrgent[host] = m.now
		if m.failed[host] {
			l.requestLoans(ctx)
		} else {
			m.failed[host] = l.reconcileUrgent(ctx) != nil
		}
	}
}

func (m *loadSimulation) request(l *Limiter, account int, name string) {
	m.result.requested++
	if m.singleBuckets[account].allows(m.now, 1) {
		m.singleBuckets[account].spend(m.now, 1)
		m.result.grantedBySingleBucket++
	}
	if ok, _ := l.Take(name, 1); ok {
		m.result.granted++
		m.checkers[account].spend(m.now, 1)
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}

// TestMeasure logs the figures of the design note. It fails if a limit is
// exceeded.
func TestMeasure(t *testing.T) {
	loads := []loadPattern{
		{desc: "even, 0.8 of the limit", factor: 0.8, share: evenLoad},
		{desc: "even, 1.5 of the limit", factor: 1.5, share: evenLoad},
		{desc: "uneven, 0.8 of the limit", factor: 0.8, share: unevenLoad},
		{desc: "uneven, 1.5 of the limit", factor: 1.5, share: unevenLoad},
		{desc: "moving each minute, 0.8 of the limit", factor: 0.8, share: movingLoad},
		{desc: "moving each minute, 0.8 of the limit, table down for 8 min", factor: 0.8, share: movingLoad, downFrom: time.Second, downUntil: 8 * time.Minute},
		{desc: "even, 0.8 of the limit, a host crashes each 2 min", factor: 0.8, share: evenLoad, replaceEvery: 2 * time.Minute},
	}
	for _, load := range loads {
		t.Run(load.desc, func(t *testing.T) {
			for seed := range *measureSeeds {
				report(t, simulateLoad(7, 10, load, seed+1))
			}
		})
	}
}

// BenchmarkTableLoad reports the load on the table by numbers of hosts and
// accounts.
func BenchmarkTableLoad(b *testing.B) {
	for _, size := range []struct{ hosts, accounts int }{{7, 10}, {7, 40}, {14, 10}, {28, 10}} {
		b.Run(fmt.Sprintf("hosts=%d/accounts=%d", size.hosts, size.accounts), func(b *testing.B) {
			var r result
			for range b.N {
				r = simulateLoad(size.hosts, size.accounts, loadPattern{factor: 0.8, share: unevenLoad}, 1)
			}
			b.ReportMetric(r.commits, "commits/s")
			b.ReportMetric(r.reads, "reads/s")
			b.ReportMetric(r.loans, "loans/s")
			b.ReportMetric(100*float64(r.granted)/float64(r.grantedBySingleBucket), "%granted")
		})
	}
}

func report(t *testing.T, r result) {
	t.Helper()
	t.Logf("granted %.1f%% of requested, %.1f%% of one bucket's; overshoot %.2f commits/s %.2f reads/s %.2f loans/s %.2f",
		100*float64(r.granted)/float64(r.requested), 100*float64(r.granted)/float64(r.grantedBySingleBucket),
		r.overshoot, r.commits, r.reads, r.loans)
	is.New(t).True(r.overshoot < 1e-6)
}
