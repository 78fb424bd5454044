package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// HalfLife is the time in which the weight of past use halves. It covers several rounds of
	// reports between hosts, and is shorter than most deadlines, so that an account whose load
	// returns to the usual is served as before within one retry.
	HalfLife = 2 * time.Second
	// unmetHalfLife is the half-life of engine time that was requested and not received. It is
	// shorter than HalfLife because callers whose requests were rejected either return, and request it
	// again, or don't want it any more, and longer than the age of the other hosts' reports.
	unmetHalfLife = time.Second
	// MaxReported is the number of accounts in a report, in addition to Rest. With 10 bytes for
	// each account, a report a second and its reply take less than 1 KB/s.
	MaxReported = 32
	// MaxAccounts is the number of accounts that a host counts one by one. A record takes about
	// 100 bytes.
	MaxAccounts = 1024
	// RefreshInterval is the minimum time between two computations of the shares, which visit all
	// accounts. Rates change by less than a tenth in that time, and requests are queued for
	// at most about that long.
	RefreshInterval = 250 * time.Millisecond
	// othersHold is the time for which the other hosts' use counts in full after its receipt: two
	// rounds of reports. Afterwards it decays like the host's own, so that the loss of the hub
	// causes no sudden change.
	othersHold = 2100 * time.Millisecond
	// overTolerance is the factor by which the engine time that an account received has to exceed
	// its share for the account to get over it. It is over its share until it received no more than
	// that: an account that is served after all others receives just its share, and without this
	// difference it would displace the others again each time.
	overTolerance = 1.1
	// endTolerance absorbs rounding errors in the comparison with the share.
	endTolerance = 1 + 1e-6
	// requestGain is the weight of a new request in the mean engine time of requests.
	requestGain = 0.02
	// unmetPart is the part of the rejected engine time that counts as requested: most callers repeat
	// a rejected request once, so that it arrives twice.
	unmetPart = 0.5
	// saturationMargin is the part of the received engine time by which the requested one has to
	// exceed it for the service to count as saturated. Below it, the difference may be due to the
	// requests that arrived but haven't been sent yet.
	saturationMargin = 0.05
	// minRate is the rate, in engine seconds a second, below which an account isn't recorded any
	// more. A single request of 150 ms that was sent falls below it after 18 s.
	minRate = 1e-4
	// maxRequestWork bounds the engine time of one request, which is computed from a number of
	// tokens that the caller stated.
	maxRequestWork = time.Minute
	// maxWeight bounds the weights and their inverses, so that their sums stay exact. With a weight of
	// 1e308 all shares were 0.
	maxWeight = 1000.0
	// maxRetryAfter bounds RetryAfter; returns are scheduled for the next 8 s.
	maxRetryAfter = 8 * time.Second
	// foldedFraction is the part of a full table that is counted under Rest at once, smallest
	// accounts first, so that growing accounts find room.
	foldedFraction = 8
)

// Ledger records the engine time of one service that client accounts requested and received. Times
// that are passed to its methods must not decrease.
type Ledger struct {
	own  map[AccountID]*record
	rest record
	// others holds the sums over the other hosts as of othersAt, without Rest, which is in
	// othersRest. smallestOther is the smallest claim in others.
	others        map[AccountID]AccountUse
	othersRest    AccountUse
	othersAt      time.Time
	smallestOther float64
	// targetWeights holds the weights that were set. weights holds those in effect where they
	// differ from 1; they approach the targets with HalfLife.
	targetWeights, weights map[AccountID]float64

	// requestRate is the decayed mean of what a request that was sent adds to the account's rate.
	requestRate float64

	// The fields below are the result of the last refresh.

	refreshedAt time.Time
	over        map[AccountID]Standing
	stats       Stats
}

// record holds an account's decayed rates at this host as of the time at. unmet is what it requested
// and wasn't sent, with a shorter half-life. It is negative for a while after a request was
// sent that had waited; over all hosts that cancels what the request added while it waited.
type record struct {
	received, unmet float64
	at              time.Time
}

