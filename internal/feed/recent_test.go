package feed

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

// entryTable returns a table with the entries of n upstreams.
func entryTable(n int) []Row {
	table := make([]Row, n)
	for i := range table {
		table[i] = entryRow(i, i+1)
	}
	return table
}

func entryRow(i, revision int) Row {
	data := fmt.Sprintf(`{"service":"svc","address":"10.1.%d.%d:8000","zone":"zone-%d","version":"v1","slots":16,"state":"available","cold_remaining_ms":0,"sequence":%d}`, i>>8, i&255, i%5, revision)
	return Row{Key: fmt.Sprintf("i-%08x", i), Revision: storage.Revision(revision), Data: []byte(data)}
}

// When all of 10,000 upstreams start within two seconds, a host that is a moment behind is sent
// the changes and not the whole table. Later, only the latest changes are kept.
func TestChangesOfAllUpstreamsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const upstreams, batch = 10_000, 500
		var r recentChanges
		r.reset(nil, 0, nil, false)
		table := entryTable(upstreams)
		sentRevision := storage.Revision(0)
		for i := 0; i < upstreams; i += batch {
			r.add(changeSet{rows: table[i : i+batch]}, storage.Revision(i+batch), true)
			is.True(r.rowCount <= max(minKeptRows, 2*(i+batch)))
			if i%(5*batch) == 4*batch { // a host is sent an update after every fifth batch
				update, _ := r.updateSince(sentRevision, false)
				is.True(update.Complete)
				sentRevision = update.Revision
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(r.rowCount, upstreams)
		time.Sleep(2 * surplusRetention)
		r.add(changeSet{rows: []Row{entryRow(3, upstreams+1)}}, upstreams+1, true)
		is.Equal(r.rowCount, minKeptRows)

		var alone recentChanges // of a host that no other host relies on
		alone.reset(nil, 0, nil, false)
		alone.add(changeSet{rows: table}, upstreams, false)
		is.Equal(alone.rowCount, minKeptRows)
	})
}

// A copy to which random changes were applied equals the changed table.
func TestTableCopyAppliesChanges(t *testing.T) {
	is := is.New(t)
	want := make(map[string]Row)
	table := entryTable(6000)
	c := newTableCopy(table, nil)
	for _, row := range table {
		want[row.Key] = row
	}
	var batch []Row
	random := rand.New(rand.NewPCG(1, 2))
	for revision := 6001; revision < 9000; revision++ {
		row := entryRow(random.IntN(7000), revision)
		if random.IntN(4) == 0 {
			row.Deleted, row.Data = true, nil
			delete(want, row.Key)
		} else {
			want[row.Key] = row
		}
		batch = append(batch, row)
		switch len(batch) {
		case 1 + revision%7:
			c.apply(batch, nil)
			batch = nil
		case 8:
			c.apply(batch, pack(batch))
			batch = nil
		}
		is.True(c.changedBytes <= max(minMergeBytes, len(c.packed)))
	}
	c.apply(batch, nil)
	got, err := unpack(c.snapshot())
	is.NoErr(err)
	is.Equal(got, slices.SortedFunc(maps.Values(want), func(a, b Row) int { return strings.Compare(a.Key, b.Key) }))
	is.Equal(len(c.changes), 0)
}

// The copy of a table takes less than a fifth of the table's size. If the rows were received in
// packed form, the copy keeps them as they are.
func TestTableCopyIsSmall(t *testing.T) {
	is := is.New(t)
	table := entryTable(12_000)
	size := 0
	for _, row := range table {
		size += len(row.Key) + len(row.Data)
	}
	c := newTableCopy(table, nil)
	t.Logf("%d B of %d", len(c.packed), size)
	is.True(len(c.packed) < size/5)
	is.Equal(newTableCopy(table, c.packed).packed, c.packed)
}

// Hosts that lack the same changes get the same update, which is packed and sent in parts once for
// all of them, although they called the store at different revisions.
func TestHostsThatLackTheSameChangesGetTheSameUpdate(t *testing.T) {
	is := is.New(t)
	var r recentChanges
	r.reset([]Row{entryRow(1, 10)}, 10, nil, false)
	for _, revision := range []int{20, 30} {
		r.add(changeSet{rows: []Row{entryRow(1, revision)}}, storage.Revision(revision), true)
	}
	for since := storage.Revision(10); since < 35; since++ {
		update, ok := r.updateSince(since, true)
		is.True(ok && update.Complete)
		is.Equal(update.Since, min(since/10*10, 30))
		is.Equal(len(update.Rows), int(3-update.Since/10))
	}
	update, _ := r.updateSince(9, true)
	is.True(!update.Complete)
}

