package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// Entries expire during an outage of the store although their upstreams are alive, and upstreams
// write them again about two seconds after the outage. Upstreams whose entries expired must be used
// until then. In an earlier version they were used for only 1.5 s, so that a service whose entries
// had all expired had no upstream for half a second:
//
//	event=upstream-removed upstream=… at 16.2 s, event=no-upstream at 17.77 s
func TestUpstreamsWhoseEntriesExpiredInAnOutageAreUsed(t *testing.T) {
	is := is.New(t)
	const grace = 1500 * time.Millisecond
	f := NewFleet(grace, zerolog.Nop())
	for _, id := range []string{"lapsed", "removed"} {
		f.ApplyEntry(Upstream{ID: id, Service: id, Zone: "z1", Version: "v1", Slots: 8}, 1)
	}
	f.RemoveEntry("lapsed", 2, true)
	f.RemoveEntry("removed", 2, false)
	chosen := func(service string) bool {
		c, ok := f.choose(criteria{service: service, zone: "z1", admitsVersion: func(string) bool { return true }})
		if ok {
			f.release(c, attemptResult{outcome: outcomeDone})
		}
		return ok
	}
	is.True(chosen("lapsed") && chosen("removed"))
	t.Cleanup(boottime.SimulateSuspension(2 * time.Second))
	is.True(chosen("lapsed"))
	is.True(!chosen("removed"))
	t.Cleanup(boottime.SimulateSuspension(time.Second))
	is.True(!chosen("lapsed")) // its entry should have been written again by now
	f.ApplyEntry(Upstream{ID: "lapsed", Service: "lapsed", Zone: "z1", Version: "v1", Slots: 8}, 3)
	is.True(chosen("lapsed"))
	f.RemoveEntry("lapsed", 4, false)
	t.Cleanup(boottime.SimulateSuspension(2 * time.Second))
	is.True(!chosen("lapsed"))
}
