// Package client implements the interfaces of package storage over the JSON
// protocol of package protocol.
//
// Its heart is what a failed commit may claim. A commit gives
// platform.ErrUnavailable only where no byte of it was handed to the operating
// system, or where the server said that it had no effect. Every other failure
// gives platform.ErrUnknown: a lost connection, a timeout, a damaged answer, an
// answer to another call, an error status that doesn't speak of the effect.
//
// No call is sent twice. The package repeats nothing by itself, and net/http
// is kept from it: commits carry no idempotency key and a body that can't be
// rewound, and redirects aren't followed.
//
// The commands that run a host or talk to a platform use it. It promises no
// more than the server keeps, and its connections aren't authenticated.
package client
