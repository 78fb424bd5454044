package balance

import "cmp"

// unreportedCapacity is the capacity assumed for an upstream that hasn't
// reported any, such as a plain service before its first report.
const unreportedCapacity = 16

// minPlausibleFraction is the lower limit of an upstream's load, as a fraction
// of the load extrapolated from this host's requests in flight to all hosts.
const minPlausibleFraction = 0.5

// CorrectedLoad estimates the number of requests at an upstream: the number in
// its last report plus the requests that this host sent since. Because the
// hosts share the traffic evenly, the product of this host's requests in flight
// and the number of hosts is another estimate. Half of the product is a lower
// limit of the result, so that a report that is too low reduces the result at
// most to this limit.
func CorrectedLoad(u *Upstream) int {
	reported := u.Reported.Running + u.Reported.Queued + u.SentSinceReport
	expected := float64(u.InFlight*max(1, u.Hosts)) * minPlausibleFraction
	return max(reported, u.InFlight, int(expected))
}

// capacity returns the reported capacity, or unreportedCapacity without one.
func capacity(u *Upstream) float64 {
	if u.Reported.Capacity > 0 {
		return float64(u.Reported.Capacity)
	}
	return unreportedCapacity
}

// relativeLoad returns the corrected load in multiples of the capacity.
func relativeLoad(u *Upstream) float64 {
	return float64(CorrectedLoad(u)) / capacity(u)
}

// Defaults of LoadBound.
const (
	DefaultBoundFactor = 1.5
	DefaultBoundSlack  = 0.25
)

// LoadBound is the load up to which affinity may select an upstream: the mean
// load of the candidates times Factor, plus Slack, as in consistent hashing with
// bounded loads. Loads are in multiples of each upstream's capacity.
type LoadBound struct {
	// Factor multiplies the mean load; 0 means DefaultBoundFactor.
	Factor float64
	// Slack is added to the product; 0 means DefaultBoundSlack. It keeps
	// affinity effective when all upstreams are nearly idle.
	Slack float64
}

// limit returns the highest relative load at which affinity may select one of
// the candidates.
func (b LoadBound) limit(candidates []*Upstream) float64 {
	factor := cmp.Or(b.Factor, DefaultBoundFactor)
	slack := cmp.Or(b.Slack, DefaultBoundSlack)
	sum := 0.0
	for _, u := range candidates {
		sum += relativeLoad(u)
	}
	return factor*sum/float64(len(candidates)) + slack
}
