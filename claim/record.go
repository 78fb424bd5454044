package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// rowPrefix is the key prefix of all claim rows.
const rowPrefix = "claim/"

// Key identifies a request that must run at most once.
type Key struct {
	// Account is the client account's name.
	Account string `json:"account"`
	// RequestKey is the key set by the caller, unique within its account.
	RequestKey string `json:"request_key"`
}

// rowKey returns the key of the row in the table. It contains a hash, which limits
// the key's length and distributes the rows evenly, so that hosts can sweep separate
// ranges. The length prefix ensures that different Keys have different hash inputs.
func (k Key) rowKey() string {
	input := strconv.Itoa(len(k.Account)) + ":" + k.Account + k.RequestKey
	sum := sha256.Sum256([]byte(input))
	return rowPrefix + hex.EncodeToString(sum[:])
}

// Result is a complete response and where it came from.
type Result struct {
	// Code is the number of the result code, from package resultcode.
	Code int `json:"code"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Header is the response header as sent to the caller, in the encoding of
	// the package that created the Result.
	Header []byte `json:"header,omitempty"`
	// Body is the complete response body.
	Body []byte `json:"body,omitempty"`
	// Model and Version are the model and version that the request ran on. They are
	// empty for services without models.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Upstream is the ID of the upstream that responded.
	Upstream string `json:"upstream"`
	// Epoch is the epoch of the manifest in force when the request ran.
	Epoch uint64 `json:"epoch"`
	// RequestID is the ID of the request that ran.
	RequestID string `json:"request_id"`
}

// size returns the total length of the header and body, the only parts without a
// limit of their own.
func (r Result) size() int { return len(r.Header) + len(r.Body) }

// state is the state of a claim.
type state string

const (
	// inFlight means that the key is claimed and its owner may be running the
	// request.
	inFlight state = "in-flight"
	// released means that the request wasn't sent and the key may be claimed
	// again.
	released state = "released"
	// mayHaveRun means that the request was sent and has no complete response.
	mayHaveRun state = "may-have-run"
	// finished means that the complete result is stored.
	finished state = "finished"
	// resultGone means that the request may have run and its result isn't
	// stored.
	resultGone state = "answer-gone"
)

// record is the value of a claim's row.
type record struct {
	Key
	State state `json:"state"`
	// Token identifies the attempt that owns the claim.
	Token string `json:"token"`
	// Host and Process identify the owner. Process is a new ID at each start of
	// the host.
	Host    string `json:"host"`
	Process string `json:"process"`
	// Digest is the digest of the request, in hex.
	Digest    string    `json:"digest"`
	RequestID string    `json:"request_id"`
	ClaimedAt time.Time `json:"claimed_at"`
	// Result is set if the state is finished. Its header and body are empty if
	// they are stored in the object named by Object.
	Result *Result `json:"result,omitempty"`
	Object string  `json:"object,omitempty"`
}

// withState returns a copy of the record with the state s and without a result.
func (r record) withState(s state) record {
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
