// Package quarantine detects poison requests, which terminate each upstream that runs them
// (queries of death), from what hosts observe of terminated upstreams, and keeps them away from
// upstreams.
//
// A request is identified by a digest of its route, account and body, so that a retry by its
// caller counts as the same request even under another ID and at another host. When an upstream
// terminates, it loses all requests that it runs; one of them is the cause and the others are
// sound. They are told apart by which requests are lost together again when the next upstream
// terminates, and by which are answered elsewhere.
//
// The package does no input or output. A Tracker processes losses and survivals and finds the
// causes; a Register stores the verdicts in force.
package quarantine
