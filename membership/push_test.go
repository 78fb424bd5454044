package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// countReached returns the number of hosts, including the first, that an update by the first
// host reaches by pushes alone if no message is lost. Each host pushes the update once, when it
// first receives it.
func countReached(members []Member, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	reached := map[string]bool{members[0].ID: true}
	queue := []Member{members[0]}
	for len(queue) > 0 {
		self := queue[0]
		queue = queue[1:]
		m := &Membership{self: self, rings: newRings(self, members), rng: rng, options: Options{PushFanout: DefaultPushFanout}}
		for _, target := range m.pushTargets() {
			if !reached[target.ID] {
				reached[target.ID] = true
				queue = append(queue, target)
			}
		}
	}
	return len(reached)
}

// Pushes reach every host, whichever random targets are selected.
func TestPushReachesAll(t *testing.T) {
	for _, size := range [][2]int{{2, 1}, {3, 3}, {7, 3}, {28, 4}, {73, 3}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			count, zones := size[0], size[1]
			var members []Member
			for i := range count {
				members = append(members, Member{ID: hostID(i), Zone: fmt.Sprint("zone-", i%zones)})
			}
			for seed := range uint64(300) {
				is.Equal(countReached(members, seed), count)
			}
		})
	}
}
