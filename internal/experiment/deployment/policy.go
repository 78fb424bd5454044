package deployment

import (
	"math/rand/v2"

	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/internal/entry"
)

// policy configures the hosts of a system.
type policy struct {
	name string
	// settings changes the hosts' settings; nil changes none.
	settings func(*entry.Settings)
	// hidesDeadlines sends hosts a deadline of a minute. Callers leave at their
	// real deadlines all the same.
	hidesDeadlines bool
}

var (
	product        = policy{name: "quetzalweir"}
	randomUpstream = policy{name: "random upstream", settings: chooseRandomly}
	noAdmission    = policy{name: "no admission", settings: admitAll, hidesDeadlines: true}
	policies       = []policy{product, randomUpstream, noAdmission}
)

// chooseRandomly makes hosts choose at random among the upstreams that have the
// version, aren't leaving, and didn't get the request before.
func chooseRandomly(s *entry.Settings) {
	s.Selector = &balance.Selector{
		Filters: []balance.Filter{balance.VersionFilter{}, balance.LeavingFilter{}, balance.ExcludedFilter{}},
		Picker:  singlePicker{},
	}
}

// singlePicker samples a single candidate, so that scores have no effect.
type singlePicker struct{}

// Sample implements balance.Picker.
func (singlePicker) Sample(n int, rnd *rand.Rand) []int { return []int{rnd.IntN(n)} }

// unlimited is more than the number of requests in any cell.
const unlimited = 1 << 20

// admitAll makes hosts forward all requests at once, so that they queue at the
// engines.
func admitAll(s *entry.Settings) {
	s.Capacity = unlimited
	s.QueueFactor = unlimited
}
