package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// Request is one caller's request in flight. One goroutine at a time uses it.
type Request struct {
	// Set when it arrives.

	ID string
	// Arrived and Deadline are moments of boottime: a caller's patience ends while the
	// host is suspended, too.
	Arrived time.Time
	Method  string
	// Target is the request target as the caller sent it: path and query.
	Target string
	Host   string
	// Header is the caller's; it isn't changed.
	Header http.Header
	Prompt Prompt
	// Session names requests that belong together; may be empty.
	Session string

	// Set by the filters.

	Table    *routing.Table
	Route    *routing.Route
	Account  *routing.Account
	Deadline time.Time
	Body     []byte
	Service  string
	// Digest names the request by its content, the same for each repeat by its caller.
	Digest quarantine.Digest

	// homes are the regions in which the next attempt may be made.
	homes homes
	// relativePrompt is the mean size of the route's prompts against the service's.
	relativePrompt float64

	answer *answerWriter
	// state is the highest run state of all attempts.
	state runstate.Tracker
	// attempts counts the upstreams that were tried, missed those of them where the
	// request's upstream wasn't there any more.
	attempts int
	missed   int
	// tried are the ids of the upstreams that were tried.
	tried []string
	// model is the model that runs the request; empty for plain services.
	model string
}

// Prompt describes a model request's sizes.
type Prompt struct {
	// Model is what the caller asked for.
	Model string
	// Parts are the prompt's parts in their order.
	Parts []PromptPart
	// TokensIn and TokensOut are the prompt's tokens and the most that may be
	// generated; 0 if unknown.
	TokensIn  int
	TokensOut int
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// path is the target without its query.
func (r *Request) path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// content is what makes two requests the same one.
func (r *Request) content() *quarantine.Content {
	return &quarantine.Content{Host: r.Host, Method: r.Method, Target: r.Target, Account: r.accountName(), Body: r.Body}
}

// reading is the prompt as an engine reads it. All parts but the last one are likely to
// be shared with other requests, if the route says so at all; the last one belongs to the
// request or its session.
func (p *Prompt) reading(shared bool) *placement.Prompt {
	prompt := &placement.Prompt{Tokens: p.TokensIn}
	if !shared {
		return prompt
	}
	for _, part := range p.Parts {
		prompt.Parts = append(prompt.Parts, placement.Part(part))
	}
	prompt.Shared = max(0, len(p.Parts)-1)
	return prompt
}

func parsePrompt(header http.Header, names *Headers) Prompt {
	p := Prompt{Model: header.Get(names.Model)}
	in, out, _ := strings.Cut(header.Get(names.TokenCount), ",")
	p.TokensIn = number(in)
	p.TokensOut = number(out)
	for entry := range strings.SplitSeq(header.Get(names.PromptParts), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if ok {
			p.Parts = append(p.Parts, PromptPart{ID: id, Tokens: number(tokens)})
		}
	}
	return p
}

// number reads a count that callers give as a hint; what can't be read counts
// as unknown.
func number(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
