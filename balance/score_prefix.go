package balance

import "time"

// PrefixMatcher estimates how many leading blocks of a prompt an upstream has
// in its cache.
type PrefixMatcher interface {
	// Match returns the number of cached leading blocks, from 0 to len(hashes).
	// Blocks that are probably but not certainly cached may count as fractions.
	Match(upstreamID string, hashes []uint64) float64
}

// PrefixScorer prefers upstreams whose prefix cache contains the longest prefix
// of the prompt.
type PrefixScorer struct {
	Matcher PrefixMatcher
}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Score implements Scorer.
func (s PrefixScorer) Score(req *Request, u *Upstream, _ time.Time) float64 {
	if len(req.PrefixHashes) == 0 {
		return 0
	}
	return s.Matcher.Match(u.ID, req.PrefixHashes) / float64(len(req.PrefixHashes))
}
