package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// use returns the use of an account, in engine seconds a second.
func use(account AccountID, demand, received float64) AccountUse {
	return AccountUse{Account: account, Demand: demand, Received: received}
}

// apply records a steady load of one host for the duration, with requests each 50 ms.
func apply(l *Ledger, from time.Time, d time.Duration, loads ...AccountUse) time.Time {
	const step = 50 * time.Millisecond
	work := func(rate float64) time.Duration { return time.Duration(rate * float64(step)) }
	for end := from.Add(d); from.Before(end); from = from.Add(step) {
		for _, u := range loads {
			l.RecordDemand(u.Account, work(u.Demand), from)
			l.RecordSent(u.Account, work(u.Received), work(u.Received), from)
		}
	}
	return from
}

// Whatever hosts report, an account that received no more than its share isn't over it, not all
// accounts are over theirs at once, and nobody is while all requests are sent.
func TestNobodyUnderTheShareIsOverIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLedger(), start
		rate := rapid.OneOf(rapid.Float64Range(0, 10), rapid.SampledFrom([]float64{0, 1, -1, math.NaN(), math.Inf(1), math.MaxFloat64}))
		account := rapid.Uint32Range(0, 60)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"use": func(t *rapid.T) {
				u := use(AccountID(account.Draw(t, "account")), rapid.Float64Range(0, 100).Draw(t, "demand"), rapid.Float64Range(0, 100).Draw(t, "received"))
				l.RecordDemand(u.Account, time.Duration(u.Demand*float64(time.Second)), now)
				l.RecordSent(u.Account, time.Duration(u.Received*float64(time.Second)), time.Duration(u.Received*float64(time.Second)), now)
			},
			"others": func(t *rapid.T) {
				list := make([]AccountUse, rapid.IntRange(0, 40).Draw(t, "n"))
				for i := range list {
					list[i] = use(AccountID(account.Draw(t, "account")), rate.Draw(t, "demand"), rate.Draw(t, "received"))
				}
				l.SetOthers(list, now)
			},
			"weight": func(t *rapid.T) { l.SetWeight(AccountID(account.Draw(t, "account")), rate.Draw(t, "weight")) },
			"": func(t *rapid.T) {
				now = now.Add(RefreshInterval)
				over := l.Over(now)
				list, rest := l.sums(l.refreshedAt)
				if len(over) > 0 && (!l.stats.Saturated || len(over) == len(list) && rest.claimed() == 0) {
					t.Fatalf("%d of %d accounts are over their share: %+v", len(over), len(list), l.stats)
				}
				for id, s := range over {
					if !(s.Received > s.Share) || !(l.RetryAfter(id, now) >= 0) || l.RetryAfter(id, now) > maxRetryAfter {
						t.Fatalf("%+v, retry after %v", s, l.RetryAfter(id, now))
					}
				}
			},
		})
	})
}

// The other hosts' use stays in effect for a while after the hub was lost and then fades; finally
// the host divides its own use, by which the account isn't over its share.
func TestHubIsLost(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.SetOthers([]AccountUse{use(1, 90, 60), use(2, 20, 10)}, start)
	now := apply(l, start, time.Second, use(1, 1, 1), use(2, 1, 1))
	is.True(l.OverShare(1, now))
	wait := l.RetryAfter(1, now)
	is.True(wait > 0 && wait <= maxRetryAfter)
	received := l.Stats(now).Received
	for range 200 {
		now = apply(l, now, 50*time.Millisecond, use(1, 1, 1), use(2, 1, 1))
		current := l.Stats(now).Received
		is.True(current > 0.9*received) // no sudden change
		received = current
	}
	now = apply(l, now, 20*time.Second, use(1, 1, 1), use(2, 1, 1))
	is.True(!l.OverShare(1, now))
	is.True(l.RetryAfter(1, now) == 0)
}

