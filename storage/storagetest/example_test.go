package storagetest_test

import (
	"context"
	"fmt"

	"github.com/anishathalye/porcupine"

	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// The calls of concurrent clients of a table are recorded, and their history is
// checked.
func ExampleRecorder() {
	recorder := storagetest.NewRecorder(memory.NewTable())
	storagetest.Workload{Clients: 3, Rounds: 10, Keys: 2}.Run(context.Background(), recorder)
	fmt.Println(porcupine.CheckOperations(storagetest.Model(), recorder.History()))
	// Output: true
}
