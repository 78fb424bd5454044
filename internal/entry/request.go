package entry

import (
	"encoding/hex"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Kind says what a request is for.
type Kind int

const (
	// KindModel is a model request.
	KindModel Kind = iota
	// KindService is a request to a plain service.
	KindService
)

// Request is one caller's request in flight. Its fields are set by the
// frontend and then by the filters, each by one of them; it is used by one
// goroutine at a time.
type Request struct {
	// Set by the frontend.

	// ID is unique and is echoed to the caller and to upstreams.
	ID       string
	Kind     Kind
	Arrived  time.Time
	Key      string // account key, a secret: never logged
	ClassArg string // class header; empty asks for the account's default
	// Patience is how long the caller waits; zero takes the class's default.
	Patience time.Duration
	// RequestKey names the request across retries; empty if none was given.
	RequestKey string
	// SessionArg is a session token or a bare session id; may be empty.
	SessionArg string
	// Repeatable is false for a call that may run only once.
	Repeatable bool
	// Route is the model, cascade or service name.
	Route string
	// Body is the request's body.
	Body []byte
	// Prompt is the text of a model request's messages.
	Prompt string
	// Service is the call of a service request.
	Service upstream.ServiceCall
	// Sink takes the answer.
	Sink Sink

	// Set by the filters.

	Policy   *manifest.Policy
	Account  *manifest.Account
	Class    manifest.Class
	Priority int
	Deadline time.Time
	Session  SessionState
	// Cascade is set while a cascade's steps are run.
	Cascade *manifest.Cascade
	// SessionTokens is the header value that keeps the session.
	SessionTokens string
	Model         string
	Version       manifest.Version
	Target        upstream.Target
	Claim         *claim.Claim
	// Steps are the runs that led to the answer, for the bill.
	Steps []ledger.Step
	// Usage is the last run's.
	Usage    upstream.Usage
	Attempts int
	// FirstFrame is when the first frame arrived; zero before.
	FirstFrame time.Time
	// Faulted says that an attempt failed in a way that speaks against the
	// version, though another may have succeeded.
	Faulted bool
	// BelowTarget says that a cascade's answer is below its target, because the
	// last step failed.
	BelowTarget bool
	// Billed says that the request's bill was recorded.
	Billed bool
	// Replayed says that the answer is an earlier one with the same key.
	Replayed bool

	// digest names the request by its content.
	digest quarantine.Digest
	// brokeAt is the upstream whose answer broke off last, if any did.
	brokeAt *guard.Upstream
	// prefix holds the hashes of the prompt's blocks, once they are needed.
	prefix []uint64
	state  runstate.Tracker
	// keyOpen is true while an earlier request with the same key may have run
	// and the claim has not told yet.
	keyOpen bool
}

// RunState is what may be said of the request to its caller. With a request
// key whose claim is not settled it is at least MayHaveRun, since an earlier
// attempt of the same request can have run.
func (r *Request) RunState() runstate.State {
	s := r.state.State()
	if r.keyOpen && s == runstate.NotRun {
		return runstate.MayHaveRun
	}
	return s
}

// BillID is the bill's identity: the same for all retries under one key. A
// claimed key stands for one request only; where there is no claim, the digest
// keeps different requests under one key apart, so that each is billed.
func (r *Request) BillID() string {
	switch {
	case r.RequestKey == "":
		return r.ID
	case r.Claim != nil:
		return r.Account.Name + "/" + r.RequestKey
	default:
		digest := requestDigest(r)
		return r.Account.Name + "/" + r.RequestKey + "/" + hex.EncodeToString(digest[:billDigestBytes])
	}
}

// billDigestBytes is how much of a request's digest goes into its bill's id.
const billDigestBytes = 8

// AccountName is the account's name, or empty before it is known.
func (r *Request) AccountName() string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}

// Epoch is the manifest epoch that the request was decided under; 0 before.
func (r *Request) Epoch() uint64 {
	if r.Policy == nil {
		return 0
	}
	return r.Policy.Epoch
}

// Sink takes an answer on its way to the caller. The end of the answer isn't
// part of it: the frontend writes it after the bill is recorded.
type Sink interface {
	// Frame takes one frame of a model's answer; its data is valid during the
	// call only.
	Frame(r *Request, f upstream.Frame) error
	// Service takes the whole answer of a service.
	Service(r *Request, answer upstream.ServiceAnswer)
	// Started says whether any byte of the answer went to the caller.
	Started() bool
	// Reset drops what was taken, before another attempt. It is called only
	// while Started is false.
	Reset()
	// Text is a model's answer so far.
	Text() string
	// Answer is the whole answer, as a repeat of the request gets it.
	Answer(r *Request) upstream.ServiceAnswer
	// Replay takes the whole answer of an earlier request with the same key.
	Replay(r *Request, answer upstream.ServiceAnswer)
}

// Frontend is a caller-facing protocol.
type Frontend interface {
	// Decode reads a request; its errors are resultcode errors.
	Decode(w http.ResponseWriter, req *http.Request) (*Request, error)
	// Finish writes the end of the answer, or the refusal in err.
	Finish(w http.ResponseWriter, r *Request, err error)
}
