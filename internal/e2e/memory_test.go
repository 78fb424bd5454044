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
	// heapLooks is the number of readings of which the least counts, since what
	// waits for the collector is in each.
	heapLooks = 40
	// heapGrowth is what a host may keep of 3,000 requests, in bytes: caches and
	// counters. A tenth of their answers and records alone would be more.
	heapGrowth = 6 << 20
)

// TestMemoryReturnsToItsStart sends ten times as many requests as a host has
// seen to warm up, and compares the least heap after both.
func TestMemoryReturnsToItsStart(t *testing.T) {
	is := is.New(t)
	t.Setenv("GOGC", "20")
	s := startSystem(t, 2)
	s.submit(devenv.Manifest())
	s.many(300)
	before := s.leastHeap()
	s.many(3000)
	after := s.leastHeap()
	t.Logf("least heap: %d bytes, and %d after 3,000 requests more", before, after)
	is.True(after < before+heapGrowth)
}

// many sends chats with long prompts, sessions and request keys to a host.
func (s *system) many(n int) {
	s.t.Helper()
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() {
			for i := range n / callers {
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
	for range heapLooks {
		if n := s.heap(); least == 0 || n < least {
			least = n
		}
		time.Sleep(50 * time.Millisecond)
	}
	return least
}

// heap reads the heap in use of the first host.
func (s *system) heap() int {
	s.t.Helper()
	resp, err := client.Get("http://" + s.hosts[0].operators + "/metrics")
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
	s.t.Fatal("no heap among the metrics")
	return 0
}
