// Package memory implements the interfaces of package storage in the memory
// of one process. Tests use it, and the stand-in of the platform's services is
// built on it. Nothing is stored beyond the life of the process.
//
// Every type is safe for concurrent use. A call whose context has ended before
// it has no effect and returns an error that wraps storage.ErrUnavailable and
// the context's error.
package memory

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/storage"
)

// checkContext returns an error if the context has ended.
func checkContext(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return nil
}
