package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SessionScorer ranks the candidates by rendezvous hashing of the session, so
// that every entry host prefers the same upstream for a session without
// shared state.
type SessionScorer struct{}

// Name implements Scorer.
func (SessionScorer) Name() string { return "session" }

// Score implements Scorer.
func (SessionScorer) Score(req *Request, u *Upstream, _ time.Time) float64 {
	if req.SessionID == "" {
		return 0
	}
	return unitInterval(rendezvous(req.SessionID, u.ID))
}

// rendezvous returns the weight of the pair; the highest of a key wins.
func rendezvous(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// unitInterval maps x to above 0 and at most 1, keeping the order.
func unitInterval(x uint64) float64 {
	const bits = 53
	return float64(x>>(64-bits)+1) / (1 << bits)
}
