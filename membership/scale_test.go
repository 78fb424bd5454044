package membership

import (
	"flag"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

var measure = flag.Bool("measure", false, "measure all sizes up to 440 hosts")

// sizes are the measured numbers of hosts and zones.
var sizes = [][2]int{{7, 3}, {14, 3}, {28, 4}, {56, 6}, {112, 10}, {224, 18}, {440, 32}}

// measurements are the results for one size.
type measurements struct {
	hosts, zones int
	// joined is the time from a simultaneous start until all hosts have all
	// members as Up.
	joined time.Duration
	// bytes and messages are sent and received per host and second while idle.
	bytes, messages float64
	// cpu is the processor time per host and round, including the encoding.
	cpu time.Duration
	// spread is the longest time of the trials until all hosts have a pushed
	// fact; factBytes is the traffic per host and fact.
	spread    time.Duration
	factBytes float64
	// suspect and down are the times until all hosts have a killed host in that
	// state.
	suspect, down time.Duration
	// memory is the heap size per host and member, in bytes.
	memory float64
}

// TestSpreadAndCost prints the measurements for docs/CAPACITY.md and checks them
// against the targets.
func TestSpreadAndCost(t *testing.T) {
	selected := sizes[:3]
	if *measure {
		selected = sizes
	}
	t.Logf("%6s %6s %8s %10s %8s %8s %10s %10s %9s %8s %9s", "hosts", "zones", "joined",
		"bytes/s", "msgs/s", "cpu/rnd", "fact all", "fact bytes", "suspect", "down", "B/member")
	for _, size := range selected {
		synctest.Test(t, func(t *testing.T) {
			f := measureSize(t, size[0], size[1])
			t.Logf("%6d %6d %8v %10.0f %8.1f %8v %10v %10.0f %9v %8v %9.0f", f.hosts, f.zones,
				f.joined, f.bytes, f.messages, f.cpu, f.spread, f.factBytes, f.suspect, f.down, f.memory)
			const maxBytes = 7000
			if f.bytes > maxBytes || f.suspect > suspectWithin || f.down > downWithin || f.spread > time.Second {
				t.Errorf("target exceeded: %+v", f)
			}
		})
	}
}

func measureSize(t *testing.T, count, zones int) measurements {
	const (
		settle = 30 * time.Second
		idle   = 20 * time.Second
		trials = 5
	)
	f := measurements{hosts: count, zones: zones}
	heap := heapBytes()
	n := newNetwork()
	hosts := n.start(t, count, zones)
	defer n.stop(t)
	f.joined = waitFor(t, 5*time.Minute, "all up", func() bool { return allUp(hosts) })
	time.Sleep(settle)
	f.memory = float64(heapBytes()-heap) / float64(count*count)

	perHost := func(total uint64) float64 { return 2 * float64(total) / float64(count) }
	bytes, messages := n.traffic()
	cpu := cpuTime()
	time.Sleep(idle)
	f.cpu = ((cpuTime() - cpu) / time.Duration(count) / time.Duration(idle/DefaultInterval)).Round(time.Microsecond)
	afterBytes, afterMessages := n.traffic()
	f.bytes = perHost(afterBytes-bytes) / idle.Seconds()
	f.messages = perHost(afterMessages-messages) / idle.Seconds()

	for i := range trials {
		key := fmt.Sprintf("head-%d", i)
		hosts[i].Put(Fact{Key: key, Version: 1, Value: make([]byte, 100)})
		f.spread = max(f.spread, waitFor(t, 5*time.Second, "fact at all", func() bool { return allHave(hosts, key, 1) }))
		time.Sleep(idle / trials)
	}
	factBytes, _ := n.traffic()
	f.factBytes = max(0, perHost(factBytes-afterBytes)-f.bytes*idle.Seconds()) / trials

	killed := count / 2
	hosts[killed].kill()
	f.suspect = waitFor(t, downWithin, "suspect", func() bool { return allObserve(hosts, hostID(killed), Suspect, Down) })
	f.down = f.suspect + waitFor(t, downWithin, "down", func() bool { return allObserve(hosts, hostID(killed), Down) })
	return f
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuTime returns the processor time of this process, which includes the
// simulated network.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
