package ledger_test

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	table, objects := memory.NewTable(), memory.NewObjects()
	l := ledger.New(ledger.Options{Table: table, Objects: objects, Host: "entry-1"})
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()

	bill := ledger.Bill{
		ID:        "valley-auction/lot-118",
		Account:   "valley-auction",
		RequestID: "r1",
		Epoch:     41,
		CostMicro: 1415,
		At:        time.Now(),
	}
	if err := l.Record(ctx, bill); err != nil {
		fmt.Println(err)
	}
	l.CountRefusal("valley-auction", 41, 3001)
	if err := l.Drain(ctx); err != nil {
		fmt.Println(err)
	}
	cancel()
	<-done

	trace, err := ledger.ByEpoch(context.Background(), table, objects, 41)
	if err != nil {
		fmt.Println(err)
	}
	fmt.Println(trace.Bills[0].ID, trace.Bills[0].CostMicro, trace.Refusals)
	// Output: valley-auction/lot-118 1415 map[3001:1]
}
