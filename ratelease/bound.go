package ratelease

// ColdBound is the load that operators permit for a cold upstream.
type ColdBound struct {
	// Rate is the rate that one cold upstream tolerates, in requests a second; 0 if the service
	// has no cold upstreams.
	Rate float64
	// At most Overrun*Rate + Headroom requests may reach a cold upstream in any second.
	Overrun  float64
	Headroom float64
}

// allocatedFraction is the fraction of the permitted requests that is leased. The rest covers a
// root hub that not all hosts have in their settings, and requests sent before hosts had
// received the ColdBound of the upstream's service.
const allocatedFraction = 0.75

// Permitted returns how many requests may reach a cold upstream in any second.
func (b ColdBound) Permitted() float64 { return max(1, b.Overrun)*b.Rate + b.Headroom }

const (
	// maxColdParts is the maximum number of parts that a root's requests for a cold upstream are
	// split into. A host among dozens receives only a few requests a second, of which any one
	// upstream can serve only some.
	maxColdParts = 4
	// minPartRequests is the minimum number of requests in a part, unless the root has fewer.
	minPartRequests = 2
)

// rootBudget returns how many requests for an upstream one of the roots leases.
func (b ColdBound) rootBudget(roots int) int {
	return int(allocatedFraction * b.Permitted() / float64(max(1, roots)))
}

// Parts returns the number of parts that a root splits its requests into.
func (b ColdBound) Parts(roots int) int {
	return min(maxColdParts, max(1, b.rootBudget(roots)/minPartRequests))
}

// RequestsPerSpan returns how many requests the holder of the share may send in any WindowSpan.
func (b ColdBound) RequestsPerSpan(s Share) int {
	if s.PartsPerRoot == 0 {
		return 0
	}
	return s.Parts * (b.rootBudget(s.Roots) / s.PartsPerRoot)
}
