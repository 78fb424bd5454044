// Package manifest defines the operators' document: the models and versions,
// what each client account may use, the classes, and how sessions go. It is
// made by a build pipeline, parsed strictly, and never edited in place.
//
// Package config stores and loads documents with it, the entry host routes by
// the compiled Policy. Which manifest is in force, and whether the upstreams
// that it names exist, isn't decided here.
package manifest

// Format is the version of the document's format that this package reads.
const Format = 1

// VersionState is where a version stands in its life.
type VersionState string

const (
	// Serving takes sessions by its share.
	Serving VersionState = "serving"
	// RollingIn takes sessions by its share within its exposure budget.
	RollingIn VersionState = "rolling-in"
	// RollingOut takes no new sessions; bound sessions keep it.
	RollingOut VersionState = "rolling-out"
	// Withdrawn takes no work at all.
	Withdrawn VersionState = "withdrawn"
)

// OnWithdrawn says what happens to a session whose version was withdrawn.
type OnWithdrawn string

const (
	// Rebind moves the session to a permitted version and says so.
	Rebind OnWithdrawn = "rebind"
	// Refuse answers with result code version-withdrawn.
	Refuse OnWithdrawn = "refuse"
)

// Document is one manifest as its pipeline wrote it.
type Document struct {
	// Format must equal the constant Format.
	Format int `json:"format"`
	// Parent is the digest of the manifest that this one replaces; empty for
	// the first.
	Parent string `json:"parent"`
	// Build is the pipeline's own label, for example a build number.
	Build string `json:"build"`
	// Models are the models by name.
	Models []Model `json:"models"`
	// Cascades try cheaper models first.
	Cascades []Cascade `json:"cascades,omitempty"`
	// Services are the plain services by name.
	Services []Service `json:"services,omitempty"`
	// Classes are the priority classes, highest priority first.
	Classes []Class `json:"classes"`
	// Accounts are the client accounts.
	Accounts []Account `json:"accounts"`
	// Sessions says how sessions are treated.
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
	// Share is the part of new sessions in percent. The shares of the serving
	// and rolling-in versions of a model sum to 100; others have 0.
	Share int `json:"share"`
	// Exposure bounds a rolling-in version; nil means unbounded.
	Exposure *Exposure `json:"exposure,omitempty"`
	// PromptPrice and CompletionPrice are in micro units of currency per
	// 1,000 tokens.
	PromptPrice     int64 `json:"prompt_price"`
	CompletionPrice int64 `json:"completion_price"`
}

// Exposure bounds how many answers a rolling-in version gives before the
// evidence clears it.
type Exposure struct {
	// Round counts the version's roll-outs from 1. Raising it starts anew,
	// with a full budget, no evidence and no stop; otherwise all three outlive
	// a new manifest.
	Round int `json:"round"`
	// Answers is the budget over all hosts until the version is cleared.
	Answers int `json:"answers"`
	// MaxErrorRate and MinRating are the limits that the evidence is tested
	// against, each from 0 to 1; MinRating 0 means that ratings don't count.
	MaxErrorRate float64 `json:"max_error_rate"`
	MinRating    float64 `json:"min_rating"`
	// MaxLatencyMs is the limit of the first token's 95th percentile in
	// milliseconds; 0 means that latency doesn't count.
	MaxLatencyMs int `json:"max_latency_ms"`
}

// Cascade is a named route over models of rising cost.
type Cascade struct {
	Name string `json:"name"`
	// Steps are model names, cheapest first, at least two.
	Steps []string `json:"steps"`
	// Target is the rating, from 0 to 1, at which a cheap answer is taken.
	Target float64 `json:"target"`
	// RaterTimeoutMs bounds the wait for a rating, in milliseconds.
	RaterTimeoutMs int `json:"rater_timeout_ms"`
	// OnRaterFailure is what is done without a rating.
	OnRaterFailure OnRaterFailure `json:"on_rater_failure"`
}

// OnRaterFailure says what is done when no rating comes in time.
type OnRaterFailure string

const (
	// Accept takes the cheap answer.
	Accept OnRaterFailure = "accept"
	// Escalate goes on to the next step.
	Escalate OnRaterFailure = "escalate"
)

// Service is a plain service.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route is one kind of call of a service. The first match in order counts.
type Route struct {
	// Method is an HTTP method.
	Method string `json:"method"`
	// Path matches exactly, or as a prefix where it ends in "/".
	Path string `json:"path"`
	// Idempotent says that the call may be repeated. Calls that may not be
	// need a request key.
	Idempotent bool `json:"idempotent"`
}

// Class is a priority class.
type Class struct {
	Name string `json:"name"`
	// DeadlineMs is the default deadline in milliseconds.
	DeadlineMs int `json:"deadline_ms"`
	// MinShare is the part of capacity in percent that the class keeps under
	// the load of higher ones; the sum over classes is at most 100.
	MinShare int `json:"min_share"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 are the hex SHA-256 digests of the account's keys; several
	// let a key be changed without a cut. Keys themselves never stand here.
	KeySHA256 []string `json:"key_sha256"`
	// Models says which models and versions the account may use.
	Models []Permission `json:"models,omitempty"`
	// Cascades are the cascades that the account may use; it needs permission
	// for each step's model.
	Cascades []string `json:"cascades,omitempty"`
	// Services are the services that the account may use.
	Services []string `json:"services,omitempty"`
	// Classes are the classes that the account may use, the default first.
	Classes []string `json:"classes"`
	// RequestsPerSecond is the account's limit over all hosts; 0 is no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is how many requests may come at once, over all hosts.
	Burst int `json:"burst"`
	// Weight is the account's part in fair queueing, at least 1.
	Weight int `json:"weight"`
}

// Permission permits versions of a model.
type Permission struct {
	Model string `json:"model"`
	// Versions are version names; empty means all versions.
	Versions []string `json:"versions,omitempty"`
}

// Sessions says how sessions are treated.
type Sessions struct {
	// TTLSeconds is how long a session token is valid after its last use.
	TTLSeconds int `json:"ttl_seconds"`
	// OnWithdrawn is what happens when a session's version is withdrawn.
	OnWithdrawn OnWithdrawn `json:"on_withdrawn"`
}
