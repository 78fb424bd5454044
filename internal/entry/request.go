package entry

import (
	"encoding/hex"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// Kind is the kind of a request.
type Kind int

const (
	// KindModel is a model request.
	KindModel Kind = iota
	// KindService is a request to an HTTP service.
	KindService
)

// Request is a caller's request in flight. The frontend sets the first group of
// fields and the filters the second, each field by one filter. A request is used by
// one goroutine at a time.
type Request struct {
	// Set by the frontend.

	// ID is unique and is sent to the caller and to upstreams.
	ID         string
	Kind       Kind
	Arrived    time.Time
	AccountKey string // account key; a secret that must not be logged
	ClassArg   string // class header; empty selects the account's default
	// Patience is the caller's timeout. Zero selects the class's default.
	Patience time.Duration
	// RequestKey identifies the request across retries. It is empty if none was given.
	RequestKey string
	// SessionArg is the session header: session tokens, a bare session ID, "new" or
	// empty.
	SessionArg string
	// Repeatable is false for a call that must run at most once.
	Repeatable bool
	// Route is the model, cascade or service name.
	Route string
	// Body is the request's body.
	Body []byte
	// Prompt is the text of a model request's messages.
	Prompt string
	// Service is the call of a service request.
	Service upstream.ServiceCall
	// Sink receives the answer.
	Sink Sink
	// Conn is the caller's connection, for which the request's memory is accounted.
	Conn *httpintake.Conn

	// Set by the filters.

	Policy   *manifest.Policy
	Account  *manifest.Account
	Class    manifest.Class
	Priority int
	Deadline time.Time
	Session  SessionState
	// Cascade is set for a request to a cascade.
	Cascade *manifest.Cascade
	// SessionTokens is the value of the session header in the answer.
	SessionTokens string
	Model         string
	Version       manifest.Version
	Target        upstream.Target
	Claim         *claim.Claim
	// Steps holds the completed model runs. The bill lists them.
	Steps []ledger.Step
	// Usage is the token usage of the last model run.
	Usage    upstream.Usage
	Attempts int
	// FirstFrame is when the first frame of the last attempt arrived. It is zero before
	// a frame arrived.
	FirstFrame time.Time
	// Faulted is set if any attempt failed with an error that counts against the version,
	// even if a later attempt succeeded.
	Faulted bool
	// BelowTarget is set if the rating of a cascade's answer is below the target. Such
	// an answer is sent only if the cascade's last step failed.
	BelowTarget bool
	// Billed is set once the request's bill was recorded.
	Billed bool
	// Replayed is set if the answer is that of an earlier request with the same key.
	Replayed bool

	// digest is the hash of the request's content for the quarantine.
	digest quarantine.Digest
	// brokenUpstream is the upstream whose answer last broke off, or nil.
	brokenUpstream *guard.Upstream
	// prefixHashes holds the hashes of the prompt's blocks. They are computed on
	// first use.
	prefixHashes []uint64
	// state is the run state by the bytes that were sent. effect is the highest run state of the attempts
	// without those for which the upstream stated that it didn't run the request.
	state  runstate.Tracker
	effect runstate.Tracker
	// keyUnresolved is set for a request with a key until the key's claim has been read.
	// Until then an earlier request with the same key may have run.
	keyUnresolved bool
}

// RunState returns the run state reported to the caller. While keyUnresolved is set, the
// run state is at least MayHaveRun, since an earlier request with the same key may have
// run.
func (r *Request) RunState() runstate.State {
	s := r.state.State()
	if r.keyUnresolved && s == runstate.NotRun {
		return runstate.MayHaveRun
	}
	return s
}

// mayRunAgain reports whether the request may be sent to an upstream once more.
func (r *Request) mayRunAgain() bool { return r.state.State().MayRunAgain(r.Repeatable) }

// progress returns how far the request has come. Attempts for which the upstream stated that it didn't run the request don't count.
func (r *Request) progress() failover.Progress {
	return failover.Progress{State: r.effect.State(), Answered: r.Sink.Started()}
}

// mayDropAnswer reports whether the answer of a run may be dropped to run the request again elsewhere.
func (r *Request) mayDropAnswer() bool { return runstate.MayDropAnswer(r.Repeatable, r.Sink.Started()) }

// reportedError returns the error that is reported to the caller: err, with another code if the code contradicts the run state.
// A status that guarantees that the request didn't run is reported only if no attempt may have run it.
func (r *Request) reportedError(err error) *resultcode.Error {
	e := resultcode.ForState(resultcode.FromError(err), r.state.State())
	if r.effect.State().PermitsStatus(resultcode.Lookup(e.Code).Status) {
		return e
	}
	return resultcode.WithoutGuarantee(e, r.state.State())
}

// BillID returns the bill's ID, which is the same for all retries of a request with
// the same key. A claimed key belongs to a single request. Without a claim, a digest
// distinguishes different requests with the same key, so that each of them is billed.
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

// billDigestBytes is the number of bytes of a request's digest in its bill's ID.
const billDigestBytes = 8

// AccountName returns the account's name, or "" before the account is known.
func (r *Request) AccountName() string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}

// Epoch returns the epoch of the manifest that applies to the request, or 0 if no
// manifest has been assigned to the request yet.
func (r *Request) Epoch() uint64 {
	if r.Policy == nil {
		return 0
	}
	return r.Policy.Epoch
}

// Sink receives an answer for the caller. The frontend writes the end of the answer
// after the bill is recorded.
type Sink interface {
	// Frame receives one frame of a model's answer. The data is valid during the
	// call only.
	Frame(r *Request, f upstream.Frame) error
	// Service receives the complete answer of a service.
	Service(r *Request, answer upstream.ServiceResponse)
	// Started reports whether any byte of the answer was sent to the caller.
	Started() bool
	// Reset discards the frames received so far, before another attempt. It is called
	// only while Started returns false.
	Reset()
	// Text returns the text of the answer so far.
	Text() string
	// Answer returns the complete answer in the form that a repeat of the request
	// receives.
	Answer(r *Request) upstream.ServiceResponse
	// Replay receives the complete answer of an earlier request with the same key.
	Replay(r *Request, answer upstream.ServiceResponse)
}

// Frontend implements a protocol for callers.
type Frontend interface {
	// Decode reads a request, whose memory is accounted for the connection. Its errors are
	// resultcode errors.
	Decode(w http.ResponseWriter, req *http.Request, conn *httpintake.Conn) (*Request, error)
	// Finish writes the end of the answer, or the error response for err.
	Finish(w http.ResponseWriter, r *Request, err error)
}
