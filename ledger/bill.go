// Package ledger stores one bill for each dispatched request.
//
// A bill is kept in the memory of the host that ran the request, in the memory
// of a peer in another availability zone, and, after the next flush, in the
// platform's table. Bills form a set keyed by ID. Writing the same bill twice,
// by its owner and by a peer that considered the owner down, changes nothing.
//
// The entry host embeds the ledger and serves traces (the bills and refusal
// counts of a manifest, or the bill of a request) to operators. A bill
// for which Record returned ErrAtRisk is lost if its host is lost before the
// bill reaches the table or a peer.
package ledger

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"time"
)

// Errors of this package.
var (
	// ErrAtRisk means that a bill is in this host's memory only: neither a peer
	// nor the table accepted it in time. It is still copied and flushed later,
	// and is lost only if the host is lost before that.
	ErrAtRisk = errors.New("ledger: bill is in memory only")
	// ErrFull means that the host has Options.MaxPending or more unwritten bills,
	// so no request should be dispatched.
	ErrFull = errors.New("ledger: too many unwritten bills")
	// ErrInvalid means that a bill has no ID or no time.
	ErrInvalid = errors.New("ledger: invalid bill")
	// ErrCorrupt means that stored bills can't be decoded.
	ErrCorrupt = errors.New("ledger: corrupt segment")
	// ErrUnwritten means that bills were left unwritten at the end of a drain.
	ErrUnwritten = errors.New("ledger: bills left unwritten")
)

// Step is one model's part in a request's answer.
type Step struct {
	Model            string `json:"model"`
	Version          string `json:"version"`
	Upstream         string `json:"upstream"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	// CostMicro is the step's cost in micro units of currency.
	CostMicro int64 `json:"cost_micro"`
}

// Bill is the charge for one dispatched request. A request that the system or
// an upstream failed has a bill with the charge 0.
type Bill struct {
	// ID is unique to the request: the account and request key where the
	// caller gave a key, else the request ID.
	ID        string `json:"id"`
	Account   string `json:"account"`
	RequestID string `json:"request_id"`
	Model     string `json:"model,omitempty"`
	Version   string `json:"version,omitempty"`
	Service   string `json:"service,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Class     string `json:"class,omitempty"`
	// Epoch is the epoch of the manifest that the request ran under.
	Epoch uint64 `json:"epoch"`
	// Code is the number of the result code; 0 is a complete answer.
	Code int `json:"code"`
	// RunState is the wire form of the request's run state.
	RunState string `json:"run_state"`
	// Attempts is how many times the request was sent to an upstream.
	Attempts         int    `json:"attempts"`
	Steps            []Step `json:"steps,omitempty"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	// CostMicro is the charge in micro units of currency.
	CostMicro int64 `json:"cost_micro"`
	// At is when the answer ended, by the clock of the host that ran it.
	At time.Time `json:"at"`
}

// RefusalCount is how many requests a host refused with one code before
// anything was sent. Refusals aren't billed.
type RefusalCount struct {
	Account string `json:"account"`
	Epoch   uint64 `json:"epoch"`
	Code    int    `json:"code"`
	Count   int    `json:"count"`
	// Origin is the key of the segment that first held the count. By it readers
	// detect a count that they read twice, from the segment and from a compacted
	// copy, and add it once.
	Origin string `json:"origin,omitempty"`
}

// Prefer returns the bill to keep if two have the same ID. The choice depends
// only on the bills, not on the order, segment or object that they are read
// from: the bill of a complete answer takes precedence over that of a failure,
// then the one with the earlier time, the lower epoch and the lower encoding.
func Prefer(a, b Bill) Bill {
	if compareBills(a, b) <= 0 {
		return a
	}
	return b
}

func compareBills(a, b Bill) int {
	if c := cmp.Compare(failureRank(a), failureRank(b)); c != 0 {
		return c
	}
	if c := a.At.Compare(b.At); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Epoch, b.Epoch); c != 0 {
		return c
	}
	return bytes.Compare(canonicalEncoding(a), canonicalEncoding(b))
}

func failureRank(b Bill) int {
	if b.Code == 0 {
		return 0
	}
	return 1
}

// canonicalEncoding returns the encoding that breaks ties in compareBills. Marshal
// doesn't fail for a Bill.
func canonicalEncoding(b Bill) []byte {
	data, _ := json.Marshal(b)
	return data
}

// normalize validates a bill and removes what encoding would not preserve: the
// monotonic clock reading, the location of the time, and an empty list of steps.
func normalize(b Bill) (Bill, error) {
	if b.ID == "" || b.At.IsZero() {
		return Bill{}, ErrInvalid
	}
	b.At = b.At.Round(0).UTC()
	if len(b.Steps) == 0 {
		b.Steps = nil
	}
	return b, nil
}
