package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	simHosts, simAccounts = 88, 24
	simTick               = 50 * time.Millisecond
	// simWork is the engine time of a request. simCapacity is the engine time of all engines, in
	// seconds a second. simLoad is the usual load as a fraction of it.
	simWork     = 150 * time.Millisecond
	simCapacity = 140.0
	simLoad     = 0.8
	// simRound is the time between two reports, simDelay their age when they arrive: they pass up
	// to two hubs.
	simRound = 1050 * time.Millisecond
	simDelay = 2 * simRound
)

// replay is a fleet of hosts before the same engines, in virtual time. While the engines' backlog is
// short, hosts send all requests. From shortBacklog on they reject those of accounts over their
// share, and from longBacklog on all.
type replay struct {
	random  *rand.Rand
	ledgers []*Ledger
	now     time.Time
	// backlog is the time that the engines need for the requests that were sent.
	backlog float64
	// due holds the retries by tick. sums holds the sums of each round's reports, with the hosts'
	// own ones.
	due  map[int64][]simRequest
	sums []simReports
	// load returns the account's load as a multiple of its usual one. retries returns how often and
	// after which pause its callers repeat a rejected request. hostOf returns the host that a request
	// reaches.
	load    func(account int) float64
	retries func(account int) (int, time.Duration)
	hostOf  func(account int) int
	// useShares is set if hosts reject requests of accounts over their share first.
	useShares bool
	// arrived and served count the requests by account. over counts the decisions for which the
	// account was over its share. owed holds parts of requests that are yet to arrive.
	arrived, served, over [simAccounts]int
	owed                  [simAccounts]float64
}

type simRequest struct{ account, tries int }

type simReports struct {
	at  time.Time
	all map[AccountID]AccountUse
	own [][]AccountUse
}

const shortBacklog, longBacklog = 0.2, 0.4

func newReplay() *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), due: make(map[int64][]simRequest),
		load: func(int) float64 { return 1 }, useShares: true,
		retries: func(int) (int, time.Duration) { return 1, 600 * time.Millisecond },
	}
	r.hostOf = func(int) int { return r.random.IntN(simHosts) }
	for range simHosts {
		r.ledgers = append(r.ledgers, NewLedger())
	}
	return r
}

// usual returns an account's usual load as a fraction of all accounts' load: three are large.
func usual(account int) float64 {
	if account < 3 {
		return 0.15
	}
	return 0.55 / (simAccounts - 3)
}

func (r *replay) run(d time.Duration) {
	r.arrived, r.served, r.over = [simAccounts]int{}, [simAccounts]int{}, [simAccounts]int{}
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(simTick) {
		tick := r.now.UnixNano() / int64(simTick)
		requests := r.due[tick]
		delete(r.due, tick)
		for a := range simAccounts {
			r.owed[a] += r.load(a) * usual(a) * simLoad * simCapacity * simTick.Seconds() / simWork.Seconds() * 2 * r.random.Float64()
			for ; r.owed[a] >= 1; r.owed[a]-- {
				r.arrived[a]++
				requests = append(requests, simRequest{account: a})
			}
		}
		r.random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
		r.backlog = max(0, r.backlog-simTick.Seconds())
		for _, q := range requests {
			r.decide(q, tick)
		}
		if tick%int64(simRound/simTick) == 0 {
			r.exchange()
		}
	}
}

func (r *replay) decide(q simRequest, tick int64) {
	l, id := r.ledgers[r.hostOf(q.account)], AccountID(q.account+1)
	l.RecordDemand(id, simWork, r.now)
	limit := longBacklog
	if l.OverShare(id, r.now) {
		r.over[q.account]++
		if r.useShares {
			limit = shortBacklog
		}
	}
	if r.backlog < limit {
		l.RecordSent(id, simWork, simWork, r.now)
		r.backlog += simWork.Seconds() / simCapacity
		r.served[q.account]++
	} else if retries, pause := r.retries(q.account); q.tries < retries {
		at := tick + int64(pause/simTick)
		r.due[at] = append(r.due[at], simRequest{account: q.account, tries: q.tries + 1})
	}
}

// exchange collects the hosts' reports, and gives each host the sums of the others' earlier ones.
func (r *replay) exchange() {
	round := simReports{at: r.now, all: make(map[AccountID]AccountUse)}
	for _, l := range r.ledgers {
		report := l.Report(r.now)
		round.own = append(round.own, report)
		for _, u := range report {
			sum := round.all[u.Account]
			sum.Account = u.Account
			sum.Add(u)
			round.all[u.Account] = sum
		}
	}
	r.sums = append(r.sums, round)
	if old := r.sums[0]; r.now.Sub(old.at) >= simDelay {
		r.sums = r.sums[1:]
		for i, l := range r.ledgers {
			l.SetOthers(old.others(i), r.now)
		}
	}
}

