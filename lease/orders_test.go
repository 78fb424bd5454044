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

// fakeEngine obeys orders; a fenced one refuses old fencing numbers.
type fakeEngine struct {
	mu      sync.Mutex
	fenced  bool
	highest uint64
	// obeyed are the fencing numbers of the orders that were carried out.
	obeyed []uint64
}

func (e *fakeEngine) order(fencing uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && fencing < e.highest {
		return errOldFencing
	}
	e.highest = max(e.highest, fencing)
	e.obeyed = append(e.obeyed, fencing)
	return nil
}

// last is the fencing number of the order in effect.
func (e *fakeEngine) last() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.obeyed) == 0 {
		return 0
	}
	return e.obeyed[len(e.obeyed)-1]
}

// pausedSend is a SendFunc that is paused for d just before it writes. A
// paused process doesn't see its context end.
func (e *fakeEngine) pausedSend(d time.Duration) lease.SendFunc {
	return func(_ context.Context, _ lease.Receiver, fencing uint64) error {
		time.Sleep(d)
		return e.order(fencing)
	}
}

// TestPausedHolder has holder a pause and wake, before or after its check of
// the lease, while holder b takes over and gives its own order.
func TestPausedHolder(t *testing.T) {
	tests := []struct {
		desc   string
		fenced bool
		// beforeCheck and afterCheck are how long a is paused.
		beforeCheck, afterCheck time.Duration
		// wantA is what a's order comes to.
		wantA error
		// afterTakeover is whose order is in effect 30 s after a's pause began,
		// and afterRepeat when b has repeated its order.
		afterTakeover, afterRepeat uint64
	}{
		{"fenced, paused before the check", true, 40 * time.Second, 0, lease.ErrLapsed, 2, 2},
		{"unfenced, paused before the check", false, 40 * time.Second, 0, lease.ErrLapsed, 2, 2},
		{"fenced, late by less than TTL and margin", true, 0, 15 * time.Second, errOldFencing, 2, 2},
		{"unfenced, late by less than TTL and margin", false, 0, 15 * time.Second, nil, 2, 2},
		{"fenced, late by more", true, 0, 40 * time.Second, errOldFencing, 2, 2},
		// The limit of what can be had without fencing: the late order is
		// carried out, and the holder's repetition overrides it.
		{"unfenced, late by more", false, 0, 40 * time.Second, nil, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			inPair(t, func(t *testing.T, is *is.I, p pair) {
				engine := &fakeEngine{fenced: tt.fenced}
				receiver := lease.Receiver{ID: "engine-1", Fenced: tt.fenced}
				a := lease.NewOrders(p.acquireA(t), engine.pausedSend(tt.afterCheck))
				fromA := make(chan error, 1)
				go func() {
					time.Sleep(tt.beforeCheck)
					fromA <- a.Send(t.Context(), receiver)
				}()
				b := lease.NewOrders(takeOver(t, p), engine.pausedSend(0))
				sendWhenAllowed(t, b, receiver)
				time.Sleep(time.Minute)
				is.True(errors.Is(<-fromA, tt.wantA))
				is.Equal(engine.last(), tt.afterTakeover)
				is.NoErr(b.Send(t.Context(), receiver))
				is.Equal(engine.last(), tt.afterRepeat)
			})
		})
	}
}

// takeOver contends until b has the lease, and keeps it.
func takeOver(t *testing.T, p pair) *lease.Lease {
	for {
		l, err := p.b.Acquire(t.Context(), name, "host-b", ttl)
		if err == nil {
			go func() { _ = l.Keep(t.Context()) }()
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
	orders := lease.NewOrders(newPair().acquireA(t), engine.pausedSend(0))
	is.NoErr(orders.Send(t.Context(), lease.Receiver{ID: "engine-1"}))
	is.Equal(engine.last(), uint64(1))
}

func TestOrderEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPair().acquireA(t)
		hang := func(ctx context.Context, _ lease.Receiver, _ uint64) error {
			<-ctx.Done()
			return ctx.Err()
		}
		err := lease.NewOrders(l, hang).Send(t.Context(), lease.Receiver{ID: "engine-1"})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(!l.Valid())
	})
}
