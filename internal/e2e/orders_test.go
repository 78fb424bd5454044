package e2e

import (
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// TestWithdrawnVersionIsUnloaded withdraws a version and kills the host that
// gives the orders: engines that check fencing numbers and engines that don't
// drop the version all the same.
func TestWithdrawnVersionIsUnloaded(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	fenced := startStandin(t, "engine-4", "engine", "--platform=http://"+s.platform, "--id=engine-4",
		"--zone=zone-a", "--versions=small@v1,small@v2", "--fenced")
	s.engines = append(s.engines, fenced)
	first := devenv.Manifest()
	s.submit(first)
	s.submitTo(s.hosts[0], edit(t, first, withdrawV1))
	var orderer *entryHost
	eventually(t, "a host gives orders", func() bool {
		for _, h := range s.hosts {
			if findField(h.output(), "event=orders-lease", "fencing=") != "" {
				orderer = h
			}
		}
		return orderer != nil
	})
	orderer.kill()
	eventually(t, "no engine has the version", func() bool { return s.loadedOn("small@v1") == 0 })
	is.Equal(s.loadedOn("small@v2"), len(s.engines)) // and only that one is gone
}

// loadedOn counts the engines that have a version loaded.
func (s *system) loadedOn(versioned string) int {
	s.t.Helper()
	n := 0
	for _, e := range s.engines {
		var load upstream.Load
		s.standinGet(e.address, "/load", &load)
		for _, v := range load.Versions {
			if v == versioned {
				n++
			}
		}
	}
	return n
}
