package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

var errNoLength = errors.New("response has neither Content-Length nor chunked encoding")

// readBody reads a response body of at most limit bytes whose end can be
// verified by Content-Length or the last chunk. It returns ErrBroken for a body
// that is delimited by the close of the connection, because such a body can't be
// distinguished from a truncated one.
func readBody(ctx context.Context, resp *http.Response, limit int) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fmt.Errorf("%w: %w", ErrBroken, errNoLength)
	}
	if resp.ContentLength > int64(limit) {
		return nil, fmt.Errorf("%w: Content-Length is %d bytes", ErrTooLarge, resp.ContentLength)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return nil, brokenError(ctx, err)
	}
	if len(data) > limit {
		return nil, fmt.Errorf("%w: body exceeds %d bytes", ErrTooLarge, limit)
	}
	return data, nil
}

// brokenError wraps a read error as ErrBroken. If ctx was cancelled, the error
// chain includes the cause of the cancellation.
func brokenError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w: %w", ErrBroken, cause, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
