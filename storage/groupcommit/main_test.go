package groupcommit_test

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/groupcommit"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func Example() {
	committer := groupcommit.New(memory.NewTable(), groupcommit.Options{})
	defer func() { _ = committer.Close() }()
	txn := storage.Txn{
		Conditions: []storage.Condition{{Key: "greeting"}},
		Puts:       []storage.Put{{Key: "greeting", Value: []byte("hello")}},
	}
	revision, err := committer.Commit(context.Background(), txn)
	fmt.Println(revision, err)
	// Output: 1 <nil>
}