// A host that starts, and others that die, change the sums of all accounts alike: nobody else gets
// over the share.
func TestHostsJoinAndDie(t *testing.T) {
	is := is.New(t)
	l, now := NewLedger(), start
	others := []AccountUse{use(1, 90, 40), use(2, 20, 20), use(3, 20, 20)}
	for hosts := range 30 {
		part := 1 - float64(hosts%10)/10 // up to nine tenths of the hosts are gone
		list := make([]AccountUse, len(others))
		for i, u := range others {
			list[i] = u.scaled(part)
		}
		l.SetOthers(list, now)
		now = apply(l, now, time.Second, use(1, 1, 0.5), use(2, 0.2, 0.2), use(3, 0.2, 0.2))
		is.True(!l.OverShare(2, now) && !l.OverShare(3, now))
		is.Equal(l.OverShare(1, now), false) // it receives just what the others leave
	}
}

// Wrong numbers from another host are left out or bounded, and the rest of its report counts.
func TestWrongNumbersFromAnotherHost(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.SetOthers([]AccountUse{
		use(1, math.NaN(), 1), use(2, 1, -1), use(3, math.Inf(1), 1), use(4, math.MaxFloat64, math.MaxFloat64), use(5, 3, 2), use(5, 1, 1),
	}, start)
	is.Equal(l.others, map[AccountID]AccountUse{4: use(4, maxRate, maxRate), 5: use(5, 4, 3)})
	is.True(!l.OverShare(5, start))
	l.SetOthers(nil, start) // the next report is right
	now := apply(l, start, time.Second, use(5, 1, 1))
	is.Equal(l.Stats(now).Accounts, 1)
	is.Equal(l.Stats(now).LargestPart, 1.0)

	l.RecordDemand(5, math.MaxInt64, now) // callers state the number of tokens
	l.RecordDemand(5, math.MinInt64, now)
	is.True(l.Report(now)[0].Demand <= rate(maxRequestWork, unmetHalfLife)+1)
}

// 10,000 accounts with one request each fill the table. They are counted together, none of them is
// over its share, and a large account is counted by itself although it comes last.
func TestTableIsFull(t *testing.T) {
	is := is.New(t)
	l, now := NewLedger(), start
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		l.RecordDemand(AccountID(i+1), 10*time.Millisecond, now)
		if i%2 == 0 {
			l.RecordSent(AccountID(i+1), 10*time.Millisecond, 10*time.Millisecond, now)
		}
		is.True(len(l.own) <= MaxAccounts)
	}
	is.Equal(l.Stats(now).OverShare, 0)
	report := l.Report(now)
	is.Equal(len(report), MaxReported+1)
	is.Equal(report[MaxReported].Account, Rest)
	is.True(report[MaxReported].Demand > 3) // of 10 engine seconds a second
	const large = 99_999
	now = apply(l, now, 2*time.Second, use(large, 30, 10))
	is.True(l.Counts(large))
	is.Equal(l.Report(now)[0].Account, AccountID(large))
	for i := range 10_000 {
		is.True(!l.OverShare(AccountID(i+1), now))
	}
	now = now.Add(time.Minute)
	is.Equal(len(l.Report(now)), 0) // nothing is kept of past use
	is.Equal(l.Stats(now), Stats{})
}

// A hundred equal accounts, of which others report only 32 by themselves, are equal still: none is
// over its share.
func TestMoreEqualAccountsThanAReportHolds(t *testing.T) {
	is := is.New(t)
	l, now := NewLedger(), start
	var all []AccountUse
	for i := range 100 {
		all = append(all, use(AccountID(i+1), 1.3, 1))
	}
	for range 10 {
		l.SetOthers(Largest(all, MaxReported), now)
		for i := range all {
			now = apply(l, now, 10*time.Millisecond, use(AccountID(i+1), 0.26, 0.2))
		}
		is.True(l.Stats(now).Saturated)
		is.Equal(l.Stats(now).OverShare, 0)
	}
}

