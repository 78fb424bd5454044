package storagetest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

// HasErrorClass reports whether err wraps want, one of the error classes of
// package storage, and no other class. If want is nil, err must be nil.
func HasErrorClass(err, want error) bool {
	classes := []error{storage.ErrConflict, storage.ErrUnavailable, storage.ErrUnknown, storage.ErrNotFound}
	for _, class := range classes {
		if errors.Is(err, class) != (class == want) {
			return false
		}
	}
	return (err == nil) == (want == nil)
}

// PutTxn returns a transaction that writes a row without a condition.
func PutTxn(key, value string) storage.Txn {
	return storage.Txn{Puts: []storage.Put{{Key: key, Value: []byte(value)}}}
}

// TestTable checks the behaviour required of every table without faults. Each
// call of newTable must return a table without rows.
func TestTable(t *testing.T, newTable func(t *testing.T) storage.Table) {
	t.Run("list", func(t *testing.T) { testList(t, newTable(t)) })
	t.Run("conditions", func(t *testing.T) { testConditions(t, newTable(t)) })
	t.Run("values", func(t *testing.T) { testValues(t, newTable(t)) })
	t.Run("ended context", func(t *testing.T) { testEndedContext(t, newTable(t)) })
}

func testList(t *testing.T, table storage.Table) {
	is := is.New(t)
	for _, key := range []string{"b/2", "a/ä&=", "b/1", "c", "b", "b/3"} {
		_, err := table.Commit(t.Context(), PutTxn(key, key))
		is.NoErr(err)
	}
	tests := []struct {
		desc, prefix, after string
		limit               int
		want                []string
	}{
		{"all", "", "", 10, []string{"a/ä&=", "b", "b/1", "b/2", "b/3", "c"}},
		{"prefix", "b/", "", 10, []string{"b/1", "b/2", "b/3"}},
		{"limit", "b/", "", 2, []string{"b/1", "b/2"}},
		{"next page", "b/", "b/2", 2, []string{"b/3"}},
		{"after an absent key", "b/", "b/15", 10, []string{"b/2", "b/3"}},
		{"after below the prefix", "b/", "a", 10, []string{"b/1", "b/2", "b/3"}},
		{"after above the prefix", "b/", "c", 10, nil},
		{"no limit left", "", "", 0, nil},
	}
	for _, test := range tests {
		rows, err := table.List(t.Context(), test.prefix, test.after, test.limit)
		var keys []string
		for _, row := range rows {
			keys = append(keys, row.Key)
		}
		if err != nil || !slices.Equal(keys, test.want) {
			t.Errorf("%s: got %q, %v, want %q", test.desc, keys, err, test.want)
		}
	}
}

func testConditions(t *testing.T, table storage.Table) {
	is := is.New(t)
	write := func(version uint64) (uint64, error) {
		txn := PutTxn("a", "1")
		txn.Puts = append(txn.Puts, storage.Put{Key: "b"})
		txn.Conditions = []storage.Condition{{Key: "a", Version: version}}
		return table.Commit(t.Context(), txn)
	}
	_, err := write(7)
	is.True(HasErrorClass(err, storage.ErrConflict)) // the row is absent
	_, err = table.Get(t.Context(), "b")
	is.True(HasErrorClass(err, storage.ErrNotFound)) // nothing was written
	first, err := write(0)
	is.NoErr(err)
	_, err = write(0)
	is.True(HasErrorClass(err, storage.ErrConflict)) // the row exists
	second, err := write(first)
	is.NoErr(err)
	is.True(second > first)
	_, err = table.Commit(t.Context(), storage.Txn{Deletes: []string{"a", "absent"}})
	is.NoErr(err)
	third, err := write(0)
	is.NoErr(err)
	is.True(third > second) // a version isn't reused after a delete
}

// testValues checks that values can hold any bytes and are copied.
func testValues(t *testing.T, table storage.Table) {
	is := is.New(t)
	const want = "\x00\xff one"
	txn := PutTxn("ä&=", want)
	revision, err := table.Commit(t.Context(), txn)
	is.NoErr(err)
	txn.Puts[0].Value[0] = 'x'
	row, err := table.Get(t.Context(), "ä&=")
	is.NoErr(err)
	is.Equal(row, storage.Row{Key: "ä&=", Value: []byte(want), Version: revision})
	row.Value[0] = 'y'
	rows, err := table.List(t.Context(), "", "", 1)
	is.NoErr(err)
	is.Equal(string(rows[0].Value), want)
}

func testEndedContext(t *testing.T, table storage.Table) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := table.Commit(ctx, PutTxn("a", ""))
	is.True(HasErrorClass(err, storage.ErrUnavailable))
	is.True(errors.Is(err, context.Canceled))
	_, err = table.Get(t.Context(), "a")
	is.True(HasErrorClass(err, storage.ErrNotFound))
}

// TestObjects checks the behaviour required of every object store without faults.
// The store must be empty.
func TestObjects(t *testing.T, objects storage.Objects) {
	is := is.New(t)
	for _, data := range [][]byte{{}, []byte("\x00\xff data")} {
		name := fmt.Sprintf("a/%d?&", len(data))
		_, err := objects.Read(t.Context(), name)
		is.True(HasErrorClass(err, storage.ErrNotFound))
		is.NoErr(objects.Write(t.Context(), name, data))
		is.NoErr(objects.Write(t.Context(), name, data))
		is.True(HasErrorClass(objects.Write(t.Context(), name, []byte("x")), storage.ErrConflict))
		read, err := objects.Read(t.Context(), name)
		is.NoErr(err)
		is.Equal(string(read), string(data))
	}
}
