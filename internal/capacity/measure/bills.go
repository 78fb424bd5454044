package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// bill is one of a model request.
func bill(i int) ledger.Bill {
	id := uuid.NewString()
	step := ledger.Step{
		Model: "model-07", Version: "2026-12-01", Upstream: fmt.Sprintf("engine-%05d", i*7%12_000),
		PromptTokens: 800 + i%900, CompletionTokens: 300 + i%50, CostMicro: int64(170 + i%60),
	}
	return ledger.Bill{
		ID: id, RequestID: id, Account: fmt.Sprintf("account-%04d", i%1000), Model: step.Model, Version: step.Version,
		Upstream: step.Upstream, Class: "questions", Epoch: 16_000, RunState: "ran", Attempts: 1,
		Steps: []ledger.Step{step}, PromptTokens: step.PromptTokens, CompletionTokens: step.CompletionTokens,
		CostMicro: step.CostMicro, At: time.Now(),
	}
}

func billsOf(n int) []ledger.Bill {
	list := make([]ledger.Bill, n)
	for i := range list {
		list[i] = bill(i)
	}
	return list
}

// localHolder is a peer in this process that takes the encoded bills.
type localHolder struct{ custody *ledger.Custody }

// Hold implements ledger.Holder.
func (h localHolder) Hold(_ context.Context, owner string, seq uint64, bills []ledger.Bill) (string, error) {
	data, err := ledger.EncodeBills(bills)
	if err != nil {
		return "", err
	}
	received, err := ledger.DecodeBills(data)
	if err != nil {
		return "", err
	}
	return "entry-001", h.custody.Hold(owner, seq, received)
}

// Drop implements ledger.Holder.
func (h localHolder) Drop(_ context.Context, _, owner string, upTo uint64) error {
	h.custody.Drop(owner, upTo)
	return nil
}

func (r *run) bills() error {
	var size []capacity.Point
	for _, n := range []int{1, 8, 32, 320} {
		data, err := ledger.EncodeBills(billsOf(n))
		if err != nil {
			return err
		}
		size = append(size, capacity.Point{X: float64(n), Y: float64(len(data))})
	}
	r.line(capacity.BillBytes, unitBytes, "bills", "encoded for a peer or a segment", size...)
	var kept []capacity.Point
	for _, n := range []int{100, 1000, 10_000} {
		kept = append(kept, capacity.Point{X: float64(n), Y: heapOf(func() any {
			l := ledger.New(ledger.Options{Table: memory.New(), Objects: memory.NewObjects(), Host: "entry-001"})
			custody := ledger.NewCustody(l, ledger.CustodyOptions{MaxBills: n + 1})
			for i, b := range billsOf(n) {
				if custody.Hold("entry-000/x", uint64(i+1), []ledger.Bill{b}) != nil {
					return nil
				}
			}
			return custody
		})})
	}
	r.line(capacity.BillMemory, unitBytes, "bills", "held for a peer, one in a message", kept...)
	return r.billCPU()
}

func (r *run) billCPU() error {
	store := memory.NewObjects()
	peer := ledger.New(ledger.Options{Table: memory.New(), Objects: store, Host: "entry-001"})
	holder := localHolder{ledger.NewCustody(peer, ledger.CustodyOptions{})}
	l := ledger.New(ledger.Options{Table: memory.New(), Objects: store, Host: "entry-000", Holders: holder})
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	micros, err := r.cpuPer(2000, func() error { return l.Record(ctx, bill(1)) })
	cancel()
	<-done
	if err != nil {
		return err
	}
	r.constant(capacity.BillCPU, unitCPU, "recorded, encoded, held by a peer and flushed to a table in memory; without the peer protocol", micros)
	return nil
}
