package admission

import (
	"strings"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// figures are the results of one run.
type figures struct {
	// good, late and lost are parts of the class's requests.
	good, late, lost [3]float64
	// goodput is the work answered in time over the work of the capacity.
	goodput float64
	// goodLarge and goodSmall are parts of the accounts' requests.
	goodLarge, goodSmall float64
	// freeRefusals counts refusals while a place was free.
	freeRefusals float64
	// refusalWait is the mean time until a refusal, in milliseconds.
	refusalWait float64
}

// sums are what the requests of one run add up to.
type sums struct {
	figures
	// count is the number of each class's requests, large and small that of the
	// accounts' requests.
	count        [3]float64
	large, small float64
	refused      float64
	// work is the service time of answers in time, in seconds.
	work float64
}

func measure(s scenario, requests []*request) figures {
	var sum sums
	for _, r := range requests {
		if r.arrival >= warmUp {
			sum.add(r)
		}
	}
	return sum.parts(capacityWork(s))
}

func (s *sums) add(r *request) {
	good := r.finished > 0 && r.finished <= r.deadline
	s.count[r.class]++
	switch {
	case good:
		s.good[r.class]++
		s.work += r.service.Seconds()
	case r.finished > 0:
		s.late[r.class]++
	default:
		s.lost[r.class]++
	}
	if strings.HasPrefix(r.account, "large") {
		s.large++
		s.goodLarge += asNumber(good)
	} else {
		s.small++
		s.goodSmall += asNumber(good)
	}
	if r.refused {
		s.refused++
		s.refusalWait += (r.refusedAt - r.arrival).Seconds() * 1000
	}
	s.freeRefusals += asNumber(r.freeAtRefusal)
}

// parts turns the sums into parts of what was asked for.
func (s *sums) parts(capacity float64) figures {
	f := s.figures
	for i, n := range s.count {
		f.good[i] /= n
		f.late[i] /= n
		f.lost[i] /= n
	}
	f.goodLarge /= s.large
	f.goodSmall /= s.small
	if s.refused > 0 {
		f.refusalWait /= s.refused
	}
	f.goodput = s.work / capacity
	return f
}

func asNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func capacityWork(s scenario) float64 {
	lost := (s.lossUntil - s.lossFrom).Seconds() / 3
	return places * ((runTime - warmUp).Seconds() - lost)
}

func printScenario(t *simulate.Tables, s scenario, seeds int) {
	t.Section(s.name)
	t.Header(2, "policy", "class", "in time %", "late %", "lost %", "goodput % of capacity",
		"in time %, large / small accounts", "refused with a place free", "mean ms to a refusal")
	for _, p := range candidates() {
		runs := simulate.RunSeeds(seeds, func(seed int) figures {
			return measure(s, run(s, p.make(), uint64(seed+1)))
		})
		for class, l := range loads {
			t.Row(append([]string{p.name, l.name}, classCells(runs, class)...)...)
		}
	}
}

// classCells returns the figures of a class; the first class's row has those
// of the whole run too.
func classCells(runs []figures, class int) []string {
	percent := func(value func(figures) float64) string {
		return simulate.FormatDeviation(simulate.Values(runs, func(f figures) float64 { return 100 * value(f) }))
	}
	cells := []string{
		percent(func(f figures) float64 { return f.good[class] }),
		percent(func(f figures) float64 { return f.late[class] }),
		percent(func(f figures) float64 { return f.lost[class] }),
	}
	if class > 0 {
		return append(cells, "", "", "", "")
	}
	large := percent(func(f figures) float64 { return f.goodLarge })
	small := percent(func(f figures) float64 { return f.goodSmall })
	return append(cells,
		percent(func(f figures) float64 { return f.goodput }),
		large+" / "+small,
		simulate.FormatDeviation(simulate.Values(runs, func(f figures) float64 { return f.freeRefusals })),
		simulate.FormatDeviation(simulate.Values(runs, func(f figures) float64 { return f.refusalWait })))
}
