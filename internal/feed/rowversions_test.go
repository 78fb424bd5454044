package feed

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// largeRow returns a version of a large row. Each version differs from the others in one line.
func largeRow(version int) Row {
	random := rand.New(rand.NewPCG(1, 2))
	var data bytes.Buffer
	for i := range 500 {
		fmt.Fprintf(&data, "route %d %x\n", i, random.Uint64())
		if i == version {
			fmt.Fprintf(&data, "version %d\n", version)
		}
	}
	return Row{Key: "document", Data: data.Bytes(), Revision: storage.Revision(10 * version)}
}

// watcherWith returns a watcher that has the version of the large row, and what it passed on.
func watcherWith(version int) (*Watcher, *recorder) {
	seen := &recorder{}
	w := NewWatcher("t", nil, seen, Options{}, zerolog.Nop())
	w.replace([]Row{largeRow(version)}, storage.Revision(10*version), nil)
	w.recordSuccess(1)
	return w, seen
}

// Hosts that missed some versions get the latest one by deltas from the version that they have.
func TestHostsReceiveDeltasFromTheirVersion(t *testing.T) {
	is := is.New(t)
	const latest = 6
	hub, _ := watcherWith(2)
	for version := 3; version <= latest; version++ {
		hub.applyChanges(changeSet{rows: []Row{largeRow(version)}}, storage.Revision(10*version))
	}
	for version := 1; version <= latest; version++ {
		host, seen := watcherWith(version)
		update, ok := hub.UpdateSince(host.Revision(), true, 1<<20)
		is.True(ok)
		is.Equal(update.Complete, version >= 2) // the hub doesn't know version 1
		if !update.Complete {
			continue
		}
		is.Equal(len(update.Deltas), latest-version)
		is.True(update.PackedBytes() < 1000)
		is.True(host.applyUpdate(update, time.Now()))
		is.Equal(host.Revision(), storage.Revision(10*latest))
		if version < latest {
			is.Equal(seen.changes, []Row{largeRow(latest)}) // whole, and no version in between
		}
		// The host serves others in the same way.
		again, ok := host.UpdateSince(storage.Revision(10*version), true, 1<<20)
		is.True(ok && again.Complete)
		is.Equal(len(again.Deltas), min(1, latest-version))
	}
}

// A delta that was made from another version than the host has changes nothing, and the host
// accepts no further deltas until it has received whole rows.
func TestDeltaOfAnotherVersionIsNotApplied(t *testing.T) {
	is := is.New(t)
	hub, _ := watcherWith(2)
	hub.applyChanges(changeSet{rows: []Row{largeRow(3)}}, 30)
	host, seen := watcherWith(2)
	other := largeRow(2)
	other.Data = bytes.ToUpper(other.Data)
	host.recent.large["document"].latest = other // the same revision with other content
	update, _ := hub.UpdateSince(20, true, 1<<20)
	is.Equal(host.applyUpdate(update, time.Now()), false)
	is.Equal(host.AcceptsDeltas(), false)
	is.Equal(len(seen.changes), 0)
	update, _ = hub.UpdateSince(20, false, 1<<20)
	is.True(host.applyUpdate(update, time.Now()))
	is.Equal(seen.changes, []Row{largeRow(3)})
	is.True(host.AcceptsDeltas())
}

// A row that becomes small or is removed has no versions. A whole table of the same versions
// keeps their deltas.
func TestVersionsEndWithTheRow(t *testing.T) {
	is := is.New(t)
	hub, _ := watcherWith(2)
	hub.applyChanges(changeSet{rows: []Row{largeRow(3)}}, 30)
	hub.replace([]Row{largeRow(3)}, 31, nil)
	is.Equal(len(hub.recent.large["document"].deltas), 1)
	hub.applyChanges(changeSet{rows: []Row{{Key: "document", Revision: 40, Deleted: true}}}, 40)
	is.Equal(len(hub.recent.large), 0)
	update, ok := hub.UpdateSince(31, true, 1<<20)
	is.True(ok && update.Complete)
	is.Equal(update.Rows, []Row{{Key: "document", Revision: 40, Deleted: true}})
	snapshot, ok := hub.Snapshot(1 << 20)
	is.True(ok)
	rows, err := unpack(snapshot.Packed)
	is.NoErr(err)
	is.Equal(len(rows), 0)
}

// The copy of the table for other hosts has the latest version of each row.
func TestCopyOfATableHasTheLatestVersions(t *testing.T) {
	is := is.New(t)
	hub, _ := watcherWith(2)
	for version := 3; version <= 9; version++ {
		hub.applyChanges(changeSet{rows: []Row{largeRow(version), {Key: "small", Data: []byte("x"), Revision: storage.Revision(10*version + 1)}}}, storage.Revision(10*version+1))
	}
	snapshot, ok := hub.Snapshot(1 << 20)
	is.True(ok)
	rows, err := unpack(snapshot.Packed)
	is.NoErr(err)
	is.Equal(rows, []Row{largeRow(9), {Key: "small", Data: []byte("x"), Revision: 91}})
}

// BenchmarkChangeOfALargeRow measures a change of one line of 870 kB at a hub and a follower, and
// the size of the update, with whole rows and with deltas.
func BenchmarkChangeOfALargeRow(b *testing.B) {
	document := func(version int) Row {
		random := rand.New(rand.NewPCG(1, 2))
		var data bytes.Buffer
		for i := range 4250 {
			fmt.Fprintf(&data, `{"route_id":"r-%08x","prefix":"/p%08x/","service":"service-%02d","route_type":"idempotent","timeout_ms":%d,"max_attempts":2,"priority":2,"target_latency_ms":150,"session_affinity":false},`,
				random.Uint32(), random.Uint32(), i%3, 5000+version*max(0, 1-i))
		}
		return Row{Key: "document", Data: data.Bytes(), Revision: storage.Revision(version)}
	}
	versions := []Row{document(1), document(2)}
	for _, withDeltas := range []bool{false, true} {
		b.Run(fmt.Sprintf("deltas=%t", withDeltas), func(b *testing.B) {
			size := 0
			for b.Loop() {
				b.StopTimer()
				hub := NewWatcher("t", nil, &recorder{}, Options{}, zerolog.Nop())
				host := NewWatcher("t", nil, &recorder{}, Options{}, zerolog.Nop())
				for _, w := range []*Watcher{hub, host} {
					w.replace(versions[:1], 1, nil)
					w.recordSuccess(1)
				}
				b.StartTimer()
				hub.applyChanges(changeSet{rows: versions[1:]}, 2)
				update, _ := hub.UpdateSince(1, withDeltas, 1<<20)
				size = update.PackedBytes()
				if !host.applyUpdate(update, time.Now()) {
					b.Fatal("the update can't be applied")
				}
			}
			b.ReportMetric(float64(size), "update-bytes")
		})
	}
}
