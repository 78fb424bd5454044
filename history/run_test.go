package history

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// TestLedgerEqualsAnswers records seeded runs of callers with two ledgers and a
// table in which faults are injected, and compares the bills with the answers.
func TestLedgerEqualsAnswers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runCallers(t, rand.New(rand.NewPCG(seed, 0)))
			})
		})
	}
}

func runCallers(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	table, objects, r := faulty.NewTable(memory.NewTable()), memory.NewObjects(), NewRecorder()
	ctx, cancel := context.WithCancel(t.Context())
	var running, callers sync.WaitGroup
	ledgers := make([]*ledger.Ledger, 2)
	for i := range ledgers {
		ledgers[i] = ledger.New(ledger.Options{Table: table, Objects: objects, Host: fmt.Sprint("h", i)})
		running.Go(func() { _ = ledgers[i].Run(ctx) })
	}
	for i := range 100 {
		id, key := fmt.Sprint("r", i), ""
		if i%3 == 0 {
			key = fmt.Sprint("k", i/6)
		}
		l, delay := ledgers[random.IntN(2)], time.Duration(random.IntN(60_000))*time.Millisecond
		callers.Go(func() {
			time.Sleep(delay)
			call(t, r, l, id, key)
		})
	}
	for range 10 {
		time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
		table.SetDown(random.IntN(3) == 0)
		table.LoseNextResponses(random.IntN(2))
		table.DropNextCommits(random.IntN(2))
	}
	table.ClearFaults()
	callers.Wait()
	for _, l := range ledgers {
		is.NoErr(l.Drain(t.Context()))
	}
	cancel()
	running.Wait()
	is.NoErr(r.AddBills(ledger.Read(t.Context(), table, objects, ledger.Query{})))
	is.Equal(CheckBilling(r.Events()), nil)
}

// call records a request, its bill and its answer.
func call(t *testing.T, r *Recorder, l *ledger.Ledger, id, key string) {
	bill := ledger.Bill{ID: id, Account: "clydegate", RequestID: id, CostMicro: 5, At: time.Now()}
	if key != "" {
		bill.ID = "clydegate/" + key
	}
	r.Add(sentWithKey(id, key))
	if err := l.Record(t.Context(), bill); err != nil && !errors.Is(err, ledger.ErrAtRisk) {
		t.Error(err)
	}
	r.Add(answered(id))
}

func TestAccepted(t *testing.T) {
	document := manifest.Document{
		Models: []manifest.Model{{Name: "quote", Versions: []manifest.Version{{Name: "v1", State: manifest.Withdrawn}, {Name: "v2"}}}},
		Accounts: []manifest.Account{
			{Name: "clydegate", Models: []manifest.Permission{{Model: "quote"}}},
			{Name: "valley", Models: []manifest.Permission{{Model: "quote", Versions: []string{"v2"}}}},
		},
	}
	e := NewManifestAccepted(7, "a", document)
	is := is.New(t)
	is.Equal(e.Permits, []Permit{{"clydegate", v1}, {"clydegate", v2}, {"valley", v2}})
	is.Equal(e.Withdrawn, []Version{v1})
	is.Equal(e.Epoch, uint64(7))
}
