package balance

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

// largeList returns upstreams spread evenly over pools and zones.
func largeList(upstreams, zones, pools int) []storage.Host {
	list := make([]storage.Host, upstreams)
	for i := range list {
		list[i] = storage.Host{
			ID:   fmt.Sprintf("upstream-%05d", i),
			Kind: storage.KindEngine,
			Name: fmt.Sprint("pool-", i%pools),
			Zone: fmt.Sprint("zone-", (i/pools)%zones),
		}
	}
	return list
}

func TestSubset(t *testing.T) {
	list := largeList(12_000, 32, 20) // 18 or 19 of each pool in each zone
	tests := []struct {
		desc     string
		subset   Subset
		zone     string
		minCount int
		maxCount int
	}{
		{"own zone, filled up from others", Subset{}, "zone-1", 20 * DefaultSubsetMin, 20 * DefaultSubsetMin},
		{"own zone is enough", Subset{Min: 10}, "zone-1", 20 * 18, 20 * 19},
		{"bounded", Subset{Min: 5, Max: 7}, "zone-1", 20 * 7, 20 * 7},
		{"no upstream in the zone", Subset{}, "elsewhere", 20 * DefaultSubsetMin, 20 * DefaultSubsetMin},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			chosen := tt.subset.Select("entry-1", tt.zone, list)
			is.True(len(chosen) >= tt.minCount && len(chosen) <= tt.maxCount)
			is.Equal(chosen, tt.subset.Select("entry-1", tt.zone, list)) // deterministic
		})
	}
}

func TestSubsetChangesLittleWithTheList(t *testing.T) {
	is := is.New(t)
	list := largeList(1000, 1, 1)
	subset := Subset{Min: 100, Max: 100}
	before := subset.Select("entry-1", "zone-0", list)
	after := subset.Select("entry-1", "zone-0", list[10:])
	selectedBefore := map[string]bool{}
	for _, h := range before {
		selectedBefore[h.ID] = true
	}
	added := 0
	for _, h := range after {
		if !selectedBefore[h.ID] {
			added++
		}
	}
	is.True(added <= 10)
}

// TestEveryUpstreamIsInASubset checks that each upstream receives requests from
// enough entry hosts. It uses the design size: 440 entry hosts in 32 zones, and the
// 600 upstreams of one of the twenty model pools.
func TestEveryUpstreamIsInASubset(t *testing.T) {
	is := is.New(t)
	list := largeList(600, 32, 1)
	senders := make(map[string]int)
	for i := range 440 {
		for _, h := range (Subset{}).Select(fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%32), list) {
			senders[h.ID]++
		}
	}
	fewest := 440
	for _, h := range list {
		fewest = min(fewest, senders[h.ID])
	}
	t.Logf("each upstream is in the subsets of at least %d entry hosts", fewest)
	is.True(fewest >= 440/32)
}

func TestPollingHostsAreSpreadAndStable(t *testing.T) {
	is := is.New(t)
	hosts := []string{"a", "b", "c", "d"}
	counts := map[string]int{}
	for i := range 1000 {
		id := fmt.Sprint("upstream-", i)
		polling := PollingHost(id, hosts)
		counts[polling]++
		if polling != "d" {
			is.Equal(PollingHost(id, hosts[:3]), polling) // only the upstreams of d change their polling host
		}
	}
	for _, h := range hosts {
		is.True(counts[h] > 200 && counts[h] < 300)
	}
	is.Equal(PollingHost("u", nil), "")
}
