package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// Request is one caller's request in progress. It must be used by one goroutine at a time.
type Request struct {
	// The fields from here to Session are set when the request arrives.

	ID string
	// Arrived and Deadline are times of package boottime, whose clock advances while the host is
	// suspended, as does the time for which a caller waits.
	Arrived time.Time
	Method  string
	// Target is the request target as the caller sent it: path and query.
	Target string
	Host   string
	// Header is the caller's header. It must not be modified.
	Header http.Header
	Prompt Prompt
	// Session is the id shared by requests that belong together; it may be empty.
	Session string

	// The fields from here to Digest are set by the filters.

	Table    *routing.Table
	Route    *routing.Route
	Account  *routing.Account
	Deadline time.Time
	Body     []byte
	Service  string
	// Digest identifies the request by its content. It is the same if the caller sends the request
	// again.
	Digest quarantine.Digest
	// partDigests identify the parts of the prompt that other requests may contain.
	partDigests []quarantine.Digest

	// regions are the regions in which the next attempt may run.
	regions regionConstraint
	// relativePromptSize is the mean prompt size of the route divided by that of the service.
	relativePromptSize float64

	// conn is the caller's connection, for which the memory of the request and its answers is accounted.
	conn *httpintake.Conn
	// failedVersions are the versions of the service that failed the request.
	failedVersions []string
	// heldFor is the time for which the request was held. arrived is set once it was decided for the
	// first time whether to hold it; returning is set if the caller returned at the time that it was
	// told.
	heldFor   time.Duration
	arrived   bool
	returning bool
	// unsentDemand is the engine time that was recorded as requested on arrival and isn't recorded as
	// sent yet.
	unsentDemand time.Duration
	// held is the hold of the present attempt; nil if it wasn't held.
	held *heldRequest
	// sendSoonest is set if the next attempt considers all upstreams, since no upstream of a sample
	// would have begun the request before its deadline.
	sendSoonest bool

	answer *answerWriter
	// runState is the highest run state of all attempts.
	runState runstate.Tracker
	// attempts is the number of attempts. notReached is the number of those that didn't reach the
	// chosen upstream.
	attempts   int
	notReached int
	// triedIDs are the ids of the upstreams that were chosen for attempts of the request.
	triedIDs []string
	// fetchSources are the addresses of the engines that were sources of cached parts for attempts of
	// the request.
	fetchSources []string
	// fetchRejection is the answer of an engine that may not support fetching cached parts; nil if there
	// is none.
	fetchRejection *fetchRejection
	// moved is set if the request's stream was moved; movedVersion is the version of the run that the
	// move ended.
	moved        bool
	movedVersion string
	// successor is the next attempt if it is reserved, until it begins; nil otherwise.
	successor *successor
	// model is the model that the gateway chose for the request; empty if the caller chose it and
	// for plain services.
	model string
}

// Prompt describes the prompt of a request to a language model, as its caller stated in the header.
type Prompt struct {
	// Model is the model that the caller named.
	Model string
	// Parts are the prompt's parts in their order.
	Parts []PromptPart
	// TokensIn is the number of tokens of the prompt and TokensOut the maximum that may be
	// generated; 0 if unknown.
	TokensIn  int
	TokensOut int
}

// PromptPart is a part of a prompt, which the prompts of other requests may contain, too.
type PromptPart struct {
	ID     string
	Tokens int
}

// sharedPartIDs returns the ids of the prompt's parts that other requests may contain, in their order, at
// most the given number. The last part belongs to the request or its session.
func (p *Prompt) sharedPartIDs(most int) []string {
	var ids []string
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		if len(ids) < most {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// path returns the target without its query.
func (r *Request) path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// content returns the content by which the request is identified. Requests with equal content have
// equal digests.
func (r *Request) content() *quarantine.Content {
	return &quarantine.Content{Host: r.Host, Method: r.Method, Target: r.Target, Account: r.accountName(), Body: r.Body}
}

// maxTrackedParts bounds the parts of a prompt that are tracked as causes of terminations.
const maxTrackedParts = 32

// partDigests returns the digests of the parts that other requests may contain, each once. Of more than
// maxTrackedParts, the last ones are left out.
func (p *Prompt) partDigests() []quarantine.Digest {
	var list []quarantine.Digest
	for _, id := range p.sharedPartIDs(maxTrackedParts) {
		if d := quarantine.PartDigest(id); !slices.Contains(list, d) {
			list = append(list, d)
		}
	}
	return list
}

// placementPrompt returns the prompt as package placement takes it. If shared is set, all parts but
// the last one are marked as likely to be shared with other requests; the last one is specific to
// the request or its session. If it isn't set, the parts are left out.
func (p *Prompt) placementPrompt(shared bool) *placement.Prompt {
	prompt := &placement.Prompt{Tokens: p.TokensIn}
	if !shared {
		return prompt
	}
	for _, part := range p.Parts {
		prompt.Parts = append(prompt.Parts, placement.Part(part))
	}
	prompt.SharedParts = max(0, len(p.Parts)-1)
	return prompt
}

func parsePrompt(header http.Header, names *Headers) Prompt {
	p := Prompt{Model: header.Get(names.Model)}
	in, out, _ := strings.Cut(header.Get(names.TokenCount), ",")
	p.TokensIn = parseCount(in)
	p.TokensOut = parseCount(out)
	for entry := range strings.SplitSeq(header.Get(names.PromptParts), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if ok {
			p.Parts = append(p.Parts, PromptPart{ID: id, Tokens: parseCount(tokens)})
		}
	}
	return p
}

// mayRunAgain reports whether the request may be sent to an upstream once more if it is in the run state.
func (r *Request) mayRunAgain(state runstate.State) bool {
	return state.MayRunAgain(r.Route.Repeatable())
}

// mayDropAnswer reports whether the answer of a run may be dropped to run the request again elsewhere.
func (r *Request) mayDropAnswer() bool {
	return runstate.MayDropAnswer(r.Route.Repeatable(), r.answer.started)
}

// maxTokenCount bounds the counts that callers state. It is some ten times the longest prompt that any
// model takes; with 1e15 tokens, times and sums of them overflow.
const maxTokenCount = 10_000_000

// parseCount parses a count that the caller stated, and bounds it. It returns 0, which means unknown,
// for a malformed one, since the counts are only hints.
func parseCount(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokenCount)
}

// addFailedVersion records that an upstream of the version failed the request. It returns false if this
// was recorded before.
func (r *Request) addFailedVersion(version string) bool {
	if slices.Contains(r.failedVersions, version) {
		return false
	}
	r.failedVersions = append(r.failedVersions, version)
	return true
}
