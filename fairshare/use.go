package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// AccountID identifies a client account by a hash of its name. Two accounts with the same hash
// count as one: they have one share together.
type AccountID uint32

// Rest stands for all accounts that aren't counted one by one. An account whose hash is Rest is
// counted among them.
const Rest AccountID = 0

// AccountUse holds how much engine time an account requested and received, as decayed rates in
// seconds of engine time for each second. Demand is what it received, with HalfLife, and a part of
// what it requested and didn't receive, with a shorter half-life. It can be below Received for a
// while after requests were sent that had waited.
type AccountUse struct {
	Account  AccountID
	Demand   float64
	Received float64
}

// maxRate bounds the rates that another host may report. It is far above the engine time of 12,000
// engines, so that a wrong report can't make sums overflow.
const maxRate = 1e6

// Valid returns the use with its rates bounded. ok is false if a rate isn't a number or is
// negative.
func (u AccountUse) Valid() (valid AccountUse, ok bool) {
	if !(u.Demand >= 0) || !(u.Received >= 0) || math.IsInf(u.Demand, 1) || math.IsInf(u.Received, 1) {
		return AccountUse{}, false
	}
	u.Demand, u.Received = min(maxRate, u.Demand), min(maxRate, u.Received)
	return u, true
}

// Add adds the rates of the same account at other hosts.
func (u *AccountUse) Add(o AccountUse) {
	u.Demand += o.Demand
	u.Received += o.Received
}

// claimed returns the rate that the account claims. What it received counts as requested, because
// further attempts of a request are sent without a new arrival.
func (u AccountUse) claimed() float64 { return max(u.Demand, u.Received) }

// Largest returns the accounts with the largest claims, at most n of them, in descending order. The
// others are added up in an entry for Rest at the end, which is left out if there are none.
func Largest(list []AccountUse, n int) []AccountUse {
	rest := AccountUse{Account: Rest}
	largest := make([]AccountUse, 0, len(list)+1)
	for _, u := range list {
		if u.Account == Rest {
			rest.Add(u)
		} else {
			largest = append(largest, u)
		}
	}
	slices.SortFunc(largest, func(a, b AccountUse) int {
		return cmp.Or(cmp.Compare(b.claimed(), a.claimed()), cmp.Compare(a.Account, b.Account))
	})
	n = min(n, len(largest))
	for _, u := range largest[n:] {
		rest.Add(u)
	}
	largest = largest[:n]
	if rest.claimed() > 0 {
		largest = append(largest, rest)
	}
	return largest
}
