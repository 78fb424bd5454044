// Package history records concurrent runs of the system and checks the records
// for invariants. Checkers are pure functions of a list of events; they don't
// access the system itself.
//
// Events are recorded where they occur: by callers, stand-ins of upstreams,
// hosts and operators. For the checks to be sound, the event for a start is
// recorded before the start (RequestSent, ManifestSubmitted, UpstreamLeaving,
// HostStopping) and the event for an end after the end (CallerAnswered,
// ManifestAccepted, InForce).
//
// The package is used by tests that run the system. It checks only what was
// recorded, and a record without violations proves nothing about other runs.
package history

import "time"

// Kind is the type of an event. The comment on each kind lists the fields of
// Event that it uses.
type Kind string

const (
	// ManifestSubmitted: Digest.
	ManifestSubmitted Kind = "manifest-submitted"
	// ManifestAccepted: Digest, Epoch, Permits, Withdrawn.
	ManifestAccepted Kind = "manifest-accepted"
	// InForce means that a host has applied a manifest: Host, Epoch.
	InForce Kind = "in-force"
	// RequestSent: RequestID, Account, Key, Session, Host, Idempotent; Digest if
	// the correct answer is known in advance; BillID if requests with the same
	// key don't share a bill.
	RequestSent Kind = "request-sent"
	// CallerAnswered ends a request: RequestID, Code, RunState, Digest, Model,
	// Version, Epoch, Host, Lost.
	CallerAnswered Kind = "caller-answered"
	// UpstreamArrived means that an upstream received a request's header:
	// RequestID, Account, Key, Upstream, Model, Version.
	UpstreamArrived Kind = "upstream-arrived"
	// UpstreamRan means that an upstream began to run a request: the fields of
	// UpstreamArrived, and the Digest of the answer that it produces.
	UpstreamRan Kind = "upstream-ran"
	// Billed is a bill read from the ledger at the end: BillID, RequestID,
	// Account, Code, CostMicro.
	Billed Kind = "billed"
	// UpstreamLeaving means that an upstream signals that it is leaving:
	// Upstream.
	UpstreamLeaving Kind = "upstream-leaving"
	// UpstreamLive ends UpstreamLeaving: Upstream.
	UpstreamLive Kind = "upstream-live"
	// HostStarted: Host.
	HostStarted Kind = "host-started"
	// HostStopping begins a planned stop: Host.
	HostStopping Kind = "host-stopping"
	// HostGone means that a host ended, planned or not: Host.
	HostGone Kind = "host-gone"
	// HostImpaired means that a host is paused or can't reach the table: Host.
	HostImpaired Kind = "host-impaired"
	// HostHealed ends HostImpaired: Host.
	HostHealed Kind = "host-healed"
)

// Event is one recorded event. Fields that its kind doesn't list are empty.
type Event struct {
	// Seq is the event's position in the record, from 1.
	Seq uint64 `json:"seq"`
	// At is the time since the start of the record, in nanoseconds. It never
	// decreases from one event to the next.
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`

	RequestID string `json:"request_id,omitempty"`
	Account   string `json:"account,omitempty"`
	// Key is the caller's request key.
	Key     string `json:"key,omitempty"`
	Session string `json:"session,omitempty"`
	// Idempotent is set if the request may be run more than once.
	Idempotent bool   `json:"idempotent,omitempty"`
	Model      string `json:"model,omitempty"`
	Version    string `json:"version,omitempty"`
	Upstream   string `json:"upstream,omitempty"`
	Host       string `json:"host,omitempty"`
	Epoch      uint64 `json:"epoch,omitempty"`
	// Code is the number of the result code; 0 is a complete answer.
	Code int `json:"code,omitempty"`
	// RunState is the wire form of the run state that the caller received.
	RunState string `json:"run_state,omitempty"`
	// Lost is set if the caller's connection ended without a result.
	Lost bool `json:"lost,omitempty"`
	// Digest identifies an answer's text or a manifest.
	Digest string `json:"digest,omitempty"`
	BillID string `json:"bill_id,omitempty"`
	// CostMicro is a bill's charge in micro units of currency.
	CostMicro int64 `json:"cost_micro,omitempty"`
	// Permits are the versions that accounts may use under a manifest.
	Permits []Permit `json:"permits,omitempty"`
	// Withdrawn are the versions that a manifest withdraws.
	Withdrawn []Version `json:"withdrawn,omitempty"`
}

// Version is one version of a model.
type Version struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Permit is the permission of an account to use one version.
type Permit struct {
	Account string  `json:"account"`
	Version Version `json:"version"`
}

// version returns the version that an event names.
func (e Event) version() Version {
	return Version{Model: e.Model, Version: e.Version}
}

// complete reports whether an answer was delivered completely.
func (e Event) complete() bool {
	return e.Code == 0 && !e.Lost
}
