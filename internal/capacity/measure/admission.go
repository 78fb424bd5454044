package measure

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/internal/capacity"
)

func (r *run) admission() error {
	options := admission.Options{
		Capacity: 1024, MaxQueue: 4096,
		Classes: []admission.ClassOptions{{Name: "reports"}, {Name: "questions", MinShare: 0.2}},
	}
	queue := admission.New(options)
	ticket := admission.Ticket{Account: "account-0001", Weight: 1, Class: "questions"}
	micros, err := r.cpuPer(20_000, func() error {
		grant, err := queue.Admit(r.ctx, ticket)
		if err == nil {
			grant.Done()
		}
		return err
	})
	if err != nil {
		return err
	}
	r.constant(capacity.AdmitCPU, unitCPU, "admitted and done with free places", micros)

	options.Capacity = 0
	closed := admission.New(options)
	ctx, cancel := context.WithCancel(r.ctx)
	const waiting = 2000
	before := heapAndStacks()
	var wait sync.WaitGroup
	for range waiting {
		wait.Go(func() {
			// All wait until the context ends.
			_, _ = closed.Admit(ctx, ticket)
		})
	}
	for closed.Stats().Queued < waiting && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	r.constant(capacity.WaitMemory, unitBytes, "a waiting request with its goroutine, without its body and connection", (heapAndStacks()-before)/waiting)
	cancel()
	wait.Wait()
	return nil
}
