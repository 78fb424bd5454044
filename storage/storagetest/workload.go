package storagetest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/quetzalweir/quetzalweir/storage"
)

// checkTimeout bounds the search for a linearization of a history.
const checkTimeout = time.Minute

// Workload describes concurrent clients that read, compare and swap a few rows.
type Workload struct {
	// Clients is the number of concurrent clients.
	Clients int
	// Rounds is the number of rounds of each client. A round is a read, mostly
	// followed by a commit.
	Rounds int
	// Keys is the number of rows that the clients contend for.
	Keys int
	// Seed is the seed of the random choice of calls.
	Seed uint64
}

// Run runs the workload to its end. It ignores the errors of calls.
func (w Workload) Run(ctx context.Context, table storage.Table) {
	var group sync.WaitGroup
	for client := range w.Clients {
		group.Go(func() { w.runClient(ctx, table, client) })
	}
	group.Wait()
}

func (w Workload) runClient(ctx context.Context, table storage.Table, client int) {
	random := rand.New(rand.NewPCG(w.Seed, uint64(client)))
	for round := range w.Rounds {
		key := w.key(random)
		if random.IntN(4) == 0 {
			_, _ = table.List(ctx, "key/", key, 1+random.IntN(w.Keys))
			continue
		}
		row, _ := table.Get(ctx, key)
		value := []byte(fmt.Sprintf("%d.%d", client, round))
		_, _ = table.Commit(ctx, w.transaction(random, key, row.Version, value))
	}
}

// transaction returns a transaction that replaces the row of key on condition of
// its version. Some transactions also put or delete another row without a
// condition.
func (w Workload) transaction(random *rand.Rand, key string, version uint64, value []byte) storage.Txn {
	txn := storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	}
	switch random.IntN(4) {
	case 0:
		txn.Puts = append(txn.Puts, storage.Put{Key: w.key(random), Value: value})
	case 1:
		txn.Deletes = append(txn.Deletes, w.key(random))
	}
	return txn
}

func (w Workload) key(random *rand.Rand) string {
	return fmt.Sprintf("key/%d", random.IntN(w.Keys))
}

// CheckTable fails the test if the history isn't linearizable under Model, or if
// the search takes more than a minute.
func CheckTable(t testing.TB, history []porcupine.Operation) {
	t.Helper()
	CheckModel(t, "table", Model(), history)
}
