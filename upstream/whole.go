package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

var errNoLength = errors.New("answer has neither length nor chunks")

// readWhole reads a body of at most limit bytes whose end can be verified: by
// Content-Length or by the last chunk. A body that ends with its connection
// can't be told from one that was cut, so it counts as broken.
func readWhole(ctx context.Context, resp *http.Response, limit int) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fmt.Errorf("%w: %w", ErrBroken, errNoLength)
	}
	if resp.ContentLength > int64(limit) {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, resp.ContentLength)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return nil, brokenBy(ctx, err)
	}
	if len(data) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
	}
	return data, nil
}

// brokenBy wraps a read error as ErrBroken, with the cause of a cancelled
// context in the chain.
func brokenBy(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w: %w", ErrBroken, cause, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