func (round simReports) others(host int) []AccountUse {
	var list []AccountUse
	own := make(map[AccountID]AccountUse)
	for _, u := range round.own[host] {
		own[u.Account] = u
	}
	for id, u := range round.all {
		list = append(list, AccountUse{Account: id, Demand: max(0, u.Demand-own[id].Demand), Received: max(0, u.Received-own[id].Received)})
	}
	return Largest(list, MaxReported)
}

// minServed returns the smallest fraction of requests that were served, over all accounts except
// the given one.
func (r *replay) minServed(except int) float64 {
	least := 1.0
	for a := range simAccounts {
		if a != except {
			least = min(least, float64(r.served[a])/float64(r.arrived[a]))
		}
	}
	return least
}

// use returns the fraction of the capacity that the requests of all accounts, and of one account,
// got in the time.
func (r *replay) use(account int, d time.Duration) (all, one float64) {
	of := func(n int) float64 { return float64(n) * simWork.Seconds() / simCapacity / d.Seconds() }
	for _, n := range r.served {
		all += of(n)
	}
	return all, of(r.served[account])
}

// One large account sends eight times its usual load to 88 hosts, or to 3 of them, and 23 others
// send theirs: 1.64 times the capacity in all. The others must be served as usual, and the large one
// gets what they leave. Without shares all accounts lose alike.
func TestReplayOneAccountAtEightTimesItsUsual(t *testing.T) {
	for _, tc := range []struct {
		hosts     int
		useShares bool
	}{{simHosts, true}, {3, true}, {simHosts, false}} {
		t.Run(fmt.Sprintf("%d hosts, shares %v", tc.hosts, tc.useShares), func(t *testing.T) {
			is := is.New(t)
			r := newReplay()
			r.useShares = tc.useShares
			r.hostOf = func(account int) int {
				if account == 0 {
					return r.random.IntN(tc.hosts)
				}
				return r.random.IntN(simHosts)
			}
			r.run(10 * time.Second)
			is.Equal(r.over, [simAccounts]int{}) // nobody is over its share while there is enough for all
			is.True(r.minServed(-1) >= 0.999)

			r.load = func(account int) float64 { return map[bool]float64{true: 8, false: 1}[account == 0] }
			r.run(4 * time.Second)
			t.Logf("first 4 s: others served %.3f", r.minServed(0))
			const span = 20 * time.Second
			r.run(span)
			all, one := r.use(0, span)
			t.Logf("then: others served %.3f, capacity used %.3f, large account %.3f, over share %v", r.minServed(0), all, one, r.over)
			is.True(all >= 0.98) // no capacity is idle
			if !tc.useShares {
				is.True(r.minServed(0) < 0.8)
				return
			}
			is.True(r.minServed(0) >= 0.95)
			is.True(one >= 0.9*(1-simLoad*(1-usual(0))))
			others := r.over
			others[0] = 0
			is.Equal(others, [simAccounts]int{}) // nobody else is over its share

			r.load = func(int) float64 { return 1 }
			r.run(3 * time.Second)
			r.run(12 * time.Second)
			t.Logf("after the burst: served %.3f, over share %v", r.minServed(-1), r.over)
			is.True(r.minServed(-1) >= 0.999) // whether or not the account is over its share: nobody waits
			r.run(5 * time.Second)
			is.Equal(r.over, [simAccounts]int{})
		})
	}
}

// All accounts send 1.4 times what the engines can run. The callers of one large account and of four
// small ones repeat each rejected request at once, up to 20 times; the others repeat once, after a
// pause. Repeats increase what an account requests, but not its share: the small accounts that don't
// repeat must be served, and the large one that does gets little more than its share.
func TestReplayCallersThatRepeatAtOnce(t *testing.T) {
	for _, useShares := range []bool{true, false} {
		t.Run(fmt.Sprint("shares ", useShares), func(t *testing.T) {
			is := is.New(t)
			r := newReplay()
			r.useShares = useShares
			r.run(10 * time.Second)
			r.load = func(int) float64 { return 1.4 / simLoad }
			r.retries = func(account int) (int, time.Duration) {
				if account == 0 || account >= simAccounts-4 {
					return 20, simTick
				}
				return 1, 600 * time.Millisecond
			}
			r.run(5 * time.Second)
			const span = 20 * time.Second
			r.run(span)
			small := 1.0
			for a := 3; a < simAccounts-4; a++ {
				small = min(small, float64(r.served[a])/float64(r.arrived[a]))
			}
			all, one := r.use(0, span)
			_, two := r.use(1, span)
			t.Logf("small accounts served %.3f, capacity used %.3f, large accounts %.3f and %.3f, over share %v", small, all, one, two, r.over)
			is.True(all >= 0.98)
			is.Equal(useShares, small >= 0.9)
			// The small accounts leave the three large ones 0.077 each. Without shares the one that
			// repeats gets 0.2.
			const share = (1 - 0.55*1.4) / 3
			is.Equal(useShares, one <= 1.5*share && two >= 0.8*share)
		})
	}
}
