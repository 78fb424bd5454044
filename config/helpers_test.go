package config_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// document returns a small valid manifest.
func document(parent, build string) []byte {
	return manifest.Encode(&manifest.Document{
		Format: manifest.Format,
		Parent: parent,
		Build:  build,
		Models: []manifest.Model{{
			Name:     "chat",
			Versions: []manifest.Version{{Name: "v1", State: manifest.Serving, Share: 100}},
		}},
		Classes:  []manifest.Class{{Name: "normal", DeadlineMs: 1000}},
		Sessions: manifest.Sessions{TTLSeconds: 60, OnWithdrawn: manifest.Refuse},
	})
}

func digestOf(data []byte) string { return manifest.DigestCanonical(data) }

// fixture holds a table and an object store with fault injection, and a config.Store that
// uses them.
type fixture struct {
	// rawTable is the table without fault injection.
	rawTable storage.Table
	table    *faulty.Table
	objects  *faulty.Objects
	store    *config.Store
}

func newFixture() *fixture {
	inner := memory.NewTable()
	f := &fixture{rawTable: inner, table: faulty.NewTable(inner), objects: faulty.NewObjects(memory.NewObjects())}
	f.store = f.newStore()
	return f
}

// runWithFixture runs a test with a new fixture in a synctest bubble.
func runWithFixture(t *testing.T, test func(t *testing.T, is *is.I, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), newFixture()) })
}

func (f *fixture) newStore() *config.Store { return config.NewStore(f.table, f.objects) }

// submit submits a manifest that follows parent and returns its head.
func (f *fixture) submit(t testing.TB, parent config.Head, build string) config.Head {
	t.Helper()
	result, err := f.store.Submit(context.Background(), document(parent.Digest, build), "token-"+build)
	is.New(t).NoErr(err)
	return result.Head
}
