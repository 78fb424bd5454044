package deployment

import (
	"fmt"
	"strconv"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// meanAndRange formats the mean, the least and the greatest of a figure over
// the runs.
func meanAndRange[T any](runs []T, figure func(T) float64) string {
	s := simulate.Summarize(simulate.Values(runs, figure))
	return fmt.Sprintf("%.1f (%.1f-%.1f)", s.Mean, s.Min, s.Max)
}

// cellMeanAndRange is meanAndRange for a figure of the cells of one scenario.
func cellMeanAndRange(runs []loadRun, scenario int, figure func(*cellStats) float64) string {
	return meanAndRange(runs, func(run loadRun) float64 { return figure(run.cells[scenario]) })
}

// printClassTable prints a row for each scenario, policy and class.
func (r *report) printClassTable(runs [][]loadRun) {
	r.Section(fmt.Sprintf("Classes, in percent of the requests sent: mean (least-greatest) of %d runs", r.options.Seeds), loadAverageNote())
	r.Header(3, "load", "policy", "class", "in time", "late", "refused", "lost")
	for i, sc := range scenarios {
		for p, pol := range policies {
			for _, c := range classes {
				percent := func(o outcome) string {
					return cellMeanAndRange(runs[p], i, func(s *cellStats) float64 { return s.byClass[c.name].percent(o) })
				}
				r.Row(sc.name, pol.name, c.name,
					percent(inTime), percent(late), percent(refused), percent(lost))
			}
		}
	}
}

// printTotalTable prints a row for each scenario and policy.
func (r *report) printTotalTable(runs [][]loadRun) {
	r.Section("Goodput, first token, accounts")
	r.Header(2, "load", "policy", "in time, /s", "first token p50, ms", "p95", "p99", "in time, large accounts %",
		"small %", "refused with a place free, % of requests", "ms to a refusal")
	for i, sc := range scenarios {
		for p, pol := range policies {
			cell := func(figure func(*cellStats) float64) string { return cellMeanAndRange(runs[p], i, figure) }
			r.Row(sc.name, pol.name,
				cell(func(s *cellStats) float64 { return float64(s.all[inTime]) / r.options.CellTime.Seconds() }),
				cell(func(s *cellStats) float64 { return s.firstTokenMs(50) }),
				cell(func(s *cellStats) float64 { return s.firstTokenMs(95) }),
				cell(func(s *cellStats) float64 { return s.firstTokenMs(99) }),
				cell(func(s *cellStats) float64 { return s.byAccountSize[true].percent(inTime) }),
				cell(func(s *cellStats) float64 { return s.byAccountSize[false].percent(inTime) }),
				cell(percentRefusedWithFreeSlot), cell(msToRefusal))
		}
	}
}

func percentRefusedWithFreeSlot(s *cellStats) float64 {
	return 100 * float64(s.refusedWithFreeSlot) / float64(max(1, s.all.sent()))
}

// msToRefusal returns the mean time to a refusal, in milliseconds.
func msToRefusal(s *cellStats) float64 {
	return float64(s.refusalTimeSum.Milliseconds()) / float64(max(1, s.all[refused]))
}

func (r *report) printCostTable(runs []loadRun) {
	r.Section(fmt.Sprintf("Cost: the same requests to each route, target %.2f", target))
	r.Header(1, "route", "cost an answer, micro units", "mean rating", "at the target %", "first token p95, ms")
	for i, route := range costRoutes {
		figure := func(f func(costResult) float64) string {
			return meanAndRange(runs, func(run loadRun) float64 { return f(run.costs[i]) })
		}
		r.Row(route,
			figure(func(c costResult) float64 { return c.meanCost }),
			formatMeanRating(runs, i),
			figure(func(c costResult) float64 { return c.atTarget }),
			figure(func(c costResult) float64 { return c.firstTokenP95 }))
	}
}

// formatMeanRating formats the mean rating of a route with three decimals,
// since ratings are between 0 and 1.
func formatMeanRating(runs []loadRun, route int) string {
	s := simulate.Summarize(simulate.Values(runs, func(run loadRun) float64 { return run.costs[route].meanRating }))
	return fmt.Sprintf("%.3f (%.3f-%.3f)", s.Mean, s.Min, s.Max)
}

// printBillingTable prints how far the ledger agrees with the callers' answers.
func (r *report) printBillingTable(runs [][]loadRun) {
	r.Section("The ledger against the callers' whole answers, all cells and runs together")
	r.Header(1, "policy", "whole answers", "without a bill", "billed twice", "billed, caller left before the end")
	for p, pol := range policies {
		var sum billingCheck
		complete := 0
		for _, run := range runs[p] {
			sum.unbilled += run.billing.unbilled
			sum.billedTwice += run.billing.billedTwice
			sum.callerLeft += run.billing.callerLeft
			complete += run.billing.complete
		}
		r.Row(pol.name, strconv.Itoa(complete), strconv.Itoa(sum.unbilled), strconv.Itoa(sum.billedTwice), strconv.Itoa(sum.callerLeft))
	}
}
