package responsecheck

import (
	"io"
	"net/http"
)

// EndOfData returns the error of a read at which the data of a connection ended, given the error of the last write to
// it, or nil. A response may end with its connection, which makes it complete only if the peer closed the connection in
// order. The system reports a reset once. If a write received it, reads return the end of the data as after an orderly
// close.
func EndOfData(writeErr error) error {
	if writeErr == nil {
		return io.EOF
	}
	return &Error{Fault: Reset, Err: writeErr}
}

// End is the end of a response's body as the transport sees it.
type End struct {
	Status int
	// EndsWithConnection is set if the body has neither a length nor chunks, and ended with its connection.
	EndsWithConnection bool
	// RequestWritten is set if the request was written whole.
	RequestWritten bool
}

// NeedsWholeRequest reports whether the response is complete only if its request was written whole. A server may refuse
// a request that it hasn't read, and that refusal may end with its connection. A success that ends so, while the request
// is still being written, can't be told from that of a server that terminated: if the server had read all that it
// received by then, the system closed the connection in order.
func (e End) NeedsWholeRequest() bool {
	return e.EndsWithConnection && e.Status < http.StatusMultipleChoices
}

// Check returns io.EOF if the response is complete, and an error otherwise.
func (e End) Check() error {
	if e.NeedsWholeRequest() && !e.RequestWritten {
		return &Error{Fault: RequestIncomplete}
	}
	return io.EOF
}
