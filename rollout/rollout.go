package rollout

import (
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Key identifies a version of a model.
type Key struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// VersionRule holds the limits and the exposure budget of one version.
type VersionRule struct {
	Model   string
	Version string
	// Round numbers the roll-outs of the version. It isn't the epoch of the
	// manifest: a new manifest with the same round keeps the budget, the
	// evidence and the stop, a higher round starts with a full budget, no
	// evidence and no stop.
	Round uint64
	// Budget is the number of answers that all hosts together may give before
	// the version is cleared; 0 means no limit.
	Budget int
	// MaxErrorRate is the limit of the error rate, from 0 to 1. Limits below
	// MinErrorRate are raised to it.
	MaxErrorRate float64
	// MinRating is the limit of the mean rating, from 0 to 1; 0 means that
	// ratings aren't tested.
	MinRating float64
	// MaxLatencyMs is the limit of the 95th percentile of the time to first
	// token, in milliseconds; 0 means that latency isn't tested.
	MaxLatencyMs int
}

// Key returns the version that the rule applies to.
func (r VersionRule) Key() Key { return Key{Model: r.Model, Version: r.Version} }

// Outcome is the observed result of one answer.
type Outcome struct {
	// Failed is true if the version failed the request.
	Failed bool
	// Rating is from 0 to 1; it is used only if Rated is true. A rating that
	// arrives later is passed to Tracker.Rate.
	Rating float64
	Rated  bool
	// FirstToken is the time to first token. It is 0 if that time wasn't
	// measured.
	FirstToken time.Duration
}

// Reason names the limit that a stopped version violated.
type Reason string

const (
	// ReasonErrors means that the error rate is above MaxErrorRate.
	ReasonErrors Reason = "errors"
	// ReasonLatency means that more than 5% of the times to first token are
	// above MaxLatencyMs.
	ReasonLatency Reason = "latency"
	// ReasonRating means that the mean rating is below MinRating.
	ReasonRating Reason = "rating"
)

// Summary is the evidence for a stop, for operators and auditors. Timed is the
// number of answers whose time to first token was measured, Slow the number of
// those that exceeded the latency limit.
type Summary struct {
	Answers    uint64  `json:"answers"`
	Errors     uint64  `json:"errors"`
	Timed      uint64  `json:"timed"`
	Slow       uint64  `json:"slow"`
	Rated      uint64  `json:"rated"`
	MeanRating float64 `json:"mean_rating"`
	// Strength is the e-value of the test that stopped the version: for a
	// version within its limits it exceeds x with a probability below 1/x.
	Strength float64 `json:"strength"`
}

// Stop records that a version takes no new requests. It stays in force until a
// rule of the version with a higher round is set.
type Stop struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Round   uint64  `json:"epoch"`
	Reason  Reason  `json:"reason"`
	Summary Summary `json:"summary"`
	// Host is the ID of the entry host that stopped the version, and At is the
	// time at which it did.
	Host string    `json:"host"`
	At   time.Time `json:"at"`
}

// Key returns the version that the stop applies to.
func (s Stop) Key() Key { return Key{Model: s.Model, Version: s.Version} }

// before reports whether s takes precedence over t, a stop of the same version
// and round from another host. All hosts keep the stop that is first in this
// order, so they converge on the same one.
func (s Stop) before(t Stop) bool {
	if !s.At.Equal(t.At) {
		return s.At.Before(t.At)
	}
	return s.Host < t.Host
}

// Options are the settings of a Tracker.
type Options struct {
	// Host is this host's ID. A restarted host needs a new ID, because its
	// counters start from 0 again and counters are merged by their maximum.
	Host string
	// Clock is the source of time; nil means time.Now.
	Clock storage.Clock
	// GrantedOnly means that the host's part of each budget is set only by Grant.
	// Otherwise it is the budget divided by the number of hosts.
	GrantedOnly bool
	// Pacing bounds the answers in flight.
	Pacing Pacing
	// Confidence sets the error probabilities of the tests.
	Confidence Confidence
}
