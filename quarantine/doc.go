// Package quarantine finds requests that end each upstream that runs them, by what
// hosts saw of upstreams that ended, and keeps such requests away from upstreams.
//
// A request is known by a digest of its route, account and body, so that a repeat by its
// caller, under another id and at another host, is the same one. When an upstream ends, all
// that it ran ends with it: of these requests one is to blame and the others are
// sound. What tells them apart is what comes together again when the next upstream
// ends, and what is answered elsewhere.
//
// The package does no input or output. A Tracker takes losses and survivals and
// judges; a Register keeps the judgements that are in force.
package quarantine
