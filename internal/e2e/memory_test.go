package e2e

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
)

const (
	// heapReadings is the number of heap readings of which the lowest is used,
	// since each includes garbage that isn't collected yet.
	heapReadings = 40
	// maxHeapGrowth is the number of bytes that a host may retain after 3,000
	// requests, for caches and counters. A tenth of their answers and records
	// would exceed it.
	maxHeapGrowth = 6 << 20
)

// TestMemoryDoesNotGrowWithRequests checks that a host does not retain memory per
// request. It compares the lowest heap after some warm-up requests with the lowest
// heap after ten times as many requests.
func TestMemoryDoesNotGrowWithRequests(t *testing.T) {
	is := is.New(t)
	t.Setenv("GOGC", "20")
	s := startSystem(t, 2)
	s.submit(devenv.Manifest())
	s.sendLongChats(300)
	before := s.leastHeap()
	s.sendLongChats(3000)
	after := s.leastHeap()
	t.Logf("lowest heap: %d bytes, %d after 3,000 further requests", before, after)
	is.True(after < before+maxHeapGrowth)
}

// sendLongChats sends n chats with long prompts to the first host, each in a new
// session.
func (s *system) sendLongChats(n int) {
	s.t.Helper()
	var wait sync.WaitGroup
	for c := range loadCallers {
		wait.Go(func() {
			for i := range n / loadCallers {
				prompt := fmt.Sprintf("%d %d %s tokens=20", c, i, strings.Repeat("stock sheet ", 300))
				a, err := chat("small", prompt, i%2 == 0).with("Quetzalweir-Session", "new").send(s.hosts[0])
				if err != nil || a.status != 200 {
					s.t.Errorf("request %d: %v %s", i, err, a.body)
					return
				}
			}
		})
	}
	wait.Wait()
}

func (s *system) leastHeap() int {
	s.t.Helper()
	least := 0
	for range heapReadings {
		if n := s.heap(); least == 0 || n < least {
			least = n
		}
		time.Sleep(50 * time.Millisecond)
	}
	return least
}

// heap returns the heap in use of the first host, in bytes.
func (s *system) heap() int {
	s.t.Helper()
	resp, err := client.Get("http://" + s.hosts[0].operatorAddr + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "go_memstats_heap_alloc_bytes "); ok {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				s.t.Fatal(err)
			}
			return int(n)
		}
	}
	s.t.Fatal("go_memstats_heap_alloc_bytes is not among the metrics")
	return 0
}
