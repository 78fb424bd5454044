package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/quota"
)

// passTime is longer than one pass of a Limiter over a table in memory takes;
// the next one would come after an hour.
const passTime = 250 * time.Millisecond

func limits(accounts int) []quota.Limit {
	list := make([]quota.Limit, accounts)
	for i := range list {
		list[i] = quota.Limit{Account: fmt.Sprintf("account-%05d", i), Rate: 100, Burst: 100}
	}
	return list
}

// pass lets limiters make one pass each, all at once.
func (r *run) pass(list ...*quota.Limiter) {
	ctx, cancel := context.WithTimeout(r.ctx, passTime)
	defer cancel()
	var wait sync.WaitGroup
	for _, l := range list {
		wait.Go(func() { l.Run(ctx) })
	}
	wait.Wait()
}

func (r *run) quotas() error {
	var set []capacity.Point
	for _, accounts := range []int{10, 100, 1000} {
		l := quota.New(quota.Options{Table: newTable(), Host: "entry-000"})
		list := limits(accounts)
		epoch := uint64(0)
		micros, err := r.cpuPer(50, func() error {
			epoch++
			l.SetLimits(epoch, list)
			return nil
		})
		if err != nil {
			return err
		}
		set = append(set, capacity.Point{X: float64(accounts), Y: micros})
	}
	r.line(capacity.SetLimitsCPU, unitCPU, "accounts", "unchanged limits of a new epoch", set...)
	return r.quotaPasses()
}

// quotaPasses measures a pass of a host over rows in which all hosts hold a
// part of all accounts.
func (r *run) quotaPasses() error {
	var bytes, cpu, kept []capacity.Point
	for _, size := range [][2]int{{2, 10}, {8, 10}, {32, 10}, {8, 100}, {32, 100}} {
		hosts, accounts := size[0], size[1]
		t := newTable()
		options := quota.Options{Table: t, Interval: time.Hour}
		var list []*quota.Limiter
		for i := range hosts {
			o := options
			o.Host = fmt.Sprintf("entry-%03d", i)
			l := quota.New(o)
			l.SetLimits(1, limits(accounts))
			list = append(list, l)
		}
		// Hosts race for the rows, so that it takes several passes each.
		for range 4 {
			for _, l := range list {
				l.SetLimits(1, limits(accounts))
			}
			r.pass(list...)
		}
		x := float64(hosts * (accounts + 1))
		before, used := t.bytes(), processorTime()
		const passes = 4
		for range passes {
			r.pass(list[0])
		}
		perPass := (processorTime() - used).Seconds() * 1e6 / passes
		bytes = append(bytes, capacity.Point{X: x, Y: 4.0 / 3 * (t.bytes() - before) / passes})
		cpu = append(cpu, capacity.Point{X: x, Y: perPass})
		o := options
		o.Host = "entry-999"
		kept = append(kept, capacity.Point{X: x, Y: heapOf(func() any {
			l := quota.New(o)
			l.SetLimits(1, limits(accounts))
			r.pass(l)
			return l
		})})
	}
	const varied = "hosts × (accounts + 1)"
	r.line(capacity.QuotaPassBytes, unitBytes, varied, "keys and values read and written in a pass without demand, 4/3 of them for their encoding, without headers", bytes...)
	r.line(capacity.QuotaPassCPU, unitCPU, varied, "table in memory", cpu...)
	r.line(capacity.QuotaMemory, unitBytes, varied, "the heap that a further host adds, its holdings in the table in memory included", kept...)
	return nil
}
