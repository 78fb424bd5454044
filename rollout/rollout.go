package rollout

import (
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Key names a version of a model.
type Key struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// VersionRule bounds the exposure to one version.
type VersionRule struct {
	Model   string
	Version string
	// Epoch is the manifest epoch that set or last renewed this rule, not the
	// epoch of every manifest that contains it: a higher epoch starts with a
	// full budget, no evidence and no stop.
	Epoch uint64
	// Budget is how many answers all hosts together may give until the
	// version is cleared; 0 means no limit.
	Budget int
	// MaxErrorRate is from 0 to 1. Limits below MinErrorRate are raised to it.
	MaxErrorRate float64
	// MinRating is from 0 to 1; 0 means that ratings don't count.
	MinRating float64
	// MaxLatencyMs is the limit of the first token's 95th percentile in
	// milliseconds; 0 means that latency doesn't count.
	MaxLatencyMs int
}

// Key returns the version that the rule is about.
func (r VersionRule) Key() Key { return Key{Model: r.Model, Version: r.Version} }

// Outcome is what one answer showed.
type Outcome struct {
	// Err says that the version failed the request.
	Err bool
	// Rating is from 0 to 1 and counts if Rated is true. A rating that comes
	// later is given to Tracker.Rate.
	Rating float64
	Rated  bool
	// FirstToken is the time to the first token; 0 if it wasn't measured.
	FirstToken time.Duration
}

// Reason says which limit a version was stopped for.
type Reason string

const (
	// ReasonErrors means that the error rate is above MaxErrorRate.
	ReasonErrors Reason = "errors"
	// ReasonLatency means that more than 5% of first tokens are above
	// MaxLatencyMs.
	ReasonLatency Reason = "latency"
	// ReasonRating means that the mean rating is below MinRating.
	ReasonRating Reason = "rating"
)

// Summary is the evidence behind a stop, for operators and auditors.
type Summary struct {
	Answers    uint64  `json:"answers"`
	Errors     uint64  `json:"errors"`
	Timed      uint64  `json:"timed"`
	Slow       uint64  `json:"slow"`
	Rated      uint64  `json:"rated"`
	MeanRating float64 `json:"mean_rating"`
	// Strength is the e-value of the test that stopped the version: under a
	// version within its limits it exceeds x with a probability below 1/x.
	Strength float64 `json:"strength"`
}

// Stop is the fact that a version takes no new work in an epoch. It holds
// until a rule with a higher epoch.
type Stop struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Epoch   uint64  `json:"epoch"`
	Reason  Reason  `json:"reason"`
	Summary Summary `json:"summary"`
	// Host is the entry host that found the stop, At when it did.
	Host string    `json:"host"`
	At   time.Time `json:"at"`
}

// Key returns the version that the stop is about.
func (s Stop) Key() Key { return Key{Model: s.Model, Version: s.Version} }

// before orders stops of one version and epoch, so that all hosts end with
// the same one.
func (s Stop) before(t Stop) bool {
	if !s.At.Equal(t.At) {
		return s.At.Before(t.At)
	}
	return s.Host < t.Host
}

// Options are the settings of a Tracker.
type Options struct {
	// Host is this host's ID; an ID is never used by two incarnations.
	Host string
	// Clock is the source of time; nil means time.Now.
	Clock storage.Clock
	// Granted says that the host's part of each budget comes from Grant only.
	// Otherwise it is the budget divided by the number of hosts.
	Granted bool
	// Pacing bounds answers that are not yet observed.
	Pacing Pacing
	// Confidence sets the error probabilities of the tests.
	Confidence Confidence
}
