package lease_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/lease"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func Example() {
	ctx := context.Background()
	table := memory.NewTable()
	first := lease.NewManager(lease.Options{Table: table})
	second := lease.NewManager(lease.Options{Table: table})

	held, err := first.Acquire(ctx, "pool/report", "host-a", 10*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("host-a:", held.Valid(), held.Fencing())

	_, err = second.Acquire(ctx, "pool/report", "host-b", 10*time.Second)
	var other *lease.HeldError
	fmt.Println("host-b has to wait:", errors.As(err, &other))

	_ = held.Release(ctx)
	next, err := second.Acquire(ctx, "pool/report", "host-b", 10*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("host-b:", next.Valid(), next.Fencing())
	// Output:
	// host-a: true 1
	// host-b has to wait: true
	// host-b: true 2
}
