package balance

import (
	"cmp"
	"time"
)

// LoadScorer prefers upstreams with a low corrected load relative to their
// capacity.
type LoadScorer struct{}

// Name implements Scorer.
func (LoadScorer) Name() string { return "load" }

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, u *Upstream, _ time.Time) float64 {
	return 1 / (1 + relativeLoad(u))
}

// ErrorScorer prefers upstreams with low error rates. An upstream that fails fast
// has a low load, which would otherwise attract requests.
type ErrorScorer struct{}

// Name implements Scorer.
func (ErrorScorer) Name() string { return "errors" }

// Score implements Scorer.
func (ErrorScorer) Score(_ *Request, u *Upstream, now time.Time) float64 {
	return 1 - u.errorRateAt(now)
}

// DefaultLatencyScaleMs is the default of LatencyScorer.ScaleMs.
const DefaultLatencyScaleMs = 500

// LatencyScorer prefers upstreams with a short time to the first token. This host
// measures that time itself, so unlike the load it doesn't depend on reports,
// which may be false or missing.
type LatencyScorer struct {
	// ScaleMs is the latency in milliseconds with the score 0.5; 0 means
	// DefaultLatencyScaleMs.
	ScaleMs float64
}

// Name implements Scorer.
func (LatencyScorer) Name() string { return "latency" }

// Score implements Scorer.
func (s LatencyScorer) Score(_ *Request, u *Upstream, _ time.Time) float64 {
	scale := cmp.Or(s.ScaleMs, DefaultLatencyScaleMs)
	return scale / (scale + u.LatencyMs)
}

// ZoneScorer prefers upstreams in the request's availability zone.
type ZoneScorer struct{}

// Name implements Scorer.
func (ZoneScorer) Name() string { return "zone" }

// Score implements Scorer.
func (ZoneScorer) Score(req *Request, u *Upstream, _ time.Time) float64 {
	if u.Zone == req.Zone {
		return 1
	}
	return 0
}
