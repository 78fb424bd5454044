package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Upstream is a snapshot of what this host knows of one upstream. Snapshots
// are shared and must not be changed.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	Kind    storage.HostKind
	// Name is the model pool's or service's name.
	Name string
	// Leaving says that the upstream takes no new work.
	Leaving bool
	// Versions are the loaded versions as "model@version", from its report.
	Versions []string
	// Reported is the upstream's last report, taken at ReportedAt; before the
	// first one both are zero.
	Reported   upstream.Load
	ReportedAt time.Time
	// Hosts is the number of entry hosts that send to the upstream; 0 means 1.
	Hosts int
	// InFlight is the number of this host's requests that are not yet ended.
	InFlight int
	// SentSinceReport is the part of InFlight begun after ReportedAt, which
	// the report can't contain.
	SentSinceReport int
	// ErrorRate is the decayed share of failed requests, from 0 to 1.
	ErrorRate float64
	// LatencyMs is the decayed mean time to the first token in milliseconds;
	// 0 without a measurement.
	LatencyMs float64
	// EjectedUntil is when an ejection ends; zero without one.
	EjectedUntil time.Time

	// outcomeAt is when ErrorRate was last changed.
	outcomeAt time.Time
}

// errorRateAt returns the error rate decayed to now.
func (u *Upstream) errorRateAt(now time.Time) float64 {
	if u.outcomeAt.IsZero() {
		return u.ErrorRate
	}
	return u.ErrorRate * math.Exp2(-float64(now.Sub(u.outcomeAt))/float64(errorHalfLife))
}

// Request is what the choice depends on.
type Request struct {
	// Model and Version are set for model requests, Service for others.
	Model   string
	Version string
	Service string
	// Zone is the availability zone of this host.
	Zone string
	// SessionID keeps a session's requests together; empty without a session.
	SessionID string
	// PrefixHashes are the prompt's block hashes from PrefixHashes.
	PrefixHashes []uint64
	// Exclude are the IDs of upstreams already tried.
	Exclude []string
}

// loadedVersion returns the name under which an engine reports the version.
func (r *Request) loadedVersion() string {
	return r.Model + "@" + r.Version
}

// Filter narrows the list of candidates.
type Filter interface {
	// Name identifies the filter in logs.
	Name() string
	// Filter returns the candidates that stay, in their order. It may reuse
	// the list's backing array.
	Filter(req *Request, list []*Upstream, now time.Time) []*Upstream
}

// Scorer values a candidate.
type Scorer interface {
	// Name identifies the scorer in logs.
	Name() string
	// Score returns a value from 0 (worst) to 1 (best).
	Score(req *Request, u *Upstream, now time.Time) float64
}

// Weighted is a scorer and its weight in the sum.
type Weighted struct {
	Scorer Scorer
	// Weight is at least 0.
	Weight float64
}

// Picker draws the sample of candidates that are scored.
type Picker interface {
	// Sample returns indexes below n, not necessarily distinct.
	Sample(n int, rnd *rand.Rand) []int
}

// DropCount is how many candidates a filter removed.
type DropCount struct {
	Filter string
	N      int
}

// Choice is the outcome of a selection.
type Choice struct {
	Upstream *Upstream
	// Among is the number of candidates that passed the filters.
	Among int
	// Dropped lists the filters that removed candidates, in their order.
	Dropped []DropCount
	// Score is the weighted score of the chosen upstream.
	Score float64
}

// Selector is a chain of filters, scorers and a picker.
type Selector struct {
	Filters []Filter
	// Affinity scorers look at every candidate. The best of each joins the
	// picker's sample unless Bound excludes it.
	Affinity []Weighted
	// Scorers look at the sample only.
	Scorers []Weighted
	Picker  Picker
	// Bound limits the load of upstreams that affinity prefers.
	Bound LoadBound
}

// Select chooses an upstream for req; ok is false when no candidate passes
// the filters. The choice is a function of its arguments; list isn't changed.
func (s *Selector) Select(req *Request, list []*Upstream, now time.Time, rnd *rand.Rand) (choice Choice, ok bool) {
	candidates := slices.Clone(list)
	for _, f := range s.Filters {
		before := len(candidates)
		candidates = f.Filter(req, candidates, now)
		if n := before - len(candidates); n > 0 {
			choice.Dropped = append(choice.Dropped, DropCount{Filter: f.Name(), N: n})
		}
	}
	choice.Among = len(candidates)
	if len(candidates) == 0 {
		return choice, false
	}
	sample := s.Picker.Sample(len(candidates), rnd)
	preferred := s.preferred(req, candidates, now)
	choice.Upstream, choice.Score = s.best(req, candidates, sample, preferred, now)
	return choice, true
}

// preference is a candidate that affinity adds to the sample.
type preference struct {
	index int
	bonus float64
}

// preferred returns the best candidate of each affinity scorer among those
// whose load is within the bound.
func (s *Selector) preferred(req *Request, candidates []*Upstream, now time.Time) []preference {
	var preferred []preference
	limit := s.Bound.limit(candidates)
	for _, w := range s.Affinity {
		i, score := bestAffinity(w.Scorer, req, candidates, limit, now)
		if i >= 0 {
			preferred = append(preferred, preference{index: i, bonus: w.Weight * score})
		}
	}
	return preferred
}

// bestAffinity returns the index and score of the least loaded candidate with the
// highest positive score and a load of at most limit, or -1.
func bestAffinity(scorer Scorer, req *Request, candidates []*Upstream, limit float64, now time.Time) (best int, bestScore float64) {
	best = -1
	for i, u := range candidates {
		score := scorer.Score(req, u, now)
		if score <= 0 || score < bestScore || relativeLoad(u) > limit {
			continue
		}
		if score == bestScore && relativeLoad(u) >= relativeLoad(candidates[best]) {
			continue
		}
		best, bestScore = i, score
	}
	return best, bestScore
}

// best returns the candidate with the highest weighted score among the sample
// and the preferred ones. An affinity scorer counts for its preferred
// candidate only.
func (s *Selector) best(req *Request, candidates []*Upstream, sample []int, preferred []preference, now time.Time) (*Upstream, float64) {
	var best *Upstream
	var bestScore float64
	consider := func(i int) {
		score := weightedSum(s.Scorers, req, candidates[i], now) + bonus(preferred, i)
		if best == nil || score > bestScore {
			best, bestScore = candidates[i], score
		}
	}
	for _, i := range sample {
		consider(i)
	}
	for _, p := range preferred {
		consider(p.index)
	}
	return best, bestScore
}

func bonus(preferred []preference, index int) float64 {
	sum := 0.0
	for _, p := range preferred {
		if p.index == index {
			sum += p.bonus
		}
	}
	return sum
}

func weightedSum(scorers []Weighted, req *Request, u *Upstream, now time.Time) float64 {
	sum := 0.0
	for _, w := range scorers {
		sum += w.Weight * w.Scorer.Score(req, u, now)
	}
	return sum
}
