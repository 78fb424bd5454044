package entry

import (
	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/membership"
)

// The operators' API. Its paths and types are used by the command line too.
const (
	PathReady        = "/ready"
	PathMetrics      = "/metrics"
	PathManifest     = "/v1/manifest"
	PathHistory      = "/v1/manifest/history"
	PathEpoch        = "/v1/manifest/epochs/{epoch}"
	PathInForce      = "/v1/manifest/epochs/{epoch}/in-force"
	PathTraceEpoch   = "/v1/trace/epochs/{epoch}"
	PathTraceRequest = "/v1/trace/requests/{request}"
	PathHosts        = "/v1/hosts"
	PathLeaving      = "/v1/upstreams/{upstream}/leaving"

	// HeaderSubmitToken names one submission across its retries.
	HeaderSubmitToken = "Quetzalweir-Submit-Token"
)

// SubmitAnswer is the answer to a submitted manifest.
type SubmitAnswer struct {
	Head config.Head `json:"head"`
	// Already says that this manifest was accepted before.
	Already bool `json:"already"`
}

// OperatorError is the body of a failed call of the operators' API.
type OperatorError struct {
	Message string `json:"message"`
	// Problems are the faults of a manifest.
	Problems []manifest.Problem `json:"problems,omitempty"`
	// Head is the manifest that won against a submitted one.
	Head *config.Head `json:"head,omitempty"`
	// Outcome is "none" when the call had no effect and "unknown" when it may
	// have had; submit again with the same token to settle it.
	Outcome string `json:"outcome"`
}

// Outcomes of a failed call.
const (
	OutcomeNone    = "none"
	OutcomeUnknown = "unknown"
)

// HostsAnswer lists the entry hosts and upstreams as one host sees them.
type HostsAnswer struct {
	Self      string              `json:"self"`
	Epoch     uint64              `json:"epoch"`
	Members   []membership.Member `json:"members"`
	Upstreams []UpstreamView      `json:"upstreams"`
}

// UpstreamView is an upstream as one host sees it.
type UpstreamView struct {
	ID       string   `json:"id"`
	Zone     string   `json:"zone"`
	Leaving  bool     `json:"leaving"`
	Fenced   bool     `json:"fenced"`
	Versions []string `json:"versions"`
	InFlight int      `json:"in_flight"`
}

// EpochTrace is what the requests under one manifest came to.
type EpochTrace struct {
	Head     config.Head   `json:"head"`
	Bills    []ledger.Bill `json:"bills"`
	Refusals []CodeCount   `json:"refusals"`
}

// CodeCount counts refusals with one result code.
type CodeCount struct {
	Code  int    `json:"code"`
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// RequestTrace is one request's bill and its manifest.
type RequestTrace struct {
	Bill ledger.Bill `json:"bill"`
	Head config.Head `json:"head"`
}
