// Package claim runs a request with a request key at most once, on whichever
// hosts its duplicates arrive, and returns the complete response of that run to
// each duplicate.
//
// Before a host sends anything upstream, it claims the request key by a
// conditional write to the platform's table. The claim permanently belongs to
// one process. No other process takes it over, neither after a timeout nor after
// the owner crashed, since an owner that is only paused may still send. A
// duplicate gets the known state instead: the response, that the request is in
// flight, or that it may have run. docs/design/0008-claims.md describes the
// design and its costs.
//
// The entry host uses it. Execution isn't guaranteed: after a failure, the result
// of a duplicate may be only that the request may have run. Once the row of a key
// has expired and been swept, the key can be used again.
package claim
