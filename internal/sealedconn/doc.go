// Package sealedconn tracks which HTTP/1.1 call each write to a connection belongs
// to. The clients of upstreams and of the platform use it to report correctly
// whether a failed call was sent.
//
// A call can end while the transport's goroutine is about to write its request.
// Sealing the call resolves that race: once Seal has returned NotStarted or
// NothingWritten, no byte of the call can be written any more.
//
// Its Transport returns only valid responses, and its connections tell a reset from an orderly
// close also if a write received the reset. Package responsecheck decides what is valid and complete.
//
// The package can't tell whether written bytes were received, and tracks only
// connections that its transport dialled. It requires HTTP/1.1, where a connection
// serves one call at a time.
package sealedconn
