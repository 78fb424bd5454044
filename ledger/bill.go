// Package ledger keeps one bill for each dispatched request.
//
// A bill lives in the memory of the host that ran the request, in the custody
// of a peer in another availability zone, and, after the next flush, in the
// platform's table. Bills form a set keyed by ID: writing one twice, by its
// owner and by a peer that thought the owner dead, changes nothing.
//
// The entry host embeds it and serves its traces to operators. A bill that
// Record called at risk (ErrAtRisk) is lost if its host is lost before the
// table or a peer is reached.
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
	// ErrAtRisk means that a bill is kept in this host's memory only: neither a
	// peer nor the table took it in time. It is still flushed later; it is
	// lost only if the host is lost before.
	ErrAtRisk = errors.New("ledger: bill is in memory only")
	// ErrFull means that the host holds as many unwritten bills as it may, so
	// no request should be dispatched.
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
	// Code is the number of the result code; 0 is a whole answer.
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
	// Origin is the key of the segment that first held the count. It keeps a
	// count from being added twice when a segment is read from two places.
	Origin string `json:"origin,omitempty"`
}

// Prefer returns the bill that stands when two have the same ID. The rule
// looks only at the bills, so it gives the same whatever order, segment or
// object they are read from: a whole answer goes before a failure, then the
// earlier time, then the lower epoch, then the lower encoding.
func Prefer(a, b Bill) Bill {
	if compare(a, b) <= 0 {
		return a
	}
	return b
}

func compare(a, b Bill) int {
	if c := cmp.Compare(failed(a), failed(b)); c != 0 {
		return c
	}
	if c := a.At.Compare(b.At); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Epoch, b.Epoch); c != 0 {
		return c
	}
	return bytes.Compare(canonical(a), canonical(b))
}

func failed(b Bill) int {
	if b.Code == 0 {
		return 0
	}
	return 1
}

// canonical is the encoding that breaks ties. A Bill always encodes.
func canonical(b Bill) []byte {
	data, _ := json.Marshal(b)
	return data
}

// normal checks a bill and removes what wouldn't survive encoding.
func normal(b Bill) (Bill, error) {
	if b.ID == "" || b.At.IsZero() {
		return Bill{}, ErrInvalid
	}
	b.At = b.At.Round(0).UTC()
	if len(b.Steps) == 0 {
		b.Steps = nil
	}
	return b, nil
}
