package faulty

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
)

func errDown() error {
	return fmt.Errorf("injected outage: %w", storage.ErrUnavailable)
}

func errResponseLost() error {
	return fmt.Errorf("injected loss of the response: %w", storage.ErrUnknown)
}

// sleep waits for d or the context's end. It returns at once for d of zero.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return wait.For(ctx, d)
}

// copyTxn returns a deep copy, since the caller may reuse its buffers after the
// call.
func copyTxn(txn storage.Txn) storage.Txn {
	copied := storage.Txn{
		Conditions: slices.Clone(txn.Conditions),
		Puts:       slices.Clone(txn.Puts),
		Deletes:    slices.Clone(txn.Deletes),
	}
	for i := range copied.Puts {
		copied.Puts[i].Value = bytes.Clone(copied.Puts[i].Value)
	}
	return copied
}
