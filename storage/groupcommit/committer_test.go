package groupcommit_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/groupcommit"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func create(key string) storage.Txn {
	return storage.Txn{
		Conditions: []storage.Condition{{Key: key}},
		Puts:       []storage.Put{{Key: key, Value: []byte(key)}},
	}
}

// commitAll commits the transactions at the same time.
func commitAll(ctx context.Context, table storage.Table, txns []storage.Txn) ([]uint64, []error) {
	revisions := make([]uint64, len(txns))
	errs := make([]error, len(txns))
	var wg sync.WaitGroup
	for i, txn := range txns {
		wg.Go(func() { revisions[i], errs[i] = table.Commit(ctx, txn) })
	}
	wg.Wait()
	return revisions, errs
}

// setup returns a committer over a table with faults, in a synctest bubble.
func setup(t *testing.T, options groupcommit.Options) (*groupcommit.Committer, *faulty.Table) {
	table := faulty.NewTable(memory.NewTable())
	c := groupcommit.New(table, options)
	t.Cleanup(func() { _ = c.Close() })
	return c, table
}

func TestSplitIsolatesConflicts(t *testing.T) {
	tests := []struct {
		desc     string
		size     int
		existing []int
		// maxCommits bounds the commits, including the parts of split commits:
		// 1 + 2*log2(size) for one conflict at any position in the batch.
		maxCommits uint64
		// commitsWithReads is the exact number of commits if rows may be read.
		commitsWithReads uint64
	}{
		{"no conflict", 32, nil, 1, 1},
		{"one in 32", 32, []int{13}, 11, 2},
		{"the first", 32, []int{0}, 11, 2},
		{"the last", 32, []int{31}, 11, 2},
		{"a pair", 2, []int{1}, 3, 2},
		{"alone", 1, []int{0}, 1, 1},
		{"all of eight", 8, []int{0, 1, 2, 3, 4, 5, 6, 7}, 15, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stats := commitWithConflicts(t, groupcommit.Options{ReadsPerSecond: -1}, tt.size, tt.existing)
				is.New(t).True(stats.Commits <= tt.maxCommits)
				is.New(t).Equal(stats.Reads, uint64(0))
			})
		})
		t.Run(tt.desc+", probed", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stats := commitWithConflicts(t, groupcommit.Options{}, tt.size, tt.existing)
				is.New(t).Equal(stats.Commits, tt.commitsWithReads)
				is.New(t).True(stats.Reads <= uint64(tt.size))
			})
		})
	}
}

// commitWithConflicts concurrently commits size transactions that each create one
// row, and checks the outcome of each. Transactions whose rows exist must conflict.
func commitWithConflicts(t *testing.T, options groupcommit.Options, size int, existing []int) groupcommit.Stats {
	is := is.New(t)
	c, table := setup(t, options)
	conflicting := make(map[int]bool)
	for _, i := range existing {
		conflicting[i] = true
		_, err := table.Commit(t.Context(), create(fmt.Sprint("row/", i)))
		is.NoErr(err)
	}
	txns := make([]storage.Txn, size)
	for i := range txns {
		txns[i] = create(fmt.Sprint("row/", i))
	}
	revisions, errs := commitAll(t.Context(), c, txns)
	for i := range txns {
		is.Equal(errors.Is(errs[i], storage.ErrConflict), conflicting[i])
		row, err := table.Get(t.Context(), fmt.Sprint("row/", i))
		is.NoErr(err)
		is.True(conflicting[i] || row.Version == revisions[i]) // the row has the revision that its commit returned
	}
	stats := c.Stats()
	is.Equal(stats.Commits, stats.Splits+1)
	is.Equal(stats.Transactions, uint64(size))
	return stats
}

