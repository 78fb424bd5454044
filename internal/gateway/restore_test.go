package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// revisionIn returns a revision of an era.
func revisionIn(era, version uint64) storage.Revision { return storage.NewRevision(era, version) }

// newCompletedRollout returns the roll-outs of a host with a completed one, and its order.
func newCompletedRollout() (*rollouts, RolloutOrder) {
	s := Settings{CanaryShare: 0.2, Tables: testTables()}
	m := newRollouts(&s, NewFleet(time.Second, zerolog.Nop()), zerolog.Nop())
	o := RolloutOrder{Service: "svc", Version: "v2", Duration: time.Minute, Revision: revisionIn(0, 57)}
	m.addOrder(o, false)
	m.setStatus(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: o.Revision, Revision: revisionIn(0, 80)})
	return m, o
}

// The store is restored from a backup and the roll-out's order is written again: the known status
// is kept, and written under the order's new revision in place of the backup's.
func TestReissuedOrderAfterRestore(t *testing.T) {
	tests := []struct {
		desc string
		copy RolloutStatus // the status in the backup; none if its revision is 0
	}{
		{"the backup has no status", RolloutStatus{}},
		{"the backup has an earlier state", RolloutStatus{Service: "svc", Version: "v2", State: RolloutRunning, OrderRevision: revisionIn(0, 57), Revision: revisionIn(1, 60)}},
		{"the backup has the state", RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: revisionIn(0, 57), Revision: revisionIn(1, 60)}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m, o := newCompletedRollout()
			is.True(!m.hasUnfinished())
			o.Revision = revisionIn(1, 57) // the order's row in the backup
			m.addOrder(o, true)
			o.Revision = revisionIn(1, 65) // written again
			m.addOrder(o, false)
			a := m.active["svc"]
			is.True(m.hasUnfinished()) // the statuses are followed until it is stored
			m.resetStored()
			if test.copy.Revision != 0 {
				m.setStatus(test.copy)
			}
			is.Equal(a.status.State, RolloutCompleted)
			is.True(a.hasStatus() && a.unsaved)
			is.Equal(a.status.Revision, test.copy.Revision) // the condition of the write
			next, due := m.due(a)
			is.True(due)
			is.Equal(next, RolloutCompleted)

			m.setStatus(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: o.Revision, Revision: revisionIn(1, 70)})
			is.True(!a.unsaved && !m.hasUnfinished())
		})
	}
}

// An order that is repeated in the same era, or long after a restore, starts a new roll-out.
func TestRepeatedOrderIsANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, o := newCompletedRollout()
		o.Revision = revisionIn(0, 90)
		m.addOrder(o, false)
		is.True(!m.active["svc"].hasStatus())

		m, o = newCompletedRollout()
		o.Revision = revisionIn(1, 57)
		m.addOrder(o, true)
		time.Sleep(restoreGrace)
		o.Revision = revisionIn(1, 100)
		m.addOrder(o, false)
		is.True(!m.active["svc"].hasStatus())
	})
}

// The backup contains the order before the current one.
func TestEarlierOrderInABackup(t *testing.T) {
	is := is.New(t)
	m, o := newCompletedRollout()
	m.addOrder(RolloutOrder{Service: "svc", Version: "v1", Duration: time.Minute, Revision: revisionIn(1, 20)}, true)
	is.Equal(m.active["svc"].order.Version, "v2")
	// A new order of the operators is accepted, whatever its version.
	m.addOrder(RolloutOrder{Service: "svc", Version: "v3", Duration: time.Minute, Revision: revisionIn(1, 30)}, false)
	is.Equal(m.active["svc"].order.Version, "v3")
	is.Equal(o.Version, "v2")
}

// An evacuation that the backup lacks stays in force until operators had time to write it again.
func TestEvacuationsAfterRestore(t *testing.T) {
	tests := []struct {
		desc  string
		again bool // it is written again
		ended bool // and then removed
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
				e.replace([]feed.Row{evacuation("z1", revisionIn(0, 5), false)}, revisionIn(0, 9))
				is.True(fleet.policy.isEvacuated("z1"))
				e.replace(nil, revisionIn(1, 3))
				is.True(fleet.policy.isEvacuated("z1"))
				time.Sleep(restoreGrace / 2)
				if test.again {
					e.change(evacuation("z1", revisionIn(1, 6), false))
				}
				if test.ended {
					e.change(evacuation("z1", revisionIn(1, 7), true))
					is.True(!fleet.policy.isEvacuated("z1"))
				}
				time.Sleep(restoreGrace)
				is.Equal(fleet.policy.isEvacuated("z1"), test.again && !test.ended)
				// Within an era, a removed row ends the evacuation.
				e.replace(nil, revisionIn(1, 9))
				is.True(!fleet.policy.isEvacuated("z1"))
			})
		})
	}
}

// The backup lists an upstream that is gone and lacks one that is running.
func TestUpstreamsAfterRestore(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	rows := newUpstreamRows(w.gateway)
	row := func(id, sequence string, revision storage.Revision) feed.Row {
		return feed.Row{Key: id, Revision: revision, Data: []byte(`{"Service":"svc","Address":"127.0.0.1:9","Zone":"z1","Version":"v1","Slots":8,"Sequence":` + sequence + `}`)}
	}
	w.gateway.fleet.removalGrace = 0
	inService := func(id string) bool {
		s := w.gateway.fleet.shard("svc")
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.members[id].inService(time.Now(), 0)
	}
	rows.Replace([]feed.Row{row("gone", "4", revisionIn(0, 5)), row("there", "7", revisionIn(0, 6))}, revisionIn(0, 6))
	rows.Change(feed.Row{Key: "gone", Revision: revisionIn(0, 9), Deleted: true})
	is.True(!inService("gone") && inService("there"))

	rows.Replace([]feed.Row{row("gone", "4", revisionIn(1, 5))}, revisionIn(1, 5))
	is.True(!inService("gone")) // no newer entry was received
	is.True(inService("there")) // it is expected to write its entry again
	rows.Change(row("there", "7", revisionIn(1, 6)))
	rows.Change(row("gone", "5", revisionIn(1, 7)))
	is.True(inService("gone") && inService("there"))
}