// A host received a large row's version that another one replaced, and never the newer one: the packed rows
// for a host that gets the newer one as a difference were sent to a host that can't apply that.
func TestHostsWithDifferentVersionsOfALargeRow(t *testing.T) {
	is := is.New(t)
	large := func(revision int) Row {
		data := slices.Concat(bytes.Repeat([]byte("route "), minLargeRowBytes), fmt.Append(nil, revision))
		return Row{Key: "large", Revision: storage.Revision(revision), Data: data}
	}
	var r recentChanges
	r.reset([]Row{{Key: "large", Revision: 5, Data: []byte("short")}}, 5, nil, true)
	r.add(changeSet{rows: []Row{large(6)}}, 6, true)
	other := Row{Key: "other", Revision: 9, Data: bytes.Repeat([]byte("x"), minPackedBytes)}
	r.add(changeSet{rows: []Row{large(7), large(8), other}}, 9, true)
	for _, since := range []storage.Revision{6, 5, 6} {
		update, ok := r.updateSince(since, true)
		is.True(ok && update.Complete)
		rows, err := unpack(update.Packed)
		is.NoErr(err)
		receiver := recentChanges{large: largeRows{"large": {latest: large(6)}}}
		built, err := receiver.build(update.Deltas)
		is.NoErr(err)
		newest := slices.ContainsFunc(slices.Concat(rows, built), func(row Row) bool { return row.Key == "large" && row.Revision == 8 })
		is.True(newest) // the newest version of the large row, for a host with revision since
	}
}

// Of several versions of a large row in one answer of the store only the newest is sent to other hosts. The
// older ones were sent whole, beside the differences to the newest.
func TestOnlyTheNewestVersionOfALargeRowIsSent(t *testing.T) {
	is := is.New(t)
	data := bytes.Repeat([]byte("route "), minLargeRowBytes)
	var r recentChanges
	r.reset([]Row{{Key: "large", Revision: 5, Data: data}}, 5, nil, true)
	r.add(changeSet{rows: []Row{
		{Key: "large", Revision: 6, Data: slices.Concat(data, []byte("6"))}, {Key: "other", Revision: 7},
		{Key: "large", Revision: 8, Data: slices.Concat(data, []byte("8"))},
	}}, 8, true)
	update, _ := r.updateSince(5, true)
	is.Equal(update.Rows, []Row{{Key: "other", Revision: 7}})
	is.Equal(len(update.Deltas), 2)
	update, _ = r.updateSince(5, false)
	rows, err := unpack(update.Packed)
	is.NoErr(err)
	is.Equal([]storage.Revision{rows[0].Revision, rows[1].Revision}, []storage.Revision{7, 8})
	is.Equal(r.rowCount, 2)
}

// Guards against whole tables that are sent to all hosts after one host read the table again: the
// differences from its former rows are changes like any other.
func TestTableThatIsReadAgainCountsAsChanges(t *testing.T) {
	is := is.New(t)
	document := bytes.Repeat([]byte("route "), minLargeRowBytes)
	longer := slices.Concat(document, []byte("another route"))
	var r recentChanges
	r.reset([]Row{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}, {Key: "large", Revision: 5, Data: document}}, 5, nil, true)
	r.add(changeSet{rows: []Row{{Key: "d", Revision: 6}}}, 6, true)
	r.reset([]Row{{Key: "a", Revision: 3}, {Key: "c", Revision: 8}, {Key: "d", Revision: 7}, {Key: "large", Revision: 9, Data: longer}}, 9, nil, true)

	update, ok := r.updateSince(5, true)
	is.True(ok && update.Complete)
	is.Equal(update.Revision, storage.Revision(9))
	is.Equal(update.Rows, []Row{{Key: "d", Revision: 6}, {Key: "d", Revision: 7}, {Key: "c", Revision: 8}, {Key: "b", Revision: 9, Deleted: true}})
	is.Equal(len(update.Deltas), 1)
	is.True(len(update.Deltas[0].Delta) < minLargeRowBytes/10)
	receiver := recentChanges{large: largeRows{"large": {latest: Row{Key: "large", Revision: 5, Data: document}}}}
	built, err := receiver.build(update.Deltas)
	is.NoErr(err)
	is.Equal(built, []Row{{Key: "large", Revision: 9, Data: longer}})

	nextEra := storage.NewRevision(1, 2)
	r.reset([]Row{{Key: "a", Revision: nextEra}}, nextEra, nil, true)
	update, ok = r.updateSince(9, true)
	is.True(ok && !update.Complete) // rows may have gone back
}