// Standing holds the rates of an account over all hosts and its share, in engine seconds a second.
type Standing struct {
	AccountUse
	Share float64
}

// Stats describes the last division.
type Stats struct {
	// Accounts is the number of accounts that this host counts one by one. OverShare is the number
	// of accounts over their share.
	Accounts  int
	OverShare int
	// Received is the engine time that all accounts received, in seconds a second. LargestPart is
	// the fraction of it that the largest account received.
	Received    float64
	LargestPart float64
	// Saturated is set if accounts requested more engine time than they received.
	Saturated bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		own: make(map[AccountID]*record), others: make(map[AccountID]AccountUse),
		targetWeights: make(map[AccountID]float64), weights: make(map[AccountID]float64),
	}
}

// RecordDemand records that a request arrived that needs the engine time.
func (l *Ledger) RecordDemand(account AccountID, work time.Duration, now time.Time) {
	l.recordOf(account, now).unmet += rate(work, unmetHalfLife)
}

// RecordSent records that a request was sent to an engine. demand is what RecordDemand recorded for
// it, 0 if that was recorded as sent before; work is the engine time that it needs. They differ because
// parts of the prompt may be cached at the engine that was the most suitable one on arrival.
func (l *Ledger) RecordSent(account AccountID, demand, work time.Duration, now time.Time) {
	r, added := l.recordOf(account, now), rate(work, HalfLife)
	r.received += added
	r.unmet -= rate(demand, unmetHalfLife)
	if l.requestRate == 0 {
		l.requestRate = added
	}
	l.requestRate += requestGain * (added - l.requestRate)
}

// RecordNotRun takes back a RecordSent at the time sentAt, of a request that the engine didn't run.
func (l *Ledger) RecordNotRun(account AccountID, demand, work time.Duration, sentAt, now time.Time) {
	r, passed := l.recordOf(account, now), now.Sub(sentAt)
	r.received = max(0, r.received-rate(work, HalfLife)*decayFactor(passed, HalfLife))
	r.unmet += rate(demand, unmetHalfLife) * decayFactor(passed, unmetHalfLife)
}

// rate returns the contribution of a request to a rate that decays with the half-life. With a steady
// load the decayed sum of the contributions equals the engine time of a second's requests.
func rate(work, halfLife time.Duration) float64 {
	return min(maxRequestWork, max(0, work)).Seconds() * math.Ln2 / halfLife.Seconds()
}

// recordOf returns the account's record, decayed to the time. It returns the record of Rest if the
// table is full.
func (l *Ledger) recordOf(account AccountID, now time.Time) *record {
	l.refresh(now)
	r := l.own[account]
	switch {
	case r != nil:
	case account == Rest || len(l.own) >= MaxAccounts:
		r = &l.rest
	default:
		r = &record{at: now}
		l.own[account] = r
	}
	r.decay(now)
	return r
}

func (r *record) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.received, r.unmet, r.at = r.received*decayFactor(d, HalfLife), r.unmet*decayFactor(d, unmetHalfLife), now
	}
}

func decayFactor(d, halfLife time.Duration) float64 {
	return math.Exp2(-d.Seconds() / halfLife.Seconds())
}

func (r *record) use(account AccountID) AccountUse {
	return AccountUse{Account: account, Demand: max(0, r.received+unmetPart*r.unmet), Received: r.received}
}

func (r *record) claimed() float64 { return r.use(Rest).claimed() }

// Counts reports whether the account is counted by itself at this host.
func (l *Ledger) Counts(account AccountID) bool { return l.own[account] != nil }

// SetWeight sets the account's weight; 1 is the default. The share approaches the one for the new
// weight with HalfLife, so that an account isn't over its share at once for what it received under
// the former weight. A weight that isn't a positive number counts as 1, and others are bounded to
// 1/maxWeight to maxWeight. At most MaxAccounts accounts can have a weight other than 1.
func (l *Ledger) SetWeight(account AccountID, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	weight = min(maxWeight, max(1/maxWeight, weight))
	_, known := l.targetWeights[account]
	switch {
	case weight == 1:
		delete(l.targetWeights, account)
	case known || len(l.targetWeights) < MaxAccounts:
		l.targetWeights[account] = weight
	}
}

