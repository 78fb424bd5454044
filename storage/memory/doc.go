// Package memory implements the interfaces of package storage in the memory
// of one process. It serves tests, and the stand-in of the platform's services
// is built on it. Nothing outlives the process.
//
// Every type is safe for concurrent use. Where a context has ended before a
// call, the call has no effect and gives storage.ErrUnavailable together with
// the context's error.
package memory

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/storage"
)

// checkContext refuses a call whose context has ended, before any effect.
func checkContext(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return nil
}
