package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Upstream is a snapshot of what this host stores about one upstream. Snapshots
// are shared between goroutines and must not be changed.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	Kind    storage.HostKind
	// Name is the name of the engine's model pool or of the upstream's service.
	Name string
	// Leaving reports whether the upstream drains: it takes no new requests.
	Leaving bool
	// Backoff is the time for which the upstream accepts no requests of this host.
	Backoff notice.Backoff
	// Versions are the loaded model versions as "model@version", from the
	// upstream's last report that lists them.
	Versions []string
	// Reported is the upstream's last load report, as of ReportedAt. Both are
	// zero before the first report.
	Reported   upstream.Load
	ReportedAt time.Time
	// Hosts is the number of entry hosts that share the traffic; 0 means 1.
	Hosts int
	// InFlight is the number of this host's requests in flight.
	InFlight int
	// SentSinceReport is the number of this host's requests in flight that were
	// sent after ReportedAt and that the report therefore doesn't include.
	SentSinceReport int
	// ErrorRate is the decayed fraction of this host's requests that failed,
	// from 0 to 1, as of the last outcome.
	ErrorRate float64
	// LatencyMs is the moving average of the time to the first token of this
	// host's requests, in milliseconds. It is 0 without a measurement.
	LatencyMs float64
	// EjectedUntil is the end of the latest ejection. It is zero without an ejection.
	EjectedUntil time.Time

	// errorRateUpdatedAt is the time of the last outcome. It is zero before
	// the first outcome.
	errorRateUpdatedAt time.Time
}

// errorRateAt returns the error rate decayed to now.
func (u *Upstream) errorRateAt(now time.Time) float64 {
	if u.errorRateUpdatedAt.IsZero() {
		return u.ErrorRate
	}
	return u.ErrorRate * math.Exp2(-float64(now.Sub(u.errorRateUpdatedAt))/float64(errorHalfLife))
}

// Request describes a request for which an upstream is selected.
type Request struct {
	// Model and Version are set for model requests, Service for others.
	Model   string
	Version string
	Service string
	// Zone is the availability zone of this host.
	Zone string
	// SessionID identifies the session, whose requests prefer the same
	// upstream. It is empty without a session.
	SessionID string
	// PrefixHashes are the block hashes of the prompt, as returned by the
	// function PrefixHashes.
	PrefixHashes []uint64
	// Exclude lists the IDs of upstreams that aren't selected because the
	// request was already sent to them.
	Exclude []string
}

// requestedVersion returns the requested model version in the format in which
// engines report their loaded versions.
func (r *Request) requestedVersion() string {
	return r.Model + "@" + r.Version
}

// Filter removes unsuitable candidates.
type Filter interface {
	// Name identifies the filter in logs.
	Name() string
	// Filter returns the remaining candidates in their order. It may reuse
	// the list's backing array.
	Filter(req *Request, list []*Upstream, now time.Time) []*Upstream
}

// Scorer rates a candidate.
type Scorer interface {
	// Name identifies the scorer in logs.
	Name() string
	// Score returns a value from 0 (worst) to 1 (best).
	Score(req *Request, u *Upstream, now time.Time) float64
}

// WeightedScorer is a scorer and its weight in the total score.
type WeightedScorer struct {
	Scorer Scorer
	// Weight is at least 0.
	Weight float64
}

// Picker draws the sample of candidates that are scored.
type Picker interface {
	// Sample returns indexes below n, not necessarily distinct.
	Sample(n int, rnd *rand.Rand) []int
}

// DropCount is the number of candidates that a filter removed.
type DropCount struct {
	Filter string
	Count  int
}

// Choice is the result of a selection.
type Choice struct {
	Upstream *Upstream
	// Eligible is the number of candidates that passed the filters.
	Eligible int
	// Dropped lists the filters that removed candidates, in the order of the
	// chain.
	Dropped []DropCount
	// Score is the weighted score of the chosen upstream.
	Score float64
}

// Selector is a chain of filters, scorers and a picker.
type Selector struct {
	Filters []Filter
	// AffinityScorers rate every candidate. For each scorer, the best among the
	// candidates whose load is within AffinityBound is added to the picker's
	// sample.
	AffinityScorers []WeightedScorer
	// Scorers rate the candidates in the picker's sample, including those that
	// affinity scorers added.
	Scorers []WeightedScorer
	Picker  Picker
	// AffinityBound is the maximum load of candidates that affinity scorers add.
	AffinityBound LoadBound
}

// Select selects an upstream for req; ok is false if no candidate passes the
// filters. The result depends only on the arguments; list isn't changed.
func (s *Selector) Select(req *Request, list []*Upstream, now time.Time, rnd *rand.Rand) (choice Choice, ok bool) {
	candidates := slices.Clone(list)
	for _, f := range s.Filters {
		before := len(candidates)
		candidates = f.Filter(req, candidates, now)
		if n := before - len(candidates); n > 0 {
			choice.Dropped = append(choice.Dropped, DropCount{Filter: f.Name(), Count: n})
		}
	}
	choice.Eligible = len(candidates)
	if len(candidates) == 0 {
		return choice, false
	}
	sample := s.Picker.Sample(len(candidates), rnd)
	preferred := s.affinityPreferences(req, candidates, now)
	choice.Upstream, choice.Score = s.bestCandidate(req, candidates, sample, preferred, now)
	return choice, true
}

// preference is a candidate that an affinity scorer adds to the sample, by its
// index in the list, and the weighted score that the scorer gives it.
type preference struct {
	index int
	bonus float64
}

// affinityPreferences returns, for each affinity scorer, its best candidate
// among those whose load is within AffinityBound.
func (s *Selector) affinityPreferences(req *Request, candidates []*Upstream, now time.Time) []preference {
	var preferred []preference
	limit := s.AffinityBound.limit(candidates)
	for _, w := range s.AffinityScorers {
		i, score := bestAffinity(w.Scorer, req, candidates, limit, now)
		if i >= 0 {
			preferred = append(preferred, preference{index: i, bonus: w.Weight * score})
		}
	}
	return preferred
}

// bestAffinity returns the index and score of the candidate with the highest
// positive score among those with a load of at most limit, or the index -1 if
// there is none. Among equal scores it returns the least loaded candidate.
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

// bestCandidate returns the sampled or preferred candidate with the highest
// weighted score. The score of an affinity scorer is added for its preferred
// candidate only.
func (s *Selector) bestCandidate(req *Request, candidates []*Upstream, sample []int, preferred []preference, now time.Time) (*Upstream, float64) {
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

func weightedSum(scorers []WeightedScorer, req *Request, u *Upstream, now time.Time) float64 {
	sum := 0.0
	for _, w := range scorers {
		sum += w.Weight * w.Scorer.Score(req, u, now)
	}
	return sum
}
