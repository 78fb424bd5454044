package ratelease

// Bound is what operators permit a cold upstream to be sent.
type Bound struct {
	// Rate is what one tolerates, in requests a second; 0 where the service has no
	// cold upstreams.
	Rate float64
	// Overrun times the rate, and Spare requests more, may reach one in any second.
	Overrun float64
	Spare   float64
}

// usedPart is the part of the permitted requests that is handed out. The rest is for a
// root that not all hosts name, and for requests sent before hosts knew of the bound.
const usedPart = 0.75

// Permitted is how many requests may reach a cold upstream in any second.
func (b Bound) Permitted() float64 { return max(1, b.Overrun)*b.Rate + b.Spare }

const (
	// maxColdParts bounds the parts that a root's requests for a cold upstream are split in:
	// a host among dozens has a few requests a second, of which an upstream suits some.
	maxColdParts = 4
	// leastPart is the least number of requests that is worth a part.
	leastPart = 2
)

// root is how many requests one root hands out for an upstream.
func (b Bound) root(roots int) int {
	return int(usedPart * b.Permitted() / float64(max(1, roots)))
}

// Parts is in how many parts a root splits what it hands out.
func (b Bound) Parts(roots int) int {
	return min(maxColdParts, max(1, b.root(roots)/leastPart))
}

// Each is how many requests the holder of a share may send in any Span.
func (b Bound) Each(s Share) int {
	if s.Of == 0 {
		return 0
	}
	return s.Parts * (b.root(s.Roots) / s.Of)
}
