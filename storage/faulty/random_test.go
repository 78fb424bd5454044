package faulty_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// The drawn faults produce every possible outcome of a commit.
func TestSetRandom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		type outcome struct{ unavailable, unknown, slow, exists, existsLater bool }
		observed := map[outcome]bool{}
		for seed := range uint64(100) {
			inner := memory.NewTable()
			table := faulty.NewTable(inner)
			table.SetRandomFault(rand.New(rand.NewPCG(seed, 0)), faulty.Bounds{Commits: 3, Delay: delay, Late: delay})
			start := time.Now()
			_, err := table.Commit(t.Context(), storagetest.PutTxn(key, "value"))
			o := outcome{unavailable: errors.Is(err, storage.ErrUnavailable), unknown: errors.Is(err, storage.ErrUnknown), slow: time.Since(start) > 0}
			_, err = inner.Get(t.Context(), key)
			o.exists = err == nil
			time.Sleep(delay)
			_, err = inner.Get(t.Context(), key)
			o.existsLater = err == nil
			observed[o] = true
		}
		is.New(t).Equal(observed, map[outcome]bool{
			{unavailable: true}:                              true, // down
			{slow: true, exists: true, existsLater: true}:    true, // delay
			{unknown: true, exists: true, existsLater: true}: true, // response lost
			{unknown: true}:                                  true, // dropped
			{unknown: true, existsLater: true}:               true, // late
			{exists: true, existsLater: true}:                true, // faults cleared
		})
	})
}