func (l *Ledger) weight(account AccountID) float64 {
	if w, ok := l.weights[account]; ok {
		return w
	}
	return 1
}

// approachWeights moves the weights in effect toward those that were set, for the time that
// passed.
func (l *Ledger) approachWeights(passed time.Duration) {
	part := 1 - decayFactor(passed, HalfLife)
	for account := range l.targetWeights {
		if _, ok := l.weights[account]; !ok {
			l.weights[account] = 1
		}
	}
	const negligible = 1e-3
	for account, w := range l.weights {
		target, set := l.targetWeights[account]
		if !set {
			target = 1
		}
		w += part * (target - w)
		l.weights[account] = w
		if !set && math.Abs(w-1) < negligible {
			delete(l.weights, account)
		}
	}
}

// Report returns the use of the largest accounts at this host, at most MaxReported of them, and of
// Rest. It is empty if there was no use lately.
func (l *Ledger) Report(now time.Time) []AccountUse {
	l.refresh(now)
	list := make([]AccountUse, 0, len(l.own)+1)
	for account, r := range l.own {
		r.decay(now)
		list = append(list, r.use(account))
	}
	l.rest.decay(now)
	return Largest(append(list, l.rest.use(Rest)), MaxReported)
}

// SetOthers sets the sums over the other hosts' reports. Entries that aren't valid are ignored.
func (l *Ledger) SetOthers(list []AccountUse, now time.Time) {
	valid := make([]AccountUse, 0, len(list))
	for _, u := range list {
		if u, ok := u.Valid(); ok {
			valid = append(valid, u)
		}
	}
	clear(l.others)
	l.othersRest, l.othersAt, l.smallestOther = AccountUse{Account: Rest}, now, maxRate
	for _, u := range Largest(valid, MaxAccounts) {
		if u.Account == Rest {
			l.othersRest.Add(u)
			continue
		}
		sum := l.others[u.Account]
		sum.Account = u.Account
		sum.Add(u)
		l.others[u.Account] = sum
	}
	for _, u := range l.others {
		l.smallestOther = min(l.smallestOther, u.claimed())
	}
}

// OverShare reports whether the account received more than its share over all hosts, by more than
// a tenth and by more than one request, and hasn't returned to its share since. It is false for
// accounts that are counted under Rest, and for all accounts while the service isn't saturated.
func (l *Ledger) OverShare(account AccountID, now time.Time) bool {
	l.refresh(now)
	_, over := l.over[account]
	return over
}

// RetryAfter returns the time after which the account is within its share if it receives nothing
// meanwhile; 0 if it is now.
func (l *Ledger) RetryAfter(account AccountID, now time.Time) time.Duration {
	l.refresh(now)
	s, over := l.over[account]
	if !over {
		return 0
	}
	halvings := math.Log2(s.Received / s.Share)
	if !(halvings*HalfLife.Seconds() < maxRetryAfter.Seconds()) {
		return maxRetryAfter
	}
	return max(0, time.Duration(halvings*float64(HalfLife))-now.Sub(l.refreshedAt))
}

// Over returns the accounts over their share. The result must not be modified.
func (l *Ledger) Over(now time.Time) map[AccountID]Standing {
	l.refresh(now)
	return l.over
}

// Stats returns the figures of the division.
func (l *Ledger) Stats(now time.Time) Stats {
	l.refresh(now)
	return l.stats
}

// refresh computes the shares again unless that was done within RefreshInterval. All accounts are
// compared as of the same time: rates of different times would differ by more than overTolerance
// when the load rises quickly.
func (l *Ledger) refresh(now time.Time) {
	passed := now.Sub(l.refreshedAt)
	if !l.refreshedAt.IsZero() && passed < RefreshInterval {
		return
	}
	l.refreshedAt = now
	l.approachWeights(passed)
	if l.rest.decay(now); l.rest.claimed() < minRate {
		l.rest = record{at: now}
	}
	for account, r := range l.own {
		r.decay(now)
		if r.claimed() < minRate {
			delete(l.own, account)
		}
	}
	l.foldSmallest()
	l.divide(l.sums(now))
}

