package claim_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func Example() {
	ctx := context.Background()
	store := claim.NewStore(claim.Options{
		Table:   memory.NewTable(),
		Objects: memory.NewObjects(),
		Host:    "host-a",
	})
	key := claim.Key{Account: "dealer-12", RequestKey: "bid-4711"}
	digest := sha256.Sum256([]byte(`{"lot":7,"bid":1200}`))

	held, err := store.Acquire(ctx, key, digest, "req-1")
	if err != nil {
		fmt.Println(err)
		return
	}
	// The request is sent here, once.
	err = held.Finish(ctx, claim.Result{Status: 200, Body: []byte("confirmed"), RequestID: "req-1"})
	fmt.Println("recorded:", err == nil)

	_, err = store.Acquire(ctx, key, digest, "req-2")
	var done *claim.DoneError
	if errors.As(err, &done) {
		fmt.Printf("duplicate gets %q of %s\n", done.Result.Body, done.Result.RequestID)
	}
	// Output:
	// recorded: true
	// duplicate gets "confirmed" of req-1
}
