package deployment

import (
	"fmt"
	"strconv"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// over is the mean of a figure over the runs, with the least and the greatest.
func over[T any](runs []T, figure func(T) float64) string {
	s := simulate.Summarize(simulate.Values(runs, figure))
	return fmt.Sprintf("%.1f (%.1f-%.1f)", s.Mean, s.Min, s.Max)
}

// overCells is over for a figure of one scenario's cells.
func overCells(runs []loadRun, scenario int, figure func(*tally) float64) string {
	return over(runs, func(run loadRun) float64 { return figure(run.cells[scenario]) })
}

// classTable has a row for each scenario, policy and class.
func (r *report) classTable(runs [][]loadRun) {
	r.Section(fmt.Sprintf("Classes, in percent of the requests sent: mean (least-greatest) of %d runs", r.options.Seeds), machineLoad())
	r.Header(3, "load", "policy", "class", "in time", "late", "refused", "lost")
	for i, sc := range scenarios {
		for p, pol := range policies {
			for _, c := range classes {
				part := func(v verdict) string {
					return overCells(runs[p], i, func(t *tally) float64 { return t.byClass[c.name].part(v) })
				}
				r.Row(sc.name, pol.name, c.name,
					part(answered), part(late), part(refused), part(lost))
			}
		}
	}
}

// totalTable has a row for each scenario and policy.
func (r *report) totalTable(runs [][]loadRun) {
	r.Section("Goodput, first token, accounts")
	r.Header(2, "load", "policy", "in time, /s", "first token p50, ms", "p95", "p99", "in time, large accounts %",
		"small %", "refused with a place free, % of requests", "ms to a refusal")
	for i, sc := range scenarios {
		for p, pol := range policies {
			cell := func(figure func(*tally) float64) string { return overCells(runs[p], i, figure) }
			r.Row(sc.name, pol.name,
				cell(func(t *tally) float64 { return float64(t.all[answered]) / r.options.CellTime.Seconds() }),
				cell(func(t *tally) float64 { return t.quantile(50) }),
				cell(func(t *tally) float64 { return t.quantile(95) }),
				cell(func(t *tally) float64 { return t.quantile(99) }),
				cell(func(t *tally) float64 { return t.bySize[true].part(answered) }),
				cell(func(t *tally) float64 { return t.bySize[false].part(answered) }),
				cell(refusedWithPlace), cell(toRefusal))
		}
	}
}

func refusedWithPlace(t *tally) float64 {
	return 100 * float64(t.refusedWithPlace) / float64(max(1, t.all.sent()))
}

// toRefusal is the mean time to a refusal in milliseconds.
func toRefusal(t *tally) float64 {
	return float64(t.refusedAfter.Milliseconds()) / float64(max(1, t.all[refused]))
}

func (r *report) costTable(runs []loadRun) {
	r.Section(fmt.Sprintf("Cost: the same requests to each route, target %.2f", target))
	r.Header(1, "route", "cost an answer, micro units", "mean rating", "at the target %", "first token p95, ms")
	for i, route := range costRoutes {
		figure := func(f func(costResult) float64) string {
			return over(runs, func(run loadRun) float64 { return f(run.costs[i]) })
		}
		r.Row(route,
			figure(func(c costResult) float64 { return c.cost }),
			meanRating(runs, i),
			figure(func(c costResult) float64 { return c.atTarget }),
			figure(func(c costResult) float64 { return c.p95 }))
	}
}

// meanRating is the mean rating of a route, whose digits stand behind the point.
func meanRating(runs []loadRun, route int) string {
	s := simulate.Summarize(simulate.Values(runs, func(run loadRun) float64 { return run.costs[route].rating }))
	return fmt.Sprintf("%.3f (%.3f-%.3f)", s.Mean, s.Min, s.Max)
}

// bookTable tells how the ledger and the callers' answers agree.
func (r *report) bookTable(runs [][]loadRun) {
	r.Section("The ledger against the callers' whole answers, all cells and runs together")
	r.Header(1, "policy", "whole answers", "without a bill", "billed twice", "billed, caller left before the end")
	for p, pol := range policies {
		var sum books
		whole := 0
		for _, run := range runs[p] {
			sum.unbilled += run.books.unbilled
			sum.twice += run.books.twice
			sum.unseen += run.books.unseen
			whole += run.books.whole
		}
		r.Row(pol.name, strconv.Itoa(whole), strconv.Itoa(sum.unbilled), strconv.Itoa(sum.twice), strconv.Itoa(sum.unseen))
	}
}
