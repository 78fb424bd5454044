package httpintake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/quetzalweir/quetzalweir/intake"
)

const (
	// firstBody is the size of the first buffer of a body, in bytes.
	firstBody = 4 << 10
	// bodyProbe is the size of the buffer that receives what follows a full buffer, which is usually only
	// the end of the body, in bytes.
	bodyProbe = 512
)

// ReadBody reads the body of a request, of at most limit bytes, within the timeout, and accounts it. A larger
// body than the host has memory for is refused like one above the limit. On success, the request counts as
// read and isn't ended in favor of others.
func (c *Conn) ReadBody(w http.ResponseWriter, req *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	limit = min(limit, c.pool.limits.MaxBody(0))
	if req.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	var data []byte
	if req.ContentLength != 0 {
		// If the connection doesn't support deadlines, the time isn't bounded.
		_ = control.SetReadDeadline(time.Now().Add(timeout))
		// Both may have happened before the deadline was set.
		if c.yielding() {
			return nil, ErrNoMemory
		}
		if c.pool.bodiesEnded.Load() {
			return nil, ErrBodyTimeout
		}
		var err error
		data, err = c.readBody(http.MaxBytesReader(w, req.Body, limit), req.ContentLength)
		if err != nil {
			return nil, err
		}
		// The server detects by a read that the caller disconnects.
		_ = control.SetReadDeadline(time.Time{})
	}
	if !c.setStage(intake.Serving) || !c.Reserve(intake.ForRequest, intake.ServingBytes) {
		return nil, ErrNoMemory
	}
	return data, nil
}

// readBody reads a body of a known length, or of any if length is negative.
func (c *Conn) readBody(body io.Reader, length int64) ([]byte, error) {
	var data []byte
	var probe [bodyProbe]byte
	for {
		var n int
		var err error
		if len(data) < cap(data) {
			n, err = body.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
		} else if n, err = body.Read(probe[:]); n > 0 {
			if data = c.growBody(data, probe[:n], length); data == nil {
				return nil, ErrNoMemory
			}
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, c.bodyError(err)
		}
	}
}

// growBody returns the data with more appended, in a larger buffer, or nil if there is no memory for it. The
// buffer grows with what was received, so that a caller that states a length takes no memory by that.
func (c *Conn) growBody(data, more []byte, length int64) []byte {
	size := int64(max(firstBody, 2*cap(data)))
	if length >= 0 {
		size = min(size, length)
	}
	size = max(size, int64(len(data)+len(more)))
	if !c.Reserve(intake.ForRequest, size) {
		return nil
	}
	released := int64(cap(data))
	data = append(append(make([]byte, 0, size), data...), more...)
	c.Release(intake.ForRequest, released)
	return data
}

// bodyError returns the error of ReadBody for an error of the body.
func (c *Conn) bodyError(err error) error {
	switch {
	case c.yielding():
		return ErrNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrBodyTimeout
	default:
		return err
	}
}

// yielding reports whether the connection is to end in favor of others.
func (c *Conn) yielding() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.entry.Yielding()
}
