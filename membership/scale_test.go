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

// sizes are the measured sizes, each a number of hosts and a number of zones.
var sizes = [][2]int{{7, 3}, {14, 3}, {28, 4}, {56, 6}, {112, 10}, {224, 18}, {440, 32}}

// measurements are the results for one size.
type measurements struct {
	hostCount, zoneCount int
	// joinTime is the time from a simultaneous start until each host stores all
	// members as Up.
	joinTime time.Duration
	// bytesPerSecond and messagesPerSecond are the bytes and messages that a host
	// sends and receives per second without faults and new facts.
	bytesPerSecond, messagesPerSecond float64
	// cpuPerRound is the processor time per host and round, including the
	// encoding of messages.
	cpuPerRound time.Duration
	// disseminationTime is the longest time, over the repetitions, until all
	// hosts have a pushed fact; bytesPerFact is the traffic per host and fact.
	disseminationTime time.Duration
	bytesPerFact      float64
	// timeToSuspect and timeToDown are the times until all other hosts store a
	// killed host as Suspect and as Down.
	timeToSuspect, timeToDown time.Duration
	// bytesPerMember is the heap size per host and member.
	bytesPerMember float64
}

// TestDisseminationAndCost prints the measurements for docs/CAPACITY.md and checks
// them against the targets.
func TestDisseminationAndCost(t *testing.T) {
	selected := sizes[:3]
	if *measure {
		selected = sizes
	}
	t.Logf("%6s %6s %8s %10s %8s %8s %10s %10s %9s %8s %9s", "hosts", "zones", "joined",
		"bytes/s", "msgs/s", "cpu/rnd", "fact all", "fact bytes", "suspect", "down", "B/member")
	for _, size := range selected {
		synctest.Test(t, func(t *testing.T) {
			result := measureSize(t, size[0], size[1])
			t.Logf("%6d %6d %8v %10.0f %8.1f %8v %10v %10.0f %9v %8v %9.0f", result.hostCount, result.zoneCount,
				result.joinTime, result.bytesPerSecond, result.messagesPerSecond, result.cpuPerRound, result.disseminationTime, result.bytesPerFact, result.timeToSuspect, result.timeToDown, result.bytesPerMember)
			const maxBytes = 7000
			if result.bytesPerSecond > maxBytes || result.timeToSuspect > suspectWithin || result.timeToDown > downWithin || result.disseminationTime > time.Second {
				t.Errorf("target exceeded: %+v", result)
			}
		})
	}
}

func measureSize(t *testing.T, count, zones int) measurements {
	const (
		settle      = 30 * time.Second
		idle        = 20 * time.Second
		repetitions = 5
	)
	result := measurements{hostCount: count, zoneCount: zones}
	beforeHeap := heapBytes()
	n := newNetwork()
	hosts := n.start(t, count, zones)
	defer n.stop(t)
	result.joinTime = waitFor(t, 5*time.Minute, "all up", func() bool { return allUp(hosts) })
	time.Sleep(settle)
	result.bytesPerMember = float64(heapBytes()-beforeHeap) / float64(count*count)

	perHost := func(total uint64) float64 { return 2 * float64(total) / float64(count) }
	beforeBytes, beforeMessages := n.traffic()
	beforeCPU := cpuTime()
	time.Sleep(idle)
	result.cpuPerRound = ((cpuTime() - beforeCPU) / time.Duration(count) / time.Duration(idle/DefaultRoundInterval)).Round(time.Microsecond)
	afterBytes, afterMessages := n.traffic()
	result.bytesPerSecond = perHost(afterBytes-beforeBytes) / idle.Seconds()
	result.messagesPerSecond = perHost(afterMessages-beforeMessages) / idle.Seconds()

	for i := range repetitions {
		key := fmt.Sprintf("head-%d", i)
		hosts[i].Put(Fact{Key: key, Version: 1, Value: make([]byte, 100)})
		result.disseminationTime = max(result.disseminationTime, waitFor(t, 5*time.Second, "fact at all", func() bool { return allHaveFact(hosts, key, 1) }))
		time.Sleep(idle / repetitions)
	}
	afterFactsBytes, _ := n.traffic()
	result.bytesPerFact = max(0, perHost(afterFactsBytes-afterBytes)-result.bytesPerSecond*idle.Seconds()) / repetitions

	killed := count / 2
	hosts[killed].kill()
	result.timeToSuspect = waitFor(t, downWithin, "suspect", func() bool { return allHaveState(hosts, hostID(killed), Suspect, Down) })
	result.timeToDown = result.timeToSuspect + waitFor(t, downWithin, "down", func() bool { return allHaveState(hosts, hostID(killed), Down) })
	return result
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
