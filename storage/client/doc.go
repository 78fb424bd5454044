// Package client implements the interfaces of package storage over the JSON
// protocol of package protocol.
//
// Its main concern is which error a failed commit returns. A commit returns
// storage.ErrUnavailable only if no byte of it was handed to the operating
// system, or if the server stated that it had no effect. Every other failure,
// apart from a conflict that the server states, returns storage.ErrUnknown: a
// lost connection, a timeout, a damaged response, a response to another call, an
// error status without a statement about the effect.
//
// No commit or write is sent twice. The package retries nothing by itself, and
// net/http can't retry them either: they carry no idempotency key and a body
// that can't be rewound, and redirects aren't followed.
//
// The commands that run a host or connect to a platform use it. Its guarantees
// are those of the server, and its connections aren't authenticated.
package client
