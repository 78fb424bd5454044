package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// rowPrefix is the prefix of all claim rows.
const rowPrefix = "claim/"

// Key identifies a request that runs at most once.
type Key struct {
	// Account is the client account's name.
	Account string `json:"account"`
	// RequestKey is the caller's own key, unique within its account.
	RequestKey string `json:"request_key"`
}

// row returns the table's key. The hash bounds its length and spreads rows
// evenly, so that hosts can sweep separate ranges; the length in front keeps
// two keys from having the same input.
func (k Key) row() string {
	input := strconv.Itoa(len(k.Account)) + ":" + k.Account + k.RequestKey
	sum := sha256.Sum256([]byte(input))
	return rowPrefix + hex.EncodeToString(sum[:])
}

// Result is a whole finished answer and where it came from.
type Result struct {
	// Code is the numbered result code.
	Code int `json:"code"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Header is the answer's header as the caller got it, in the encoding of
	// the package that made it.
	Header []byte `json:"header,omitempty"`
	// Body is the answer's whole body.
	Body []byte `json:"body,omitempty"`
	// Model and Version are what the request ran on; empty for plain services.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Upstream is the ID of the upstream that answered.
	Upstream string `json:"upstream"`
	// Epoch is the number of the manifest in force at the run.
	Epoch uint64 `json:"epoch"`
	// RequestID is the ID of the request that ran.
	RequestID string `json:"request_id"`
}

// size is the length of the parts without a bound of their own.
func (r Result) size() int { return len(r.Header) + len(r.Body) }

// state is where a claim stands.
type state string

const (
	// inFlight is claimed; its owner may be running it.
	inFlight state = "in-flight"
	// released was never sent and may be claimed again.
	released state = "released"
	// mayHaveRun was sent and has no answer.
	mayHaveRun state = "may-have-run"
	// finished has its whole answer.
	finished state = "finished"
	// answerGone may have run and its answer isn't kept.
	answerGone state = "answer-gone"
)

// record is the value of a claim's row.
type record struct {
	Key
	State state `json:"state"`
	// Token identifies the attempt that owns the claim.
	Token string `json:"token"`
	// Host and Process are the owner; Process differs at each start.
	Host    string `json:"host"`
	Process string `json:"process"`
	// Digest is the hex digest of the request.
	Digest    string    `json:"digest"`
	RequestID string    `json:"request_id"`
	ClaimedAt time.Time `json:"claimed_at"`
	// Result is set when finished, without header and body if those are in
	// the object named by Object.
	Result *Result `json:"result,omitempty"`
	Object string  `json:"object,omitempty"`
}

// with returns the record in a new state, without an answer.
func (r record) with(s state) record {
	r.State = s
	r.Result = nil
	r.Object = ""
	return r
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("claim: encode row: %w", err)
	}
	return data, nil
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, fmt.Errorf("claim: decode row: %w", err)
	}
	return r, nil
}
