package entry

import (
	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/membership"
)

// The operators' API. The command line uses its paths and types too.
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

	// HeaderSubmitToken is the header that identifies a submission across its
	// retries.
	HeaderSubmitToken = "Quetzalweir-Submit-Token"
)

// SubmitResponse is the response to a submitted manifest.
type SubmitResponse struct {
	Head config.Head `json:"head"`
	// Already is set if the same manifest was accepted before this submission.
	Already bool `json:"already"`
}

// OperatorError is the body of an error response of the operators' API.
type OperatorError struct {
	Message string `json:"message"`
	// Problems lists the errors found in a submitted manifest.
	Problems []manifest.Problem `json:"problems,omitempty"`
	// Head is the head of the manifest that was accepted instead of the submitted
	// one.
	Head *config.Head `json:"head,omitempty"`
	// Outcome is "none" if the call had no effect and "unknown" if it may have had an
	// effect. Submitting again with the same token resolves an unknown outcome.
	Outcome string `json:"outcome"`
}

// Values of OperatorError.Outcome.
const (
	OutcomeNone    = "none"
	OutcomeUnknown = "unknown"
)

// HostsResponse lists the entry hosts and upstreams known to one host.
type HostsResponse struct {
	Self      string              `json:"self"`
	Epoch     uint64              `json:"epoch"`
	Members   []membership.Member `json:"members"`
	Upstreams []UpstreamView      `json:"upstreams"`
}

// UpstreamView is the state of an upstream as known to one host.
type UpstreamView struct {
	ID       string   `json:"id"`
	Zone     string   `json:"zone"`
	Leaving  bool     `json:"leaving"`
	Fenced   bool     `json:"fenced"`
	Versions []string `json:"versions"`
	InFlight int      `json:"in_flight"`
}

// EpochTrace holds the bills and refusals of the requests under one manifest.
type EpochTrace struct {
	Head     config.Head   `json:"head"`
	Bills    []ledger.Bill `json:"bills"`
	Refusals []CodeCount   `json:"refusals"`
}

// CodeCount is the number of refused requests with one result code.
type CodeCount struct {
	Code  int    `json:"code"`
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// RequestTrace holds a request's bill and the head of its manifest.
type RequestTrace struct {
	Bill ledger.Bill `json:"bill"`
	Head config.Head `json:"head"`
}
