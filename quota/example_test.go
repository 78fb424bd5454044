package quota_test

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/quota"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func Example() {
	limiter := quota.New(quota.Options{Table: memory.NewTable(), Host: "host-1"})
	limiter.SetLimits(1, []quota.Limit{{Account: "acme", Rate: 10, Burst: 4}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		limiter.Run(ctx)
	}()
	granted := false
	for !granted {
		// Requests are refused until Run has obtained slots.
		granted, _ = limiter.Take("acme", 1)
		time.Sleep(10 * time.Millisecond)
	}
	ok, retryAfter := limiter.Take("acme", 100)
	fmt.Println(granted, ok, retryAfter > 0)
	cancel()
	<-done
	fmt.Println(limiter.Leave(context.Background()))
	// Output:
	// true false true
	// <nil>
}
