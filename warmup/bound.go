package warmup

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
// seed that not all hosts name, and for requests sent before it was known that the
// upstream is cold.
const usedPart = 0.75

// Permitted is how many requests may reach a cold upstream in any second.
func (b Bound) Permitted() float64 { return max(1, b.Overrun)*b.Rate + b.Spare }

// Each is how many requests the holder of one root's lease may send in any Span.
func (b Bound) Each(roots int) int {
	return int(usedPart * b.Permitted() / float64(max(1, roots)))
}
