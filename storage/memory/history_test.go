package memory_test

import (
	"testing"

	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

func TestTableIsLinearizable(t *testing.T) {
	for _, lost := range []int{0, 4} {
		for seed := range uint64(5) {
			table := faulty.NewTable(memory.NewTable())
			table.LoseNextResponses(lost)
			table.DropNextCommits(lost)
			recorder := storagetest.NewRecorder(table)
			storagetest.Workload{Clients: 8, Rounds: 60, Keys: 3, Seed: seed}.Run(t.Context(), recorder)
			storagetest.CheckTable(t, recorder.History())
		}
	}
}
