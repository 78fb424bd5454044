package deployment

import (
	"math/rand/v2"

	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/internal/entry"
)

// policy is what the hosts of a cell do.
type policy struct {
	name string
	// settings changes the hosts' settings; nil changes none.
	settings func(*entry.Settings)
	// hidesDeadlines keeps deadlines from the hosts. Callers leave at them
	// all the same.
	hidesDeadlines bool
}

var (
	product     = policy{name: "quetzalweir"}
	randomly    = policy{name: "random upstream", settings: chooseRandomly}
	noAdmission = policy{name: "no admission", settings: admitAll, hidesDeadlines: true}
	policies    = []policy{product, randomly, noAdmission}
)

// chooseRandomly takes any upstream that has the version and isn't leaving.
func chooseRandomly(s *entry.Settings) {
	s.Selector = &balance.Selector{
		Filters: []balance.Filter{balance.VersionFilter{}, balance.LeavingFilter{}, balance.ExcludedFilter{}},
		Picker:  one{},
	}
}

// one samples a single candidate, so that scores don't count.
type one struct{}

// Sample implements balance.Picker.
func (one) Sample(n int, rnd *rand.Rand) []int { return []int{rnd.IntN(n)} }

// unlimited is more than any cell has in requests.
const unlimited = 1 << 20

// admitAll sends all requests on at once; they wait at the engines.
func admitAll(s *entry.Settings) {
	s.Capacity = unlimited
	s.QueueFactor = unlimited
}
