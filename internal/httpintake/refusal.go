package httpintake

import (
	"errors"
	"net/http"

	"github.com/quetzalweir/quetzalweir/resultcode"
)

// BodyRefusal returns the refusal of a request for which ReadBody returned err.
func BodyRefusal(err error) *resultcode.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return resultcode.Wrap(resultcode.BodyTooLarge, err, "the body is over %d bytes", tooLarge.Limit)
	case errors.Is(err, ErrNoMemory):
		return resultcode.Wrap(resultcode.HostMemory, err, "the host has no memory for the request")
	case errors.Is(err, ErrBodyTimeout):
		return resultcode.Wrap(resultcode.BodyTimeout, err, "the body wasn't received in time")
	default:
		return resultcode.Wrap(resultcode.MalformedBody, err, "the body ended early or can't be read")
	}
}

// ClosesAfter reports whether the connection has to be closed after a refusal with the code: a body that
// wasn't received in time, or for which there was no memory, isn't read further. The rest of any other unread
// body is awaited for a short time (BodyUnread). c may be nil.
func (c *Conn) ClosesAfter(code resultcode.Code) bool {
	unread := c != nil && c.BodyUnread()
	return unread && (code == resultcode.HostMemory || code == resultcode.BodyTimeout)
}
