package lease_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/lease"
)

var errOldFencing = errors.New("engine: fencing number is too low")

// fakeEngine executes orders. If checksFencing is true, it rejects orders whose
// fencing number is lower than one that it has received before.
type fakeEngine struct {
	mu             sync.Mutex
	checksFencing  bool
	highestFencing uint64
	// executedFencing has the fencing numbers of the executed orders.
	executedFencing []uint64
}

func (e *fakeEngine) execute(fencing uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && fencing < e.highestFencing {
		return errOldFencing
	}
	e.highestFencing = max(e.highestFencing, fencing)
	e.executedFencing = append(e.executedFencing, fencing)
	return nil
}

// lastExecuted returns the fencing number of the order in effect; 0 if there is
// none.
func (e *fakeEngine) lastExecuted() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.executedFencing) == 0 {
		return 0
	}
	return e.executedFencing[len(e.executedFencing)-1]
}

// pausedSend returns a SendFunc that sleeps for d just before it sends the order,
// even if its context ends in the meantime, as in a paused process.
func (e *fakeEngine) pausedSend(d time.Duration) lease.SendFunc {
	return func(_ context.Context, _ lease.Receiver, fencing uint64) error {
		time.Sleep(d)
		return e.execute(fencing)
	}
}

// TestPausedHolder guards against the late order of a paused holder replacing that of
// the current holder. Holder a is paused before or after it checks its lease, while
// holder b acquires the lease and sends its own order.
func TestPausedHolder(t *testing.T) {
	tests := []struct {
		desc          string
		checksFencing bool
		// beforeCheck and afterCheck are how long a is paused before and after it
		// checks its lease.
		beforeCheck, afterCheck time.Duration
		// wantA is the error of a's order.
		wantA error
		// afterTakeover is the fencing number of the order in effect after b's
		// first order, and afterRepeat after b has repeated its order. a's late
		// order has arrived before both checks.
		afterTakeover, afterRepeat uint64
	}{
		{"fenced, paused before the check", true, 40 * time.Second, 0, lease.ErrLapsed, 2, 2},
		{"unfenced, paused before the check", false, 40 * time.Second, 0, lease.ErrLapsed, 2, 2},
		{"fenced, late by less than TTL and margin", true, 0, 15 * time.Second, errOldFencing, 2, 2},
		{"unfenced, late by less than TTL and margin", false, 0, 15 * time.Second, nil, 2, 2},
		{"fenced, late by more than TTL and margin", true, 0, 40 * time.Second, errOldFencing, 2, 2},
		// A known limit without fencing: the late order of a is executed, until b
		// repeats its order and so replaces it.
		{"unfenced, late by more than TTL and margin", false, 0, 40 * time.Second, nil, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withManagerPair(t, func(t *testing.T, is *is.I, p managerPair) {
				engine := &fakeEngine{checksFencing: tt.checksFencing}
				receiver := lease.Receiver{ID: "engine-1", ChecksFencing: tt.checksFencing}
				a := lease.NewOrders(p.acquireA(t), engine.pausedSend(tt.afterCheck))
				resultOfA := make(chan error, 1)
				go func() {
					time.Sleep(tt.beforeCheck)
					resultOfA <- a.Send(t.Context(), receiver)
				}()
				b := lease.NewOrders(takeOver(t, p), engine.pausedSend(0))
				sendWhenAllowed(t, b, receiver)
				time.Sleep(time.Minute)
				is.True(errors.Is(<-resultOfA, tt.wantA))
				is.Equal(engine.lastExecuted(), tt.afterTakeover)
				is.NoErr(b.Send(t.Context(), receiver))
				is.Equal(engine.lastExecuted(), tt.afterRepeat)
			})
		})
	}
}

// takeOver retries until b has acquired the lease. It then renews the lease.
func takeOver(t *testing.T, p managerPair) *lease.Lease {
	for {
		l, err := p.b.Acquire(t.Context(), name, "host-b", ttl)
		if err == nil {
			go func() { _ = l.KeepRenewing(t.Context()) }()
			return l
		}
		var held *lease.HeldError
		if !errors.As(err, &held) {
			t.Fatal(err)
		}
		time.Sleep(held.Wait)
	}
}

func sendWhenAllowed(t *testing.T, orders *lease.Orders, receiver lease.Receiver) {
	for {
		err := orders.Send(t.Context(), receiver)
		var early *lease.TooEarlyError
		if !errors.As(err, &early) {
			is.New(t).NoErr(err)
			return
		}
		time.Sleep(early.Wait)
	}
}

func TestFirstHolderNeedsNoWait(t *testing.T) {
	is := is.New(t)
	engine := &fakeEngine{}
	orders := lease.NewOrders(newManagerPair().acquireA(t), engine.pausedSend(0))
	is.NoErr(orders.Send(t.Context(), lease.Receiver{ID: "engine-1"}))
	is.Equal(engine.lastExecuted(), uint64(1))
}

func TestOrderEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newManagerPair().acquireA(t)
		sendUntilDone := func(ctx context.Context, _ lease.Receiver, _ uint64) error {
			<-ctx.Done()
			return ctx.Err()
		}
		err := lease.NewOrders(l, sendUntilDone).Send(t.Context(), lease.Receiver{ID: "engine-1"})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(!l.Valid())
	})
}
