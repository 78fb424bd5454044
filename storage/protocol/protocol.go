// Package protocol holds the messages, paths and headers of the JSON protocol
// between the system and its platform. docs/PLATFORM-PROTOCOL.md describes it.
//
// Package storage/client and the platform's stand-in share it. It contains no
// logic and validates nothing.
package protocol

import "github.com/quetzalweir/quetzalweir/storage"

// Paths of the calls.
const (
	// PathRow reads a row: GET with QueryKey.
	PathRow = "/v1/table/row"
	// PathRows lists rows: GET with QueryPrefix, QueryAfter and QueryLimit.
	PathRows = "/v1/table/rows"
	// PathCommit commits a transaction: POST of a storage.Txn.
	PathCommit = "/v1/table/commit"
	// PathObject writes or reads an object: PUT or GET with QueryName.
	PathObject = "/v1/object"
	// PathHosts reads the host list, or its changes: GET with QuerySince.
	PathHosts = "/v1/hosts"
	// PathRating rates an answer: POST of a RatingRequest.
	PathRating = "/v1/rating"
)

// Names of the query parameters.
const (
	QueryKey    = "key"
	QueryPrefix = "prefix"
	QueryAfter  = "after"
	QueryLimit  = "limit"
	QueryName   = "name"
	QuerySince  = "since"
)

// Names of the headers.
const (
	// HeaderCall carries the caller's ID of the call. The response repeats it,
	// so that the caller detects a response to another call.
	HeaderCall = "Platform-Call"
	// HeaderEffect, with the value EffectNone, states that the call had no effect
	// and never will. Without it a failed call may have had an effect.
	HeaderEffect = "Platform-Effect"
	// EffectNone is the only value of HeaderEffect.
	EffectNone = "none"
)

// RowsResponse is the response to PathRows.
type RowsResponse struct {
	Rows []storage.Row `json:"rows"`
}

// CommitResponse is the response to PathCommit.
type CommitResponse struct {
	// Revision is the revision of the transaction, at least 1.
	Revision uint64 `json:"revision"`
}

// HostsResponse is the response to PathHosts.
type HostsResponse struct {
	// Cursor identifies this state of the list, for QuerySince of a later call.
	Cursor string `json:"cursor"`
	// Full reports whether Hosts holds the whole list. Otherwise the response
	// holds the changes since the cursor of the call.
	Full bool `json:"full"`
	// Hosts holds the hosts added or changed.
	Hosts []storage.Host `json:"hosts"`
	// Removed holds the IDs of the hosts removed; empty if Full.
	Removed []string `json:"removed,omitempty"`
}

// RatingRequest is the body of PathRating.
type RatingRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

// ErrorResponse is the body of a response with an error status. It is for logs only;
// callers don't depend on it.
type ErrorResponse struct {
	Error string `json:"error"`
}
