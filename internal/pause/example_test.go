package pause_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/internal/pause"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func Example() {
	ctx := context.Background()
	process := pause.NewProcess()
	table := process.TableFailingAfterKill(memory.NewTable())

	process.Pause()
	done := make(chan error)
	go func() {
		_, err := table.Get(ctx, "key")
		done <- err
	}()
	fmt.Println("paused:", process.Paused())
	process.Resume()
	fmt.Println("resumed:", errors.Is(<-done, storage.ErrNotFound))

	process.Kill()
	_, err := table.Get(ctx, "key")
	fmt.Println("killed:", errors.Is(err, storage.ErrUnavailable))
	// Output:
	// paused: true
	// resumed: true
	// killed: true
}
