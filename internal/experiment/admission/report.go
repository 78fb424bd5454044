package admission

import (
	"strings"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// metrics are the results of one run. totals uses the same fields for sums.
type metrics struct {
	// inTime, late and lost are fractions of each class's requests: answered
	// within the deadline, answered after it, and not answered.
	inTime, late, lost [3]float64
	// goodput is the service time of answers in time as a fraction of the
	// available service time.
	goodput float64
	// inTimeLarge and inTimeSmall are the fractions of the requests of large
	// and small accounts that were answered in time.
	inTimeLarge, inTimeSmall float64
	// refusedWithFreeSlot counts refusals while a slot was free.
	refusedWithFreeSlot float64
	// msToRefusal is the mean time until a refusal, in milliseconds.
	msToRefusal float64
}

// totals holds sums over the requests of one run.
type totals struct {
	metrics
	// count is the number of requests of each class; large and small are those
	// of the large and small accounts.
	count        [3]float64
	large, small float64
	refused      float64
	// usefulWork is the service time of answers in time, in seconds.
	usefulWork float64
}

func measure(s scenario, requests []*request) metrics {
	var total totals
	for _, r := range requests {
		if r.arrival >= warmUp {
			total.add(r)
		}
	}
	return total.normalize(availableWork(s))
}

func (s *totals) add(r *request) {
	inTime := r.finished > 0 && r.finished <= r.deadline
	s.count[r.class]++
	switch {
	case inTime:
		s.inTime[r.class]++
		s.usefulWork += r.service.Seconds()
	case r.finished > 0:
		s.late[r.class]++
	default:
		s.lost[r.class]++
	}
	if strings.HasPrefix(r.account, "large") {
		s.large++
		s.inTimeLarge += indicator(inTime)
	} else {
		s.small++
		s.inTimeSmall += indicator(inTime)
	}
	if r.refused {
		s.refused++
		s.msToRefusal += (r.refusedAt - r.arrival).Seconds() * 1000
	}
	s.refusedWithFreeSlot += indicator(r.hadFreeSlot)
}

// normalize divides the sums by the numbers of requests, and the useful work by
// capacity, the available service time in seconds.
func (s *totals) normalize(capacity float64) metrics {
	f := s.metrics
	for i, n := range s.count {
		f.inTime[i] /= n
		f.late[i] /= n
		f.lost[i] /= n
	}
	f.inTimeLarge /= s.large
	f.inTimeSmall /= s.small
	if s.refused > 0 {
		f.msToRefusal /= s.refused
	}
	f.goodput = s.usefulWork / capacity
	return f
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func availableWork(s scenario) float64 {
	lost := (s.lossUntil - s.lossFrom).Seconds() / 3
	return slotCount * ((runDuration - warmUp).Seconds() - lost)
}

func printScenario(t *simulate.Tables, s scenario, seeds int) {
	t.Section(s.name)
	t.Header(2, "policy", "class", "in time %", "late %", "lost %", "goodput % of capacity",
		"in time %, large / small accounts", "refused with a place free", "mean ms to a refusal")
	for _, p := range policies() {
		runs := simulate.RunSeeds(seeds, func(seed int) metrics {
			return measure(s, run(s, p.make(), uint64(seed+1)))
		})
		for class, l := range loads {
			t.Row(append([]string{p.name, l.name}, classCells(runs, class)...)...)
		}
	}
}

// classCells formats the metrics of a class. The row of the first class also
// has those of the whole run.
func classCells(runs []metrics, class int) []string {
	percent := func(value func(metrics) float64) string {
		return simulate.FormatDeviation(simulate.Values(runs, func(f metrics) float64 { return 100 * value(f) }))
	}
	cells := []string{
		percent(func(f metrics) float64 { return f.inTime[class] }),
		percent(func(f metrics) float64 { return f.late[class] }),
		percent(func(f metrics) float64 { return f.lost[class] }),
	}
	if class > 0 {
		return append(cells, "", "", "", "")
	}
	large := percent(func(f metrics) float64 { return f.inTimeLarge })
	small := percent(func(f metrics) float64 { return f.inTimeSmall })
	return append(cells,
		percent(func(f metrics) float64 { return f.goodput }),
		large+" / "+small,
		simulate.FormatDeviation(simulate.Values(runs, func(f metrics) float64 { return f.refusedWithFreeSlot })),
		simulate.FormatDeviation(simulate.Values(runs, func(f metrics) float64 { return f.msToRefusal })))
}
