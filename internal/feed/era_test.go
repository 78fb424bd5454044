package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// at returns the revision with the version in the era.
func at(era, version uint64) storage.Revision { return storage.NewRevision(era, version) }

// The store is restored from a backup twice in a row. Each time the watcher passes on the whole
// table, although its versions are lower than before, and follows the changes from there.
func TestTablesOfLaterEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list: func(call int) (Page, error) {
				revision := []storage.Revision{at(0, 30), at(1, 20), at(2, 10)}[min(call, 3)-1]
				return Page{Rows: rows(revision), Revision: revision}, nil
			},
			changes: func(ctx context.Context, call int, since storage.Revision) (Page, error) {
				switch call {
				case 1, 2:
					return Page{}, ErrHistoryLost
				case 3:
					is.Equal(since, at(2, 10))
					return Page{Rows: rows(at(2, 11)), Revision: at(2, 11)}, nil
				}
				return hang(ctx)
			},
		}
		w, seen := runWatcher(source, Options{}, time.Second)
		is.Equal(seen.tables, [][]Row{rows(at(0, 30)), rows(at(1, 20)), rows(at(2, 10))})
		is.Equal(seen.changes, rows(at(2, 11)))
		is.Equal(w.Revision(), at(2, 11))
	})
}

// If the store is restored between two pages, the pages of both eras aren't combined to a
// table.
func TestListingAcrossARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &scriptedSource{
			list: func(call int) (Page, error) {
				switch call {
				case 1:
					return Page{Rows: rows(at(0, 30)), Revision: at(0, 30), Truncated: true}, nil
				case 2:
					return Page{Rows: rows(at(1, 9)), Revision: at(1, 10)}, nil
				case 3:
					return Page{Rows: rows(at(1, 8)), Revision: at(1, 10), Truncated: true}, nil
				}
				return Page{Rows: rows(at(1, 9)), Revision: at(1, 10)}, nil
			},
			changes: func(ctx context.Context, _ int, _ storage.Revision) (Page, error) { return hang(ctx) },
		}
		_, seen := runWatcher(source, Options{}, time.Second)
		is.Equal(seen.tables, [][]Row{rows(at(1, 8), at(1, 9))})
	})
}

// A watcher in a later era doesn't apply an update of an earlier one. A host in the earlier era
// is sent the whole table of the later one.
func TestUpdateOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	seen := &recorder{}
	w := NewWatcher("t", &scriptedSource{}, seen, Options{}, zerolog.Nop())
	w.replace(rows(at(1, 20)), at(1, 20), nil)
	for _, update := range []Update{
		{Since: at(0, 10), Revision: at(0, 90), Complete: true, Rows: rows(at(0, 90))},
		{Revision: at(0, 90), IsSnapshot: true, Packed: pack(rows(at(0, 90)))},
	} {
		w.applyUpdate(update, time.Now())
		is.Equal(w.Revision(), at(1, 20))
	}
	is.Equal(len(seen.changes), 0)
	is.Equal(len(seen.tables), 1)

	update, ok := w.recent.updateSince(at(0, 90), false) // the update for a host in the earlier era
	is.True(ok && !update.Complete && len(update.Rows) == 0)
	behind := NewWatcher("t", &scriptedSource{}, seen, Options{}, zerolog.Nop())
	behind.replace(rows(at(0, 90)), at(0, 90), nil)
	is.True(!behind.applyUpdate(update, time.Now())) // the host must read the table
	w.lastAnswerAt.Store(1)
	snapshot, ok := w.Snapshot(1 << 20)
	is.True(ok && behind.applyUpdate(snapshot, time.Now()))
	is.Equal(behind.Revision(), at(1, 20))
}
