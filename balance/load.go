package balance

import "cmp"

// unreportedCapacity is assumed for an upstream that reports no capacity,
// such as a plain service before its first report.
const unreportedCapacity = 16

// plausibleShare is the part of the load expected from the own requests in
// flight below which a report isn't believed.
const plausibleShare = 0.5

// CorrectedLoad estimates how many requests an upstream holds now: its last
// report plus what this host sent since. As hosts share the traffic evenly,
// the own requests in flight times the number of hosts are an estimate too;
// half of that is the lower bound, which limits how far a false report leads.
func CorrectedLoad(u *Upstream) int {
	reported := u.Reported.Running + u.Reported.Queued + u.SentSinceReport
	expected := float64(u.InFlight*max(1, u.Hosts)) * plausibleShare
	return max(reported, u.InFlight, int(expected))
}

// capacity returns the reported capacity or an assumed one.
func capacity(u *Upstream) float64 {
	if u.Reported.Capacity > 0 {
		return float64(u.Reported.Capacity)
	}
	return unreportedCapacity
}

// relativeLoad is the corrected load in multiples of the capacity.
func relativeLoad(u *Upstream) float64 {
	return float64(CorrectedLoad(u)) / capacity(u)
}

// Defaults of LoadBound.
const (
	DefaultBoundFactor = 1.5
	DefaultBoundSlack  = 0.25
)

// LoadBound is the limit up to which affinity may load an upstream, relative
// to the mean of the candidates, as in consistent hashing with bounded loads.
type LoadBound struct {
	// Factor multiplies the mean load; 0 means DefaultBoundFactor.
	Factor float64
	// Slack is added, in multiples of the capacity; 0 means
	// DefaultBoundSlack. It lets affinity work while all are nearly idle.
	Slack float64
}

// limit returns the highest relative load that affinity may choose.
func (b LoadBound) limit(candidates []*Upstream) float64 {
	factor := cmp.Or(b.Factor, DefaultBoundFactor)
	slack := cmp.Or(b.Slack, DefaultBoundSlack)
	sum := 0.0
	for _, u := range candidates {
		sum += relativeLoad(u)
	}
	return factor*sum/float64(len(candidates)) + slack
}
