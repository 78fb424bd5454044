package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// newFleetOfVersions returns a fleet with one upstream of each version, and two of the first.
func newFleetOfVersions(versions ...string) *Fleet {
	f := NewFleet(time.Second, zerolog.Nop())
	for _, version := range versions {
		f.ApplyEntry(Upstream{ID: version, Service: "svc", Version: version}, 1)
	}
	f.ApplyEntry(Upstream{ID: "another", Service: "svc", Version: versions[0]}, 1)
	return f
}

func orderOf(version string, revision storage.Revision) RolloutOrder {
	return RolloutOrder{Service: "svc", Version: version, Duration: time.Minute, Revision: revision}
}

func statusOf(version string, state RolloutState, order, revision storage.Revision) RolloutStatus {
	return RolloutStatus{Service: "svc", Version: version, State: state, OrderRevision: order, Revision: revision}
}

// After an order that follows a rollback, the requests outside of the new version's share ran on the
// version that had been rolled back, as long as its upstreams were in service.
func TestOrderAfterARollbackKeepsTheBaseVersion(t *testing.T) {
	tests := []struct {
		desc string
		// play passes orders and statuses to a host.
		play func(ro *rollouts)
		want string
	}{
		{"after a rollback", func(ro *rollouts) {
			ro.addOrder(orderOf("v2", 1), false)
			ro.setStatus(statusOf("v2", RolloutReverted, 1, 2))
			ro.addOrder(orderOf("v3", 3), false)
		}, "v1"},
		{"after a version that this host stopped", func(ro *rollouts) {
			ro.addOrder(orderOf("v2", 1), false)
			ro.byService["svc"].stopped = true
			ro.addOrder(orderOf("v3", 3), false)
		}, "v1"},
		{"during a roll-out", func(ro *rollouts) {
			ro.addOrder(orderOf("v2", 1), false)
			ro.setStatus(statusOf("v2", RolloutRunning, 1, 2))
			ro.addOrder(orderOf("v3", 3), false)
		}, "v1"},
		{"after a completed roll-out", func(ro *rollouts) {
			ro.addOrder(orderOf("v2", 1), false)
			ro.setStatus(statusOf("v2", RolloutCompleted, 1, 2))
			ro.addOrder(orderOf("v3", 3), false)
		}, "v2"},
		{"the status that completes arrives after the next order", func(ro *rollouts) {
			ro.addOrder(orderOf("v2", 1), false)
			ro.addOrder(orderOf("v3", 3), false)
			ro.setStatus(statusOf("v2", RolloutCompleted, 1, 2))
		}, "v2"},
		{"on a host that starts after the order", func(ro *rollouts) {
			status := statusOf("v3", RolloutRunning, 3, 4)
			status.BaseVersion = "v2"
			ro.setStatus(status)
			ro.addOrder(orderOf("v3", 3), true)
		}, "v2"},
		{"on a host that starts between the order and its status", func(ro *rollouts) {
			status := statusOf("v2", RolloutReverted, 1, 2)
			status.BaseVersion = "v1"
			ro.addOrder(orderOf("v3", 3), true)
			ro.byService["svc"].baseVersion = ""
			ro.setStatus(status)
		}, "v1"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			ro := newRollouts(&Settings{CanaryShare: 0.2}, newFleetOfVersions("v1", "v2", "v3"), zerolog.Nop())
			test.play(ro)
			admits := ro.versionFilter(&Request{ID: "r", Service: "svc"})
			for _, version := range []string{"v1", "v2", "v3"} {
				is.Equal(admits(version), version == test.want) // the version that runs the request
			}
		})
	}
}

// A base version without upstreams must not leave requests without an upstream, nor send all of them to
// the new version.
func TestBaseVersionWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	ro := newRollouts(&Settings{CanaryShare: 0.2}, newFleetOfVersions("v2", "v3"), zerolog.Nop())
	ro.addOrder(orderOf("v3", 3), false)
	ro.byService["svc"].baseVersion = "v1"
	admits := ro.versionFilter(&Request{ID: "r", Service: "svc"})
	is.True(admits("v2"))
	is.True(!admits("v3"))
}