// An account whose weight is halved isn't over its share at once, and is in time. A second change
// back has no lasting effect.
func TestWeightChanges(t *testing.T) {
	is := is.New(t)
	l, now := NewLedger(), start
	equal := []AccountUse{use(1, 2, 1), use(2, 2, 1)}
	l.SetWeight(1, math.NaN()) // counts as 1
	l.SetWeight(3, math.MaxFloat64)
	is.Equal(l.targetWeights, map[AccountID]float64{3: maxWeight}) // the others' shares stay exact
	l.SetWeight(3, 1)
	now = apply(l, now, 10*time.Second, equal...)
	is.Equal(l.Stats(now).OverShare, 0)
	l.SetWeight(1, 0.5)
	is.True(!l.OverShare(1, now.Add(RefreshInterval)))
	now = apply(l, now, 10*time.Second, equal...)
	is.True(l.OverShare(1, now) && !l.OverShare(2, now))
	l.SetWeight(1, 1)
	now = apply(l, now, 40*time.Second, equal...)
	is.Equal(len(l.weights), 0)
	is.Equal(l.Stats(now).OverShare, 0)
}

// An account whose key is removed sends nothing more. Its use fades, and the others keep what they
// have.
func TestAccountIsRemoved(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	var before, others []AccountUse
	for id := AccountID(2); id < 10; id++ {
		before, others = append(before, use(id, 1, 0.9)), append(others, use(id, 1, 1))
	}
	now := apply(l, start, 5*time.Second, append(before, use(1, 5, 3))...)
	is.True(l.OverShare(1, now))
	for range 160 {
		now = apply(l, now, 250*time.Millisecond, others...)
		is.True(l.Stats(now).OverShare == 0 || l.OverShare(1, now) && l.Stats(now).OverShare == 1)
	}
	is.True(!l.OverShare(1, now) && !l.Counts(1))
}

// An account that receives 4 of 10 engine seconds a second, and each of whose requests is first sent to
// an engine that rejects it, must not count as over its share of 5: rejected attempts aren't received.
func TestRejectedAttemptsAreNotReceived(t *testing.T) {
	is := is.New(t)
	l, now := NewLedger(), start
	for range 800 {
		sentAt := now.Add(15 * time.Millisecond)
		now = now.Add(25 * time.Millisecond)
		l.RecordDemand(1, 100*time.Millisecond, sentAt)
		l.RecordSent(1, 100*time.Millisecond, 100*time.Millisecond, sentAt)
		l.RecordNotRun(1, 100*time.Millisecond, 100*time.Millisecond, sentAt, now)
		l.RecordSent(1, 100*time.Millisecond, 100*time.Millisecond, now)
		l.RecordDemand(2, 600*time.Millisecond, now)
		l.RecordSent(2, 150*time.Millisecond, 150*time.Millisecond, now)
		is.True(!l.OverShare(1, now))
	}
	is.True(l.Stats(now).Saturated)
	is.True(math.Abs(l.Stats(now).Received-10) < 0.5)
}

// A request may need more or less engine time at the engine that it is sent to than was expected on its
// arrival. The difference must neither hide what wasn't sent, so that no account is ever over its share,
// nor make a service saturated that sends all requests.
func TestEngineTimeDiffersFromTheEstimateOnArrival(t *testing.T) {
	for _, estimate := range []time.Duration{60 * time.Millisecond, 130 * time.Millisecond} {
		for _, rejected := range []int{0, 3} {
			is := is.New(t)
			l, now := NewLedger(), start
			for i := range 400 {
				now = now.Add(10 * time.Millisecond)
				for n := range 10 {
					account := AccountID(max(1, n-5)) // 1 has seven of ten requests, 2 to 4 one each
					l.RecordDemand(account, estimate, now)
					if (i+n)%10 >= rejected {
						l.RecordSent(account, estimate, 100*time.Millisecond, now)
					}
				}
				if i > 200 {
					is.Equal(l.Stats(now).Saturated, rejected > 0)
					is.Equal(l.OverShare(1, now), rejected > 0)
				}
			}
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, accounts := range []int{24, MaxAccounts} {
		b.Run(fmt.Sprint(accounts, " accounts"), func(b *testing.B) {
			l, now := NewLedger(), start
			for i := range b.N {
				id := AccountID(i%accounts + 1)
				now = now.Add(6 * time.Millisecond) // 160 requests a second
				l.RecordDemand(id, simWork, now)
				l.OverShare(id, now)
				l.RecordSent(id, simWork, simWork, now)
			}
		})
	}
}
