package exchange

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

// A hub states how many of its followers lack a change, and for how long.
func TestFollowersThatLackAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, source := hubWith(t, incompressible(1, 100))
		m := &Member{ownHub: h}
		report := func(host int, revision storage.Revision) {
			h.record(fmt.Sprint("host-", host), Report{Zone: "z", Revisions: map[string]storage.Revision{"t": revision}})
		}
		for host := range minHostsPerHub {
			report(host, 1)
		}
		is.Equal(m.FollowersBehind("t"), FollowersBehind{})
		source.rows <- incompressible(2, 100)
		awaitRevision(t, h.tables["t"], 2)
		time.Sleep(700 * time.Millisecond)
		for host := range minHostsPerHub {
			report(host, storage.Revision(1+min(1, host)))
		}
		behind := m.FollowersBehind("t")
		is.Equal(behind.Hosts, 1)
		is.Equal(behind.Host, "host-0")
		is.True(behind.Longest >= 700*time.Millisecond && behind.Longest < 800*time.Millisecond)
		is.Equal(m.FollowersBehind("other"), FollowersBehind{})
	})
}