// foldSmallest counts the smallest accounts of a full table under Rest.
func (l *Ledger) foldSmallest() {
	if len(l.own) < MaxAccounts {
		return
	}
	claims := make([]float64, 0, len(l.own))
	for _, r := range l.own {
		claims = append(claims, r.claimed())
	}
	slices.Sort(claims)
	folded, bound := 0, claims[MaxAccounts/foldedFraction]
	for account, r := range l.own {
		if r.claimed() > bound || folded == MaxAccounts/foldedFraction {
			continue
		}
		folded++
		l.rest.received += r.received
		l.rest.unmet += r.unmet
		delete(l.own, account)
	}
}

// sums returns the use of the accounts over all hosts, and that of Rest.
func (l *Ledger) sums(now time.Time) (list []AccountUse, rest AccountUse) {
	factor := 1.0
	if age := now.Sub(l.othersAt); age > othersHold {
		factor = decayFactor(age-othersHold, HalfLife)
	}
	rest = l.rest.use(Rest)
	rest.Add(l.othersRest.scaled(factor))
	for account, r := range l.own {
		u := r.use(account)
		other, ok := l.others[account]
		// If the others report the account under Rest, its rates are unknown. It is smaller than
		// those that they report.
		if !ok && l.othersRest.claimed() > 0 && u.claimed() < factor*l.smallestOther {
			rest.Add(u)
			continue
		}
		u.Add(other.scaled(factor))
		list = append(list, u)
	}
	for account, other := range l.others {
		if u := other.scaled(factor); l.own[account] == nil && u.claimed() >= minRate {
			list = append(list, u)
		}
	}
	return list, rest
}

func (u AccountUse) scaled(factor float64) AccountUse {
	u.Demand, u.Received = factor*u.Demand, factor*u.Received
	return u
}

// divide computes the shares of the accounts, and those of them that are over theirs. What all
// accounts received is the capacity.
func (l *Ledger) divide(list []AccountUse, rest AccountUse) {
	wasOver := l.over
	l.over = make(map[AccountID]Standing)
	l.stats = Stats{Accounts: len(l.own)}
	requested, largest, smallest := rest.claimed(), 0.0, math.Inf(1)
	l.stats.Received = rest.Received
	claims := make([]Claim, 0, len(list)+1)
	for _, u := range list {
		c := Claim{Demand: u.claimed(), Weight: l.weight(u.Account)}
		claims = append(claims, c)
		requested += c.Demand
		l.stats.Received += u.Received
		largest = max(largest, u.Received)
		if c.Demand > 0 {
			smallest = min(smallest, c.Demand/c.Weight)
		}
	}
	if l.stats.Received < minRate {
		return
	}
	l.stats.LargestPart = largest / l.stats.Received
	if l.stats.Saturated = requested > (1+saturationMargin)*l.stats.Received; !l.stats.Saturated {
		return
	}
	// The number of accounts in Rest over all hosts is unknown. They count as if each were as large
	// as the smallest account that is counted by itself, which is the smallest number possible.
	if rest.claimed() > 0 && !math.IsInf(smallest, 1) {
		claims = append(claims, Claim{Demand: rest.claimed(), Weight: rest.claimed() / smallest})
	}
	level := Level(l.stats.Received, claims)
	for i, u := range list {
		share := min(claims[i].Demand, claims[i].Weight*level)
		// A single request can exceed the share of a small account.
		bound := max(overTolerance*share, share+l.requestRate)
		if _, ok := wasOver[u.Account]; ok {
			bound = endTolerance * share
		}
		if u.Received > bound {
			l.over[u.Account] = Standing{AccountUse: u, Share: share}
		}
	}
	l.stats.OverShare = len(l.over)
}
