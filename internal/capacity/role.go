package capacity

import "slices"

// Status says whether the mechanism that carries a role to the full size is
// there.
type Status string

// The statuses.
const (
	Built Status = "built"
	// Partly means that the part exists and isn't used by the entry host.
	Partly   Status = "part built"
	NotBuilt Status = "not built"
)

// Role is a part of an entry host.
type Role struct {
	Name string
	// State says what it keeps.
	State string
	// Mechanism carries the role to the full size.
	Mechanism string
	Status    Status
	// AsBuilt is what the code takes as it is.
	AsBuilt func(*Model) Usage
	// Carried is what it takes with the mechanism; nil means the same.
	Carried func(*Model) Usage
}

// Model is a size with the slopes. It notes which slopes were used, and where.
type Model struct {
	Size   Size
	Slopes *Slopes
	used   map[ID]float64
}

// NewModel returns a Model.
func NewModel(size Size, slopes *Slopes) *Model {
	return &Model{Size: size, Slopes: slopes, used: make(map[ID]float64)}
}

// at returns a slope's value at x of what it varies with.
func (m *Model) at(id ID, x float64) float64 {
	slope, _ := m.Slopes.find(id)
	m.used[id] = max(m.used[id], x)
	return slope.At(x)
}

// constant returns the value of a slope that was measured at one point.
func (m *Model) constant(id ID) float64 { return m.at(id, 0) }

// Extrapolation is a slope used beyond the range in which it was measured.
type Extrapolation struct {
	ID ID
	// Measured is the greatest X of its points, Used the greatest asked for.
	Measured, Used float64
}

// extrapolated returns the slopes used beyond their range, in their order.
func (m *Model) extrapolated() []Extrapolation {
	var list []Extrapolation
	for id, used := range m.used {
		slope, _ := m.Slopes.find(id)
		if _, high := slope.Range(); slope.Varied != "" && used > high {
			list = append(list, Extrapolation{ID: id, Measured: high, Used: used})
		}
	}
	slices.SortFunc(list, func(a, b Extrapolation) int {
		return slices.Index(allIDs, a.ID) - slices.Index(allIDs, b.ID)
	})
	return list
}

// Ids returns the slopes that were used, in their order.
func (m *Model) ids() []ID {
	var list []ID
	for _, id := range allIDs {
		if _, ok := m.used[id]; ok {
			list = append(list, id)
		}
	}
	return list
}

// carried is what the role takes with its mechanism.
func (r Role) carried(m *Model) Usage {
	if r.Carried == nil {
		return r.AsBuilt(m)
	}
	return r.Carried(m)
}

// FirstLimit is the first part of the budget that a usage passes as the size
// grows, and the number of hosts at which it does.
type FirstLimit struct {
	Excess
	Hosts float64
}

const (
	// smallest and largest bound the sizes at which a limit is looked for.
	smallest = 2
	largest  = 4400
)

// firstLimit searches the sizes on the line of Between. It is meant for usages
// that only rise with the size. ok is false where none is met up to ten times
// the full size.
func firstLimit(slopes *Slopes, use func(*Model) Usage) (limit FirstLimit, ok bool) {
	at := func(hosts int) []Excess {
		return Limits().over(use(NewModel(Between(float64(hosts)), slopes)))
	}
	if len(at(largest)) == 0 {
		return FirstLimit{}, false
	}
	low, high := smallest-1, largest
	for high-low > 1 {
		middle := (low + high) / 2
		if len(at(middle)) > 0 {
			high = middle
		} else {
			low = middle
		}
	}
	return FirstLimit{Excess: at(high)[0], Hosts: float64(high)}, true
}

// total is the sum of the roles.
func total(roles []Role, m *Model, use func(Role, *Model) Usage) Usage {
	var sum Usage
	for _, r := range roles {
		sum = sum.plus(use(r, m))
	}
	return sum
}

func asBuilt(r Role, m *Model) Usage { return r.AsBuilt(m) }

func carried(r Role, m *Model) Usage { return r.carried(m) }
