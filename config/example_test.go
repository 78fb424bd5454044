package config_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// A manifest is accepted once. A submission with an outdated parent returns a
// ConflictError with the current head.
func Example() {
	ctx := context.Background()
	store := config.NewStore(memory.NewTable(), memory.NewObjects())

	first, err := store.Submit(ctx, document("", "build-1"), "job-1")
	fmt.Println(first.Head.Epoch, first.AlreadyAccepted, err)

	again, err := store.Submit(ctx, document("", "build-1"), "job-2")
	fmt.Println(again.Head.Epoch, again.AlreadyAccepted, err)

	var conflict *config.ConflictError
	_, err = store.Submit(ctx, document("", "build-2"), "job-3")
	if errors.As(err, &conflict) {
		fmt.Println("conflicts with", conflict.Head.Build)
	}
	// Output:
	// 1 false <nil>
	// 1 true <nil>
	// conflicts with build-1
}
