// Package manifest defines the configuration document that operators submit:
// the models and their versions, what each client account may use, the priority
// classes, and how sessions are treated. A build pipeline generates the
// document; it is parsed strictly and never edited in place.
//
// Package config stores and loads documents, and the entry host routes requests
// by the compiled Policy. This package decides neither which manifest is in
// force nor whether the upstreams that a manifest names exist.
package manifest

// Format is the version of the document format that this package reads.
const Format = 1

// VersionState is the stage of a version's life cycle.
type VersionState string

const (
	// Serving means that the version receives its share of new sessions.
	Serving VersionState = "serving"
	// RollingIn means that the version receives its share of new sessions within
	// its exposure budget.
	RollingIn VersionState = "rolling-in"
	// RollingOut means that the version receives no new sessions; sessions that
	// are bound to it stay on it.
	RollingOut VersionState = "rolling-out"
	// Withdrawn means that the version receives no requests.
	Withdrawn VersionState = "withdrawn"
)

// OnWithdrawn selects what happens to a session whose version was withdrawn.
type OnWithdrawn string

const (
	// Rebind moves the session to a permitted version; the answer reports the
	// move.
	Rebind OnWithdrawn = "rebind"
	// Refuse refuses the request with result code version-withdrawn.
	Refuse OnWithdrawn = "refuse"
)

// Document is one manifest as the build pipeline wrote it.
type Document struct {
	// Format must equal the constant Format.
	Format int `json:"format"`
	// Parent is the digest of the manifest that this one replaces; empty for
	// the first.
	Parent string `json:"parent"`
	// Build is a label that the pipeline chooses, for example a build number.
	Build string `json:"build"`
	// Models lists the models; their names are unique.
	Models []Model `json:"models"`
	// Cascades lists the routes that try cheaper models first.
	Cascades []Cascade `json:"cascades,omitempty"`
	// Services lists the plain HTTP services; their names are unique.
	Services []Service `json:"services,omitempty"`
	// Classes lists the priority classes, highest priority first.
	Classes []Class `json:"classes"`
	// Accounts lists the client accounts.
	Accounts []Account `json:"accounts"`
	// Sessions holds the rules for sessions.
	Sessions Sessions `json:"sessions"`
}

// Model is a model and its versions.
type Model struct {
	Name     string    `json:"name"`
	Versions []Version `json:"versions"`
}

// Version is one version of a model.
type Version struct {
	Name  string       `json:"name"`
	State VersionState `json:"state"`
	// Share is the percentage of the model's new sessions that the version
	// receives. The shares of the serving and rolling-in versions of a model sum
	// to 100; other versions have 0.
	Share int `json:"share"`
	// Exposure limits the answers of a rolling-in version; nil means no limit.
	Exposure *Exposure `json:"exposure,omitempty"`
	// PromptPrice and CompletionPrice are in millionths of the currency unit per
	// 1,000 tokens.
	PromptPrice     int64 `json:"prompt_price"`
	CompletionPrice int64 `json:"completion_price"`
}

// Exposure limits how many answers a rolling-in version gives before the
// evidence clears it, that is, shows that it keeps the limits below.
type Exposure struct {
	// Round numbers the version's roll-outs from 1. Raising it starts a new
	// roll-out with a full budget, no evidence and no stop; while it stays the
	// same, all three carry over to a new manifest.
	Round int `json:"round"`
	// Answers is the number of answers that all hosts together may give before
	// the version is cleared.
	Answers int `json:"answers"`
	// MaxErrorRate and MinRating are the limits that the evidence is tested
	// against, each from 0 to 1; MinRating 0 means that ratings aren't tested.
	MaxErrorRate float64 `json:"max_error_rate"`
	MinRating    float64 `json:"min_rating"`
	// MaxLatencyMs is the limit of the 95th percentile of the time to the first
	// token, in milliseconds; 0 means that latency isn't tested.
	MaxLatencyMs int `json:"max_latency_ms"`
}

// Cascade is a named route that tries models in order of rising cost.
type Cascade struct {
	Name string `json:"name"`
	// Steps lists the names of at least two models, cheapest first.
	Steps []string `json:"steps"`
	// Target is the rating, from 0 to 1, from which the answer of a cheaper model
	// is accepted.
	Target float64 `json:"target"`
	// RaterTimeoutMs is the longest wait for a rating, in milliseconds.
	RaterTimeoutMs int `json:"rater_timeout_ms"`
	// OnRaterFailure selects what happens to an answer that gets no rating.
	OnRaterFailure OnRaterFailure `json:"on_rater_failure"`
}

// OnRaterFailure selects what happens when no rating arrives in time.
type OnRaterFailure string

const (
	// Accept returns the answer of the cheaper model.
	Accept OnRaterFailure = "accept"
	// Escalate runs the next step of the cascade.
	Escalate OnRaterFailure = "escalate"
)

// Service is a plain service: an HTTP service that runs no model.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route is one kind of call of a service. A call follows the first route that
// matches it.
type Route struct {
	// Method is an HTTP method.
	Method string `json:"method"`
	// Path matches exactly, or as a prefix if it ends in "/".
	Path string `json:"path"`
	// Idempotent is true if the call may be repeated. Other calls need a request
	// key.
	Idempotent bool `json:"idempotent"`
}

// Class is a priority class with its default deadline and minimum capacity.
type Class struct {
	Name string `json:"name"`
	// DeadlineMs is the default deadline of a request, in milliseconds.
	DeadlineMs int `json:"deadline_ms"`
	// MinShare is the percentage of capacity that the class keeps under load from
	// higher classes; the shares of all classes sum to at most 100.
	MinShare int `json:"min_share"`
}

// Account is a client account with its keys, permissions and limits.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 lists the hex SHA-256 digests of the account's keys, never the
	// keys themselves. With several keys, one can be replaced without an
	// interruption.
	KeySHA256 []string `json:"key_sha256"`
	// Models lists the models and versions that the account may use.
	Models []Permission `json:"models,omitempty"`
	// Cascades names the cascades that the account may use; it also needs
	// permission for the model of each step.
	Cascades []string `json:"cascades,omitempty"`
	// Services names the services that the account may use.
	Services []string `json:"services,omitempty"`
	// Classes names the classes that the account may use, the default first.
	Classes []string `json:"classes"`
	// RequestsPerSecond is the account's rate limit over all hosts; 0 means no
	// limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the number of requests that may arrive at once, over all hosts.
	Burst int `json:"burst"`
	// Weight is the account's weight in fair queueing, at least 1.
	Weight int `json:"weight"`
}

// Permission permits the use of some or all versions of a model.
type Permission struct {
	Model string `json:"model"`
	// Versions lists version names; empty means all versions.
	Versions []string `json:"versions,omitempty"`
}

// Sessions holds the rules for sessions.
type Sessions struct {
	// TTLSeconds is how long a session token stays valid after its last use, in
	// seconds.
	TTLSeconds int `json:"ttl_seconds"`
	// OnWithdrawn selects what happens when a session's version is withdrawn.
	OnWithdrawn OnWithdrawn `json:"on_withdrawn"`
}
