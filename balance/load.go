package balance

// unreportedCapacity is assumed for an upstream that reports no capacity,
// such as a plain service before its first report.
const unreportedCapacity = 16

// CorrectedLoad estimates how many requests an upstream holds now: its last
// report plus what this host sent since, and never less than what this host
// has in flight there. The lower bound limits how far a false report leads.
func CorrectedLoad(u *Upstream) int {
	reported := u.Reported.Running + u.Reported.Queued + u.SentSinceReport
	return max(reported, u.InFlight)
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
	DefaultBoundFactor = 1.25
	DefaultBoundSlack  = 0.1
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
	factor, slack := b.Factor, b.Slack
	if factor == 0 {
		factor = DefaultBoundFactor
	}
	if slack == 0 {
		slack = DefaultBoundSlack
	}
	sum := 0.0
	for _, u := range candidates {
		sum += relativeLoad(u)
	}
	return factor*sum/float64(len(candidates)) + slack
}
