// Package sealedconn ties the bytes written to HTTP/1.1 connections to the
// calls that they belong to. The clients of upstreams and of the platform use
// it to say truthfully whether a failed call was sent.
//
// A call can end while the transport's goroutine is about to write its
// request. Sealing settles that race: what Seal says of a call stays true,
// since no byte of it can be written any more.
//
// The package doesn't know whether written bytes arrived, and follows only
// connections that its transport dialled. Only HTTP/1.1 will do, where one
// call at a time has a connection.
package sealedconn
