package deployment

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"
)

// scenario is a load relative to the measured capacity.
type scenario struct {
	name       string
	loadFactor float64
	// killEngines kills a third of the engines halfway through.
	killEngines bool
}

// scenarios run in this order on one system, so the one that kills engines must
// be the last.
var scenarios = []scenario{
	{name: "0.8", loadFactor: 0.8},
	{name: "1.0", loadFactor: 1},
	{name: "1.3", loadFactor: 1.3},
	{name: "2.0", loadFactor: 2},
	{name: "1.3, a third of the engines killed", loadFactor: 1.3, killEngines: true},
}

// settleTime is the pause between cells on one system, in which load reports
// and predictions adapt to the end of the load.
const settleTime = 600 * time.Millisecond

// loadRun holds the results of all scenarios on one system.
type loadRun struct {
	cells []*cellStats
	// costs has a result for each of costRoutes, or none if the policy isn't
	// product.
	costs   []costResult
	billing billingCheck
}

// runLoads starts a system and runs all scenarios on it.
func runLoads(ctx context.Context, o Options, p policy, capacity float64, seed int) (run loadRun, err error) {
	s, err := newSystem(ctx, p, nil, seed)
	if err != nil {
		return run, err
	}
	var costCells []*cellStats
	if p.name == product.name {
		costCells = s.runCostCells(ctx, o, capacity, seed)
	}
	for _, sc := range scenarios {
		time.Sleep(settleTime)
		run.cells = append(run.cells, s.runScenario(ctx, o, sc, capacity, seed))
	}
	if err := errors.Join(s.close(), ctx.Err()); err != nil {
		return run, err
	}
	bills, err := s.readBills(ctx)
	if err != nil {
		return run, err
	}
	run.billing = checkBills(bills, completeRequests(run.cells, costCells))
	for _, stats := range costCells {
		r, err := routeCost(ctx, stats, bills)
		if err != nil {
			return run, err
		}
		run.costs = append(run.costs, r)
	}
	return run, nil
}

// completeRequests returns the ids of all requests with complete answers.
func completeRequests(lists ...[]*cellStats) map[string]bool {
	complete := map[string]bool{}
	for _, list := range lists {
		for _, stats := range list {
			maps.Copy(complete, stats.complete)
		}
	}
	return complete
}

func (s *system) runScenario(ctx context.Context, o Options, sc scenario, capacity float64, seed int) *cellStats {
	if sc.killEngines {
		timer := time.AfterFunc(o.CellTime/2, s.killThird)
		defer timer.Stop()
	}
	return s.runCell(ctx, cell{
		label:    fmt.Sprintf("%.1f-%t", sc.loadFactor, sc.killEngines),
		rate:     sc.loadFactor * capacity,
		duration: o.CellTime,
		mix:      usualMix,
		seed:     seed,
	})
}

// costLoadFactor is the load, relative to the capacity, at which costs are
// compared. The large model alone must be able to serve it.
const costLoadFactor = 0.15

// costRoutes are the routes whose costs are compared.
var costRoutes = []string{modelSmall, cascadeAsk, modelLarge}

// runCostCells sends the same requests to each of costRoutes.
func (s *system) runCostCells(ctx context.Context, o Options, capacity float64, seed int) []*cellStats {
	var list []*cellStats
	for _, route := range costRoutes {
		time.Sleep(settleTime)
		list = append(list, s.runCell(ctx, cell{
			label: "cost-" + route, rate: costLoadFactor * capacity, duration: o.CellTime, mix: onlyRoute(route), seed: seed, keepAnswers: true,
		}))
	}
	return list
}
