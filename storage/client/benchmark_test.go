package client_test

import (
	"strings"
	"testing"

	"github.com/quetzalweir/quetzalweir/storage/client"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// rowBytes is the size of the rows of the benchmarks.
const rowBytes = 256

func BenchmarkTable(b *testing.B) {
	_, url := startStandin(b, unlimitedOptions())
	table := newClient(b, url, client.Options{MaxIdle: client.DefaultMaxConnections}).Table()
	row := storagetest.PutTxn(key, strings.Repeat("a", rowBytes))
	b.Run("commit", func(b *testing.B) {
		benchmarkCall(b, func() error {
			_, err := table.Commit(b.Context(), row)
			return err
		})
	})
	b.Run("get", func(b *testing.B) {
		benchmarkCall(b, func() error {
			_, err := table.Get(b.Context(), key)
			return err
		})
	})
}

func benchmarkCall(b *testing.B, call func() error) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := call(); err != nil {
				b.Error(err)
			}
		}
	})
}
