package memory_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// A row can be created only once: the second attempt conflicts.
func ExampleTable() {
	ctx := context.Background()
	table := memory.NewTable()
	create := storage.Txn{
		Conditions: []storage.Condition{{Key: "lease"}},
		Puts:       []storage.Put{{Key: "lease", Value: []byte("host-1")}},
	}
	revision, err := table.Commit(ctx, create)
	fmt.Println(revision, err)
	_, err = table.Commit(ctx, create)
	fmt.Println(errors.Is(err, storage.ErrConflict))
	// Output:
	// 1 <nil>
	// true
}
