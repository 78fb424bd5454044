// Package claim ensures that a request with a request key runs at most once,
// whichever hosts its duplicates arrive at, and that each duplicate gets the complete
// response of that run.
//
// Before a host sends anything upstream, it claims the request key by a
// conditional write to the platform's table. The claim permanently belongs to
// one process. No other process takes it over, neither after a timeout nor after
// the owner crashed, since an owner that is only paused may still send. A
// duplicate gets the recorded state instead: the response, or that the request is in
// flight, or that it may have run. docs/design/0008-claims.md describes the
// design and its costs.
//
// The entry host uses this package. It isn't guaranteed that a request runs: after a
// failure, a duplicate may get only the error that the request may have run. Once the row
// of a key has expired and been swept, the key can be used again.
package claim
