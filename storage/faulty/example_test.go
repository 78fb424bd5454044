package faulty_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// The response to a commit is lost after the write took effect.
func ExampleTable_LoseNextResponses() {
	ctx := context.Background()
	table := faulty.NewTable(memory.NewTable())
	table.LoseNextResponses(1)
	_, err := table.Commit(ctx, storage.Txn{Puts: []storage.Put{{Key: "a", Value: []byte("1")}}})
	fmt.Println(errors.Is(err, storage.ErrUnknown))
	row, err := table.Get(ctx, "a")
	fmt.Println(string(row.Value), err)
	// Output:
	// true
	// 1 <nil>
}
