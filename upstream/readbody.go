package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

var (
	errNoLength = errors.New("response has neither Content-Length nor chunked encoding")
	errNoMemory = errors.New("no memory for the response")
)

// firstBuffer is the size of the first buffer of a response body, in bytes.
const firstBuffer = 4 << 10

// readBody reads a response body of at most limit bytes whose end can be
// verified by Content-Length or the last chunk. It returns ErrBroken for a body
// that is delimited by the close of the connection, because such a body can't be
// distinguished from a truncated one. If reserve is set, it is called before memory for
// the body is taken, with the number of bytes; readBody returns ErrTooLarge if it
// returns false.
func readBody(ctx context.Context, resp *http.Response, limit int, reserve func(bytes int64) bool) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fmt.Errorf("%w: %w", ErrBroken, errNoLength)
	}
	if resp.ContentLength > int64(limit) {
		return nil, fmt.Errorf("%w: Content-Length is %d bytes", ErrTooLarge, resp.ContentLength)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(firstBuffer, 2*cap(data))
			if reserve != nil && !reserve(int64(size-cap(data))) {
				return nil, fmt.Errorf("%w: %w", ErrTooLarge, errNoMemory)
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := resp.Body.Read(data[len(data):min(cap(data), limit+1)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return nil, fmt.Errorf("%w: body exceeds %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, brokenError(ctx, err)
		}
	}
}

// brokenError wraps a read error as ErrBroken. If ctx was cancelled, the error
// chain includes the cause of the cancellation.
func brokenError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w: %w", ErrBroken, cause, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
