package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SessionScorer ranks the candidates by rendezvous hashing of the session ID, so
// that all entry hosts prefer the same upstream for a session without shared
// state.
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

// rendezvous returns the rendezvous hash of a key and a node. The node with the
// highest hash is selected for a key.
func rendezvous(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// unitInterval maps x to (0, 1] and preserves the order.
func unitInterval(x uint64) float64 {
	const bits = 53
	return float64(x>>(64-bits)+1) / (1 << bits)
}
