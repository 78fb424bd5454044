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

// at is a revision of an era.
func at(era, version uint64) storage.Revision { return storage.NewRevision(era, version) }

// eraRollouts is a host's part in roll-outs, with one that is completed.
func eraRollouts() (*rollouts, Order) {
	s := Settings{CanaryShare: 0.2, Tables: testTables()}
	m := newRollouts(&s, NewFleet(time.Second, zerolog.Nop()), zerolog.Nop())
	o := Order{Service: "svc", Version: "v2", Duration: time.Minute, Revision: at(0, 57)}
	m.order(o, false)
	m.status(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: o.Revision, Revision: at(0, 80)})
	return m, o
}

// The roll-out's order comes again in a later era: the state that hosts know goes on, and is
// written again under the order's new revision, in place of what the copy has.
func TestOrderThatIsWrittenAgain(t *testing.T) {
	tests := []struct {
		desc string
		copy RolloutStatus // what the copy has; none if its revision is 0
	}{
		{"the copy has no status", RolloutStatus{}},
		{"the copy has an earlier state", RolloutStatus{Service: "svc", Version: "v2", State: RolloutRunning, OrderRevision: at(0, 57), Revision: at(1, 60)}},
		{"the copy has the state", RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: at(0, 57), Revision: at(1, 60)}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m, o := eraRollouts()
			is.True(!m.underWay())
			o.Revision = at(1, 57) // its row is in the copy
			m.order(o, true)
			o.Revision = at(1, 65) // and written again
			m.order(o, false)
			a := m.active["svc"]
			is.True(m.underWay()) // the statuses are followed until it is in the store
			m.forgetRows()
			if test.copy.Revision != 0 {
				m.status(test.copy)
			}
			is.Equal(a.status.State, RolloutCompleted)
			is.True(a.known() && a.unsaved)
			is.Equal(a.status.Revision, test.copy.Revision) // the condition of the write
			next, due := m.due(a)
			is.True(due)
			is.Equal(next, RolloutCompleted)

			m.status(RolloutStatus{Service: "svc", Version: "v2", State: RolloutCompleted, OrderRevision: o.Revision, Revision: at(1, 70)})
			is.True(!a.unsaved && !m.underWay())
		})
	}
}

// An order that is given once more, in the same era or long after the return, is a new one.
func TestOrderThatIsGivenOnceMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, o := eraRollouts()
		o.Revision = at(0, 90)
		m.order(o, false)
		is.True(!m.active["svc"].known())

		m, o = eraRollouts()
		o.Revision = at(1, 57)
		m.order(o, true)
		time.Sleep(rewriteTime)
		o.Revision = at(1, 100)
		m.order(o, false)
		is.True(!m.active["svc"].known())
	})
}

// The copy has the order before the one under way.
func TestEarlierOrderOfACopy(t *testing.T) {
	is := is.New(t)
	m, o := eraRollouts()
	m.order(Order{Service: "svc", Version: "v1", Duration: time.Minute, Revision: at(1, 20)}, true)
	is.Equal(m.active["svc"].order.Version, "v2")
	// What operators order now is taken, whatever its version.
	m.order(Order{Service: "svc", Version: "v3", Duration: time.Minute, Revision: at(1, 30)}, false)
	is.Equal(m.active["svc"].order.Version, "v3")
	is.Equal(o.Version, "v2")
}

// An evacuation that the copy lacks holds until operators had the time to write it again.
func TestEvacuationsOfALaterEra(t *testing.T) {
	tests := []struct {
		desc  string
		again bool // it is written again
		ended bool // and then taken back
	}{
		{"written again", true, false},
		{"written again and taken back", true, true},
		{"not written again", false, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := NewFleet(time.Second, zerolog.Nop())
				e := newEvacuations("evacuation/", fleet)
				e.replace([]feed.Row{evacuation("z1", at(0, 5), false)}, at(0, 9))
				is.True(fleet.access.isEvacuated("z1"))
				e.replace(nil, at(1, 3))
				is.True(fleet.access.isEvacuated("z1"))
				time.Sleep(rewriteTime / 2)
				if test.again {
					e.change(evacuation("z1", at(1, 6), false))
				}
				if test.ended {
					e.change(evacuation("z1", at(1, 7), true))
					is.True(!fleet.access.isEvacuated("z1"))
				}
				time.Sleep(rewriteTime)
				is.Equal(fleet.access.isEvacuated("z1"), test.again && !test.ended)
				// Within an era a row that vanished is taken back.
				e.replace(nil, at(1, 9))
				is.True(!fleet.access.isEvacuated("z1"))
			})
		})
	}
}

// The copy lists an upstream that is gone, and lacks one that is there.
func TestUpstreamsOfALaterEra(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	rows := newUpstreamRows(w.gateway)
	row := func(id, sequence string, revision storage.Revision) feed.Row {
		return feed.Row{Key: id, Revision: revision, Data: []byte(`{"Service":"svc","Address":"127.0.0.1:9","Zone":"z1","Version":"v1","Slots":8,"Sequence":` + sequence + `}`)}
	}
	w.gateway.fleet.removalGrace = 0
	takesWork := func(id string) bool {
		s := w.gateway.fleet.shard("svc")
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.members[id].takesWork(time.Now(), 0)
	}
	rows.Replace([]feed.Row{row("gone", "4", at(0, 5)), row("there", "7", at(0, 6))}, at(0, 6))
	rows.Change(feed.Row{Key: "gone", Revision: at(0, 9), Deleted: true})
	is.True(!takesWork("gone") && takesWork("there"))

	rows.Replace([]feed.Row{row("gone", "4", at(1, 5))}, at(1, 5))
	is.True(!takesWork("gone")) // nothing new was heard of it
	is.True(takesWork("there")) // it is due to write its entry again
	rows.Change(row("there", "7", at(1, 6)))
	rows.Change(row("gone", "5", at(1, 7)))
	is.True(takesWork("gone") && takesWork("there"))
}