func TestFaultsReachEachCaller(t *testing.T) {
	const size = 8
	tests := []struct {
		desc        string
		injectFault func(*faulty.Table)
		want        error
		written     bool
	}{
		{"down", func(f *faulty.Table) { f.SetDown(true) }, storage.ErrUnavailable, false},
		{"answer lost after the effect", func(f *faulty.Table) { f.LoseNextResponses(1) }, storage.ErrUnknown, true},
		{"lost before the effect", func(f *faulty.Table) { f.DropNextCommits(1) }, storage.ErrUnknown, false},
		{"slower than the timeout", func(f *faulty.Table) { f.SetDelay(time.Minute) }, storage.ErrUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, table := setup(t, groupcommit.Options{})
				tt.injectFault(table)
				txns := make([]storage.Txn, size)
				for i := range txns {
					txns[i] = create(fmt.Sprint("row/", i))
				}
				_, errs := commitAll(t.Context(), c, txns)
				table.ClearFaults()
				for i, err := range errs {
					is.True(errors.Is(err, tt.want))
					_, err := c.Get(t.Context(), fmt.Sprint("row/", i))
					is.Equal(err == nil, tt.written)
				}
				is.Equal(c.Stats().Commits, uint64(1))
			})
		})
	}
}

func TestSharedRowsAreNotMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _ := setup(t, groupcommit.Options{})
		_, errs := commitAll(t.Context(), c, []storage.Txn{create("a"), create("a"), create("a"), create("b")})
		created := 0
		for _, err := range errs[:3] {
			if err == nil {
				created++
				continue
			}
			is.True(errors.Is(err, storage.ErrConflict))
		}
		is.Equal(created, 1)
		is.NoErr(errs[3])
		is.Equal(c.Stats().Commits, uint64(3))
		is.Equal(c.Stats().Splits, uint64(0))
	})
}

func TestCallerContext(t *testing.T) {
	tests := []struct {
		desc string
		// callerTimeout ends the caller's context. Its transaction is queued
		// for 5 ms, and the table then takes 100 ms.
		callerTimeout time.Duration
		want          error
		written       bool
	}{
		{"while queued", 2 * time.Millisecond, storage.ErrUnavailable, false},
		{"after it was sent", 20 * time.Millisecond, storage.ErrUnknown, true},
		{"before the call", 0, storage.ErrUnavailable, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, table := setup(t, groupcommit.Options{})
				table.SetDelay(100 * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), tt.callerTimeout)
				defer cancel()
				_, err := c.Commit(ctx, create("a"))
				is.True(errors.Is(err, tt.want))
				is.NoErr(c.Close())
				_, err = table.Get(t.Context(), "a")
				is.Equal(err == nil, tt.written)
			})
		})
	}
}

func TestRateAndLimits(t *testing.T) {
	tests := []struct {
		desc    string
		options groupcommit.Options
		// commits is the exact number of commits for 60 concurrent transactions
		// of 2 operations each.
		commits uint64
		// minDuration is the time that the rate limit requires for all commits
		// except the burst of 5 and the commit after the burst.
		minDuration time.Duration
	}{
		{"one commit for all", groupcommit.Options{}, 1, 0},
		{"by operations", groupcommit.Options{MaxOps: 12}, 10, 200 * time.Millisecond},
		{"by bytes", groupcommit.Options{MaxBytes: 1}, 60, 2700 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, _ := setup(t, tt.options)
				txns := make([]storage.Txn, 60)
				for i := range txns {
					txns[i] = create(fmt.Sprint("row/", i))
				}
				start := time.Now()
				_, errs := commitAll(t.Context(), c, txns)
				is.NoErr(errors.Join(errs...))
				is.Equal(c.Stats().Commits, tt.commits)
				is.True(time.Since(start) >= tt.minDuration) // synctest's clock is exact
			})
		})
	}
}

func TestCloseDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, table := setup(t, groupcommit.Options{MaxOps: 2, MaxDelay: time.Hour})
		table.SetDelay(50 * time.Millisecond)
		errs := make(chan error, 10)
		for i := range cap(errs) {
			go func() {
				_, err := c.Commit(t.Context(), create(fmt.Sprint("row/", i)))
				errs <- err
			}()
		}
		synctest.Wait()
		is.NoErr(c.Close())
		for range cap(errs) {
			is.NoErr(<-errs)
		}
		_, err := c.Commit(t.Context(), create("late"))
		is.True(errors.Is(err, storage.ErrUnavailable))
	})
}
