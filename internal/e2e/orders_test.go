package e2e

import (
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// TestWithdrawnVersionIsUnloaded withdraws a version and kills the host that has
// the lease for sending orders to engines. All engines must still unload the
// version, whether or not they check fencing numbers.
func TestWithdrawnVersionIsUnloaded(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	fenced := startStandin(t, "engine-4", "engine", "--platform=http://"+s.platform, "--id=engine-4",
		"--zone=zone-a", "--versions=small@v1,small@v2", "--fenced")
	s.engines = append(s.engines, fenced)
	first := devenv.Manifest()
	s.submit(first)
	s.submitTo(s.hosts[0], edit(t, first, withdrawV1))
	var leaseHolder *entryHost
	eventually(t, "a host has the orders lease", func() bool {
		for _, h := range s.hosts {
			if findField(h.output(), "event=orders-lease", "fencing=") != "" {
				leaseHolder = h
			}
		}
		return leaseHolder != nil
	})
	leaseHolder.kill()
	eventually(t, "no engine has the version", func() bool { return s.enginesWithVersion("small@v1") == 0 })
	is.Equal(s.enginesWithVersion("small@v2"), len(s.engines)) // only the withdrawn version is unloaded
}

// enginesWithVersion counts the engines that have a version loaded.
func (s *system) enginesWithVersion(versioned string) int {
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
