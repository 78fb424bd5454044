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

// Hosts that go down one after the other while the table hangs: the bills held
// for the second are taken over though those of the first can't be written, so
// that they get a new holder before this host is lost as well.
func TestHostsThatGoDownTogetherAreSettledTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := faulty.New(memory.New())
		table.SetDelay(time.Hour)
		l := ledger.New(ledger.Options{Table: table, Objects: memory.NewObjects(), Host: "self"})
		h := &Host{ledger: l, custody: ledger.NewCustody(l, ledger.CustodyOptions{}), down: make(chan string, 2)}
		for _, owner := range []string{"a/1", "b/1"} {
			is.NoErr(h.custody.Hold(owner, 1, []ledger.Bill{{ID: owner, Account: "x", RequestID: owner, At: time.Now()}}))
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- h.settleDown(ctx) }()
		h.down <- "a"
		h.down <- "b"
		time.Sleep(time.Second)
		is.Equal(h.custody.Held(), 0)
		is.Equal(l.Pending(), 2)
		cancel()
		<-done
	})
}
