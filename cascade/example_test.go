package cascade_test

import (
	"fmt"

	"github.com/quetzalweir/quetzalweir/cascade"
)

func Example() {
	learner := cascade.NewLearner(cascade.Options{Seed: 1})
	view := cascade.View{
		Cascade: "quotes",
		Account: "desk-1",
		Class:   "chat",
		Steps:   []cascade.StepInfo{{Cost: 2}, {Cost: 10}},
		Target:  0.7,
	}
	for range 50 {
		learner.Observe(cascade.Sample{Cascade: "quotes", Account: "desk-1", Class: "chat", Rating: 0.3})
	}
	plan := learner.Decide(view)
	fmt.Println(plan.Start, plan.Reason, cascade.IsAccepted(0.3, view.Target))
	// Output: 1 lowest-expected-cost false
}
