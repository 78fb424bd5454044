package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// Entries lapse while the store is away though their upstreams live, and are back about two
// seconds after it. Upstreams whose entries vanished were used for 1.5 s only, so that a
// service whose entries had all lapsed had none for half a second:
//
//	event=upstream-removed upstream=… at 16.2 s, event=no-upstream at 17.77 s
func TestUpstreamsWhoseEntriesLapsedAreUsedUntilTheyAreDueBack(t *testing.T) {
	is := is.New(t)
	const grace = 1500 * time.Millisecond
	f := NewFleet(grace, zerolog.Nop())
	for _, id := range []string{"lapsed", "removed"} {
		f.Set(Upstream{ID: id, Service: id, Zone: "z1", Version: "v1", Slots: 8}, 1)
	}
	f.Remove("lapsed", 2, true)
	f.Remove("removed", 2, false)
	chosen := func(service string) bool {
		c, ok := f.choose(wants{service: service, zone: "z1", admits: func(string) bool { return true }})
		if ok {
			f.release(c, attemptResult{outcome: outcomeDone})
		}
		return ok
	}
	is.True(chosen("lapsed") && chosen("removed"))
	t.Cleanup(boottime.Simulate(2 * time.Second))
	is.True(chosen("lapsed"))
	is.True(!chosen("removed"))
	t.Cleanup(boottime.Simulate(time.Second))
	is.True(!chosen("lapsed")) // what isn't back by now is gone
	f.Set(Upstream{ID: "lapsed", Service: "lapsed", Zone: "z1", Version: "v1", Slots: 8}, 3)
	is.True(chosen("lapsed"))
	f.Remove("lapsed", 4, false)
	t.Cleanup(boottime.Simulate(2 * time.Second))
	is.True(!chosen("lapsed"))
}
