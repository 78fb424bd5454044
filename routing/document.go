package routing

import "time"

// Kind says how often a route's requests may run.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a sequence of events. They run at most
	// once unless the route lets them be resumed.
	Stream
)

// Document is what operators declare, decoded and not yet checked.
type Document struct {
	// Version orders documents; a higher one replaces a lower one.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is how long a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// Target is the time in which an answer, or a stream's first event, is of
	// full use.
	Target time.Duration
	// MaxPause is the longest pause between events that still is of full use.
	MaxPause time.Duration
	// Priority ranks the route's requests; 0 is first.
	Priority int
	// Models are the models that may answer, cheapest first. Empty: the caller
	// names the model.
	Models []string
	// Split are the services that share the route's requests.
	Split []Share
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Public routes need no account key.
	Public bool
	// PrefixAffinity says that upstreams cache the prompts of this route.
	PrefixAffinity bool
	// Resumable says that a stream may go on at another upstream.
	Resumable bool
	// Regions are those in which the route's requests may be served; empty for all.
	Regions []string
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is a service's part of a route.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights.
	Weight int
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name string
	// HealthPath is where an upstream answers health checks.
	HealthPath string
	// MaxConnections is what one upstream accepts from all callers together;
	// 0 without a bound.
	MaxConnections int
	// Models are set for services that run language models.
	Models []Model
	// ColdStart is how long an upstream is cold after its start, ColdRate how many
	// requests a second it tolerates meanwhile; 0 where it tolerates any.
	ColdStart time.Duration
	ColdRate  float64
}

// Model is one model of a service.
type Model struct {
	Name string
	// Price is for 1,000 generated tokens, in the operators' currency.
	Price float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's; nil leaves that in force.
	Priority *int
	// Regions are those in which the account's requests may be served; empty for all. Where
	// the route has some, too, both bind.
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are 0 where there is no limit.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is how long a caller may take for a request's header,
	// IdleTimeout how long a connection may stay unused.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
