package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// revisionInEra returns a revision of the given era.
func revisionInEra(era, version uint64) storage.Revision { return storage.NewRevision(era, version) }

// newCompletedRollout returns the roll-outs of a host that has one completed roll-out, and its
// order.
func newCompletedRollout() (*rollouts, RolloutOrder) {
	s := Settings{CanaryShare: 0.2, Tables: testTables()}
	ro := newRollouts(&s, NewFleet(time.Second, zerolog.Nop()), zerolog.Nop())
	o := RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: revisionInEra(0, 57)}
	ro.addOrder(o, false)
	ro.setStatus(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: o.Revision, Revision: revisionInEra(0, 80)})
	return ro, o
}

// The store is restored from a backup, and operators write the order of a completed roll-out again.
// The host must keep the status that it has, and write it with the order's new revision in place of
// the status in the backup.
func TestReissuedOrderAfterRestore(t *testing.T) {
	tests := []struct {
		desc string
		copy RolloutStatus // the status in the backup; none if its revision is 0
	}{
		{"the backup has no status", RolloutStatus{}},
		{"the backup has an earlier state", RolloutStatus{Service: "svc", Version: "v2", State: RolloutRunning, OrderRevision: revisionInEra(0, 57), Revision: revisionInEra(1, 60)}},
		{"the backup has the state", RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: revisionInEra(0, 57), Revision: revisionInEra(1, 60)}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			ro, o := newCompletedRollout()
			is.True(!ro.hasUnfinished())
			o.Revision = revisionInEra(1, 57) // the order's row in the backup
			ro.addOrder(o, true)
			o.Revision = revisionInEra(1, 65) // written again
			ro.addOrder(o, false)
			sr := ro.byService["svc"]
			is.True(ro.hasUnfinished()) // the status table is followed until the status is stored
			ro.resetStoredStatuses()
			if test.copy.Revision != 0 {
				ro.setStatus(test.copy)
			}
			is.Equal(sr.status.State, RolloutCompleted)
			is.True(sr.hasStatus() && sr.unsaved)
			is.Equal(sr.status.Revision, test.copy.Revision) // the condition of the write
			next, due := ro.dueStatus(sr)
			is.True(due)
			is.Equal(next, RolloutCompleted)

			ro.setStatus(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: o.Revision, Revision: revisionInEra(1, 70)})
			is.True(!sr.unsaved && !ro.hasUnfinished())
		})
	}
}

// An order that operators write again without a restore, or after restoreGrace, begins a new
// roll-out.
func TestRepeatedOrderIsANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ro, o := newCompletedRollout()
		o.Revision = revisionInEra(0, 90)
		ro.addOrder(o, false)
		is.True(!ro.byService["svc"].hasStatus())

		ro, o = newCompletedRollout()
		o.Revision = revisionInEra(1, 57)
		ro.addOrder(o, true)
		time.Sleep(restoreGrace)
		o.Revision = revisionInEra(1, 100)
		ro.addOrder(o, false)
		is.True(!ro.byService["svc"].hasStatus())
	})
}

// An order from before the current one, which the backup contains, must not replace the current
// one.
func TestEarlierOrderInABackup(t *testing.T) {
	is := is.New(t)
	ro, o := newCompletedRollout()
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v1", Duration: time.Minute, Revision: revisionInEra(1, 20)}, true)
	is.Equal(ro.byService["svc"].order.Version, "v2")
	// A new order of the operators is accepted, whatever its version.
	ro.addOrder(RolloutOrder{Service: "svc", Version: "v3", Duration: time.Minute, Revision: revisionInEra(1, 30)}, false)
	is.Equal(ro.byService["svc"].order.Version, "v3")
	is.Equal(o.Version, "v2")
}

// An evacuation that the backup lacks stays in force for restoreGrace, so that operators have time
// to write its row again.
func TestEvacuationsAfterRestore(t *testing.T) {
	tests := []struct {
		desc      string
		rewritten bool // it is written again
		removed   bool // and then removed
	}{
		{"written again", true, false},
		{"written again and removed", true, true},
		{"not written again", false, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := NewFleet(time.Second, zerolog.Nop())
				e := newEvacuations("evacuation/", fleet)
				e.replace([]feed.Row{evacuationRow("z1", revisionInEra(0, 5), false)}, revisionInEra(0, 9))
				is.True(fleet.policy.isEvacuated("z1"))
				e.replace(nil, revisionInEra(1, 3))
				is.True(fleet.policy.isEvacuated("z1"))
				time.Sleep(restoreGrace / 2)
				if test.rewritten {
					e.change(evacuationRow("z1", revisionInEra(1, 6), false))
				}
				if test.removed {
					e.change(evacuationRow("z1", revisionInEra(1, 7), true))
					is.True(!fleet.policy.isEvacuated("z1"))
				}
				time.Sleep(restoreGrace)
				is.Equal(fleet.policy.isEvacuated("z1"), test.rewritten && !test.removed)
				// Within an era, a removed row ends the evacuation.
				e.replace(nil, revisionInEra(1, 9))
				is.True(!fleet.policy.isEvacuated("z1"))
			})
		})
	}
}

// The backup contains the entry of a terminated upstream and lacks that of one that is running.
func TestUpstreamsAfterRestore(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	rows := newUpstreamTableHandler(tg.gateway)
	row := func(id, sequence string, revision storage.Revision) feed.Row {
		return feed.Row{Key: id, Revision: revision, Data: []byte(`{"Service":"svc","Address":"127.0.0.1:9","Zone":"z1","Version":"v1","Slots":8,"Sequence":` + sequence + `}`)}
	}
	tg.gateway.fleet.removalGrace = 0
	inService := func(id string) bool {
		s := tg.gateway.fleet.shard("svc")
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.members[id].inService(boottime.Now())
	}
	rows.Replace([]feed.Row{row("gone", "4", revisionInEra(0, 5)), row("there", "7", revisionInEra(0, 6))}, revisionInEra(0, 6))
	rows.Change(feed.Row{Key: "gone", Revision: revisionInEra(0, 9), Deleted: true})
	is.True(!inService("gone") && inService("there"))

	rows.Replace([]feed.Row{row("gone", "4", revisionInEra(1, 5))}, revisionInEra(1, 5))
	is.True(!inService("gone")) // no newer entry was received
	is.True(inService("there")) // it may still write its entry again
	rows.Change(row("there", "7", revisionInEra(1, 6)))
	rows.Change(row("gone", "5", revisionInEra(1, 7)))
	is.True(inService("gone") && inService("there"))
}
