package routing

import "time"

// Kind determines how often a route's requests may be executed.
type Kind int

const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Stream requests are answered by a stream of events. They are executed at
	// most once unless the route is resumable.
	Stream
)

// Document is the decoded routing document of the operators, before validation.
type Document struct {
	// Version orders documents: one with a higher version replaces one with a
	// lower version.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route assigns the requests for one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the time limit for the complete answer.
	Timeout time.Duration
	// Target is the target for the time to the answer, or to the first event of
	// a stream.
	Target time.Duration
	// MaxPause is the target for the longest pause between the events of a
	// stream.
	MaxPause time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Models are the models that may answer, the cheapest first. If empty, the
	// caller specifies the model.
	Models []string
	// Shares are the services that the route's requests are divided among, with
	// their weights.
	Shares []Share
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Public reports whether the route requires no account key.
	Public bool
	// PrefixAffinity reports whether upstreams cache prefixes of this route's
	// prompts.
	PrefixAffinity bool
	// Resumable reports whether a stream can be resumed at another upstream.
	Resumable bool
	// Regions are the regions in which the route's requests may be served; empty
	// means all.
	Regions []string
}

// Repeatable reports whether requests of the route may be executed more than
// once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is the share of a route's requests that a service receives.
type Share struct {
	Service string
	// Weight divided by the sum of the weights of the route's shares is the
	// fraction of the requests.
	Weight int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of the health check of an upstream.
	HealthPath string
	// MaxConnections is the maximum number of connections to one upstream from
	// all callers together; 0 means unlimited.
	MaxConnections int
	// Models are the models of a service that runs language models.
	Models []Model
	// Engines describes the upstreams of a service that runs language models; the zero value if
	// the document doesn't.
	Engines EngineSpec
	// ColdStart is how long an upstream is cold after its start. ColdRate is the
	// number of requests per second that it tolerates while cold; 0 means
	// unlimited.
	ColdStart time.Duration
	ColdRate  float64
}

// Model is one model of a service.
type Model struct {
	Name string
	// Price is the price per 1,000 generated tokens, in the operators' currency.
	Price float64
}

// EngineSpec describes the upstreams of a service that runs language models. A field is 0 if it
// is unknown.
type EngineSpec struct {
	// Slots is the number of requests that an engine processes in one batch.
	Slots int
	// MemoryTokens is the number of tokens that an engine's memory holds, of running requests and
	// cached prompts together. BytesPerToken is the memory of a token, in bytes.
	MemoryTokens  int
	BytesPerToken int
	// LinkMbps is the rate at which engines transfer memory to each other, in Mbit/s.
	LinkMbps float64
	// Moves reports whether engines move running requests to each other. HandleLifetime is how
	// long the copy of a moved request can be used; the gateway uses or frees a copy at once.
	Moves          bool
	HandleLifetime time.Duration
}

// TransferTime returns how long an engine needs to transfer the memory of the tokens to another
// engine in its availability zone; ok is false if the document doesn't state the sizes.
func (e *EngineSpec) TransferTime(tokens int) (d time.Duration, ok bool) {
	if e.BytesPerToken <= 0 || e.LinkMbps <= 0 {
		return 0, false
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(tokens) * float64(e.BytesPerToken) * bitsPerByte / (e.LinkMbps * bitsPerMbit)
	return time.Duration(seconds * float64(time.Second)), true
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority; nil means that the route's applies.
	Priority *int
	// Regions are the regions in which the account's requests may be served;
	// empty means all. If the route also has regions, both restrictions apply.
	Regions []string
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of a request's header
	// and body; 0 means unlimited.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the time limit for receiving a request's header.
	// IdleTimeout is the time after which an unused connection is closed.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
