package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// Guards against taking over the bills of hosts one host at a time. Two hosts go down in
// succession while the table doesn't respond. The bills of the second host must be taken
// over although the bills of the first can't be written yet, so that they are copied to
// another host before this host may fail as well.
func TestBillsOfHostsThatGoDownTogetherAreTakenOverTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := faulty.NewTable(memory.NewTable())
		table.SetDelay(time.Hour)
		l := ledger.New(ledger.Options{Table: table, Objects: memory.NewObjects(), Host: "self"})
		h := &Host{ledger: l, billCopies: ledger.NewCopyStore(l, ledger.CopyStoreOptions{}), downHosts: make(chan string, 2)}
		for _, owner := range []string{"a/1", "b/1"} {
			is.NoErr(h.billCopies.Store(owner, 1, []ledger.Bill{{ID: owner, Account: "x", RequestID: owner, At: time.Now()}}))
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- h.takeOverBills(ctx) }()
		h.downHosts <- "a"
		h.downHosts <- "b"
		time.Sleep(time.Second)
		is.Equal(h.billCopies.Count(), 0)
		is.Equal(l.Pending(), 2)
		cancel()
		<-done
	})
}
