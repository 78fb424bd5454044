package faulty_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

const (
	key   = "key"
	delay = time.Second
)

func TestConformance(t *testing.T) {
	storagetest.TestTable(t, func(*testing.T) storage.Table { return faulty.NewTable(memory.NewTable()) })
	storagetest.TestObjects(t, faulty.NewObjects(memory.NewObjects()))
}

func TestCommitFaults(t *testing.T) {
	tests := []struct {
		desc  string
		fault func(*faulty.Table)
		// timeout is the timeout of the call; zero for none.
		timeout time.Duration
		want    error
		// exists reports whether the row exists right after the call, existsLater
		// whether it exists once late and held commits have been applied.
		exists, existsLater bool
	}{
		{desc: "no fault", fault: func(*faulty.Table) {}, exists: true, existsLater: true},
		{desc: "down", fault: func(f *faulty.Table) { f.SetDown(true) }, want: storage.ErrUnavailable},
		{desc: "lost answer", fault: func(f *faulty.Table) { f.LoseNextResponses(1) }, want: storage.ErrUnknown, exists: true, existsLater: true},
		{desc: "dropped", fault: func(f *faulty.Table) { f.DropNextCommits(1) }, want: storage.ErrUnknown},
		{desc: "late", fault: func(f *faulty.Table) { f.DelayNextCommits(1, delay) }, want: storage.ErrUnknown, existsLater: true},
		{desc: "held", fault: func(f *faulty.Table) { f.HoldNextCommits(1) }, want: storage.ErrUnknown, existsLater: true},
		{desc: "slow", fault: func(f *faulty.Table) { f.SetDelay(delay) }, exists: true, existsLater: true},
		{desc: "slow, timeout before the effect", fault: func(f *faulty.Table) { f.SetDelay(delay) }, timeout: delay / 4, want: storage.ErrUnknown},
		{desc: "slow, timeout after the effect", fault: func(f *faulty.Table) { f.SetDelay(delay) }, timeout: 3 * delay / 4, want: storage.ErrUnknown, exists: true, existsLater: true},
		{desc: "healed", fault: func(f *faulty.Table) {
			f.SetDown(true)
			f.SetDelay(delay)
			f.LoseNextResponses(1)
			f.DropNextCommits(1)
			f.DelayNextCommits(1, delay)
			f.HoldNextCommits(1)
			f.ClearFaults()
		}, exists: true, existsLater: true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				inner := memory.NewTable()
				table := faulty.NewTable(inner)
				test.fault(table)
				ctx := t.Context()
				if test.timeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, test.timeout)
					defer cancel()
				}
				_, err := table.Commit(ctx, storagetest.PutTxn(key, "value"))
				is.True(storagetest.HasErrorClass(err, test.want)) // class of the error
				is.Equal(rowExists(t, inner), test.exists)
				time.Sleep(2 * delay)
				table.ApplyHeldCommits()
				is.Equal(rowExists(t, inner), test.existsLater)
				is.Equal(table.Counts(), faulty.Counts{Commits: 1})
			})
		})
	}
}

// One hook runs before a call's effect, the other after it and before the call
// returns.
func TestHooks(t *testing.T) {
	is := is.New(t)
	inner := memory.NewTable()
	table := faulty.NewTable(inner)
	var seen []bool
	recordRow := func() { seen = append(seen, rowExists(t, inner)) }
	table.SetHooks(recordRow, recordRow)
	_, err := table.Commit(t.Context(), storagetest.PutTxn(key, "value"))
	is.NoErr(err)
	_, err = table.Get(t.Context(), key)
	is.NoErr(err)
	table.SetHooks(nil, nil)
	_, err = table.List(t.Context(), "", "", 1)
	is.NoErr(err)
	is.Equal(seen, []bool{false, true, true, true})
}

// A late commit must not overwrite a row that was committed in the meantime under
// the same condition.
func TestLateCommitChecksConditionsOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := memory.NewTable()
		table := faulty.NewTable(inner)
		table.DelayNextCommits(1, delay)
		late := storagetest.PutTxn(key, "value")
		late.Conditions = []storage.Condition{{Key: key}}
		_, err := table.Commit(t.Context(), late)
		is.True(storagetest.HasErrorClass(err, storage.ErrUnknown))
		late.Puts[0].Value[0] = 'x' // the caller may reuse its buffers
		revision, err := table.Commit(t.Context(), storagetest.PutTxn(key, "value"))
		is.NoErr(err)
		time.Sleep(2 * delay)
		row, err := table.Get(t.Context(), key)
		is.NoErr(err)
		is.Equal(row.Version, revision)
	})
}

func TestReadFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := faulty.NewTable(memory.NewTable())
		table.LoseNextResponses(1) // concerns commits only
		_, err := table.Get(t.Context(), key)
		is.True(storagetest.HasErrorClass(err, storage.ErrNotFound))
		table.SetDown(true)
		_, err = table.Get(t.Context(), key)
		is.True(storagetest.HasErrorClass(err, storage.ErrUnavailable))
		table.SetDown(false)
		table.SetDelay(delay)
		ctx, cancel := context.WithTimeout(t.Context(), delay/2+1)
		defer cancel()
		_, err = table.List(ctx, "", "", 1)
		is.True(storagetest.HasErrorClass(err, storage.ErrUnavailable))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(table.Counts(), faulty.Counts{Gets: 2, Lists: 1})
	})
}

func TestObjectsDown(t *testing.T) {
	is := is.New(t)
	objects := faulty.NewObjects(memory.NewObjects())
	objects.SetDown(true)
	is.True(storagetest.HasErrorClass(objects.Write(t.Context(), key, nil), storage.ErrUnavailable))
	objects.SetDown(false)
	_, err := objects.Read(t.Context(), key)
	is.True(storagetest.HasErrorClass(err, storage.ErrNotFound)) // the write had no effect
	is.NoErr(objects.Write(t.Context(), key, nil))
}

func rowExists(t *testing.T, table storage.Table) bool {
	t.Helper()
	_, err := table.Get(t.Context(), key)
	if err != nil && !storagetest.HasErrorClass(err, storage.ErrNotFound) {
		t.Fatal(err)
	}
	return err == nil
}
