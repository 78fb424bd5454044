package membership

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/quetzalweir/quetzalweir/storage"
)

// versionHistory holds, for each host and each fact or member, the versions
// that the host stored, in the order of their arrival.
type versionHistory struct {
	mu       sync.Mutex
	versions map[string][]uint64
}

func (h *versionHistory) add(host, key string, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := host + " " + key
	h.versions[name] = append(h.versions[name], version)
}

// check returns an error if a host stored a lower version after a higher one.
func (h *versionHistory) check() error {
	for name, versions := range h.versions {
		for i := 1; i < len(versions); i++ {
			if versions[i] < versions[i-1] {
				return fmt.Errorf("%s: version %d after %d", name, versions[i], versions[i-1])
			}
		}
	}
	return nil
}

func TestHistoryCheckRejectsDecreasingVersion(t *testing.T) {
	is := is.New(t)
	h := versionHistory{versions: make(map[string][]uint64)}
	for _, version := range []uint64{1, 2, 2, 5} {
		h.add("host", "key", version)
	}
	is.NoErr(h.check())
	h.add("host", "key", 4)
	is.True(h.check() != nil)
}

// TestConcurrentFaults injects random faults, of which several last at the same
// time, for a few minutes. Versions must not decrease at any host, and after the
// last fault all hosts must converge.
func TestConcurrentFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
				is := is.New(t)
				observed := &versionHistory{versions: make(map[string][]uint64)}
				for i, host := range hosts {
					host.Watch("", func(f Fact) { observed.add(hostID(i), f.Key, f.Version) })
					host.Subscribe(func(e Event) { observed.add(hostID(i), e.Member.ID, e.Member.version()) })
				}
				rng := rand.New(rand.NewPCG(seed, 0))
				version := uint64(0)
				for range 60 {
					injectFault(n, hosts, rng)
					version++
					hosts[rng.IntN(hostCount)].Put(Fact{Key: "head", Version: version})
					time.Sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
				}
				n.clearFaults()
				version++
				is.NoErr(hosts[0].Put(Fact{Key: "head", Version: version}))
				took := waitFor(t, 30*time.Second, "agreement", func() bool {
					return allUp(hosts) && allHaveFact(hosts, "head", version)
				})
				synctest.Wait()
				declaredDown := uint64(0)
				for _, host := range hosts {
					declaredDown += host.Stats().DeclaredDown
				}
				t.Logf("%d times down; converged %v after the last fault", declaredDown, took)
				is.True(declaredDown > 0) // otherwise the faults had no effect
				is.NoErr(observed.check())
			})
		})
	}
}

// injectFault starts or ends one random fault. Faults that started earlier
// continue.
func injectFault(n *network, hosts []*host, rng *rand.Rand) {
	target := hosts[rng.IntN(len(hosts))]
	switch rng.IntN(7) {
	case 0:
		n.setLossRate(rng.Float64() / 4)
	case 1:
		side := rng.Uint64()
		n.setPartition(func(a, b string) bool { return side>>(a[len(a)-1]&7)&1 != side>>(b[len(b)-1]&7)&1 })
	case 2:
		n.setPartition(nil)
	case 3:
		target.resume()
		target.pause()
	case 4:
		for _, h := range hosts {
			h.resume()
		}
	case 5:
		n.table.setFail([]error{nil, storage.ErrUnavailable, storage.ErrUnknown}[rng.IntN(3)])
	case 6:
		n.table.setLoseResponses(rng.IntN(2) == 0)
	}
}

// clearFaults ends all faults.
func (n *network) clearFaults() {
	n.setLossRate(0)
	n.setPartition(nil)
	n.table.setFail(nil)
	n.table.setLoseResponses(false)
	for _, h := range n.hosts {
		h.resume()
	}
}
