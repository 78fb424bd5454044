// Package history records concurrent runs of the system and checks the records
// for what must always hold. Checkers are pure functions of a list of events;
// they never see the system itself.
//
// An event is recorded by whoever sees it: callers, stand-ins of upstreams,
// hosts, operators. To keep the checks sound, what starts something is recorded
// before it (RequestSent, ManifestSubmitted, UpstreamLeaving, HostStopping) and
// what ends something after it (CallerAnswered, ManifestAccepted, InForce).
//
// Tests that run the system use it. What nobody recorded isn't checked, and a
// record that passes is no proof for other runs.
package history

import "time"

// Kind is the type of an event. The fields that count are listed with each.
type Kind string

const (
	// ManifestSubmitted: Digest.
	ManifestSubmitted Kind = "manifest-submitted"
	// ManifestAccepted: Digest, Epoch, Permits, Withdrawn.
	ManifestAccepted Kind = "manifest-accepted"
	// InForce says that a host works by a manifest: Host, Epoch.
	InForce Kind = "in-force"
	// RequestSent: RequestID, Account, Key, Session, Host, Idempotent, Digest
	// where the right answer is known beforehand, and BillID where requests
	// with one key don't share a bill.
	RequestSent Kind = "request-sent"
	// CallerAnswered ends a request: RequestID, Code, RunState, Digest, Model,
	// Version, Epoch, Host, Lost.
	CallerAnswered Kind = "caller-answered"
	// UpstreamArrived says that an upstream got a request's head: RequestID,
	// Account, Key, Upstream, Model, Version.
	UpstreamArrived Kind = "upstream-arrived"
	// UpstreamRan says that an upstream began to run a request: as for
	// UpstreamArrived, with the Digest of the answer that it makes.
	UpstreamRan Kind = "upstream-ran"
	// Billed is a bill read from the ledger at the end: BillID, RequestID,
	// Account, Code, CostMicro.
	Billed Kind = "billed"
	// UpstreamLeaving says that an upstream shows that it leaves: Upstream.
	UpstreamLeaving Kind = "upstream-leaving"
	// UpstreamLive ends UpstreamLeaving: Upstream.
	UpstreamLive Kind = "upstream-live"
	// HostStarted: Host.
	HostStarted Kind = "host-started"
	// HostStopping begins a planned stop: Host.
	HostStopping Kind = "host-stopping"
	// HostGone ends a host, by plan or not: Host.
	HostGone Kind = "host-gone"
	// HostImpaired says that a host is paused or cut from the table: Host.
	HostImpaired Kind = "host-impaired"
	// HostHealed ends HostImpaired: Host.
	HostHealed Kind = "host-healed"
)

// Event is one thing that was seen. Fields that its kind doesn't list are
// empty.
type Event struct {
	// Seq is the event's place in the record, from 1.
	Seq uint64 `json:"seq"`
	// At is the time since the start of the record, in nanoseconds. It never
	// falls from one event to the next.
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`

	RequestID string `json:"request_id,omitempty"`
	Account   string `json:"account,omitempty"`
	// Key is the caller's request key.
	Key     string `json:"key,omitempty"`
	Session string `json:"session,omitempty"`
	// Idempotent says that the request may be run more than once.
	Idempotent bool   `json:"idempotent,omitempty"`
	Model      string `json:"model,omitempty"`
	Version    string `json:"version,omitempty"`
	Upstream   string `json:"upstream,omitempty"`
	Host       string `json:"host,omitempty"`
	Epoch      uint64 `json:"epoch,omitempty"`
	// Code is the number of the result code; 0 is a whole answer.
	Code int `json:"code,omitempty"`
	// RunState is the wire form of the run state that the caller was told.
	RunState string `json:"run_state,omitempty"`
	// Lost says that the caller's connection ended without a result.
	Lost bool `json:"lost,omitempty"`
	// Digest identifies an answer's text or a manifest.
	Digest string `json:"digest,omitempty"`
	BillID string `json:"bill_id,omitempty"`
	// CostMicro is a bill's charge in micro units of currency.
	CostMicro int64 `json:"cost_micro,omitempty"`
	// Permits are the versions that accounts may use by a manifest.
	Permits []Permit `json:"permits,omitempty"`
	// Withdrawn are the versions that a manifest withdraws.
	Withdrawn []Version `json:"withdrawn,omitempty"`
}

// Version is one version of a model.
type Version struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Permit permits one version to an account.
type Permit struct {
	Account string  `json:"account"`
	Version Version `json:"version"`
}

// version returns the version that an event names.
func (e Event) version() Version {
	return Version{Model: e.Model, Version: e.Version}
}

// whole reports whether an answer was delivered whole.
func (e Event) whole() bool {
	return e.Code == 0 && !e.Lost
}
