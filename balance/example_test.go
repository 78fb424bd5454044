package balance_test

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

func Example() {
	pool := balance.NewPool(balance.Options{Host: "entry-1", Zone: "a"})
	pool.Update([]storage.Host{
		{ID: "e1", Kind: storage.KindEngine, Zone: "a", State: storage.HostLive},
		{ID: "e2", Kind: storage.KindEngine, Zone: "a", State: storage.HostLeaving},
	})
	for _, id := range []string{"e1", "e2"} {
		report := upstream.Load{Capacity: 8, Versions: []string{"quotes@2"}}
		pool.Report(id, report, time.Now())
	}
	choice, ok := pool.Choose(&balance.Request{Model: "quotes", Version: "2", Zone: "a"})
	fmt.Println(choice.Upstream.ID, choice.Dropped, ok)
	if pool.Begin(choice.Upstream.ID) {
		pool.End(choice.Upstream.ID, balance.Outcome{TimeToFirstToken: 80 * time.Millisecond})
	}
	// Output: e1 [{leaving 1}] true
}
